import { allEnded, withTimeout } from '@wisteriaslip/core.result'
import type { Vm, VmList, Wave } from '@wisteriaslip/jobs.model'
import type { ServiceLoad } from '@wisteriaslip/jobs.protocol'
import { DownVms } from './down-vms.ts'
import { DrainTurns } from './drain-turns.ts'
import { areStillDrained, type DrainedVms } from './drained-vms.ts'
import { countBy, explainWave, vmWaits, type VmWait, type WaveExplanation } from './explain-wave.ts'
import type { FleetTermOpts, TurnTimes, WaveRecord } from './ports.ts'
import { TurnRecorder } from './turn-recorder.ts'
import type { VmPhase } from './vm-phases.ts'
import { VmPresence } from './vm-presence.ts'
import { WaveLog } from './wave-log.ts'
import { begunVms, WaveRecords } from './wave-records.ts'
import { WaveReporter } from './wave-reporter.ts'
import { WavePlaces } from './wave-places.ts'
import { countDown, planWaves, type FleetSnapshot, type PlannedMaintenance, type VmLoad } from './wave-schedule.ts'
import { WaveTracker } from './wave-tracker.ts'

const CALL_TIMEOUT_MS = 1_500
/** A VM that is missing for this long is looked up by a request. */
const LOOKUP_AFTER_MS = 3_000
/** A VM that is missing for this long, and that the platform does not know or refuses as not available, is gone. */
const GONE_AFTER_MS = 8_000
const IDLE: VmLoad = { runs: 0, lastingRuns: 0 }

/** What an observation of the fleet shows. */
export interface FleetObservation {
  readonly list: VmList
  /** Load by service, of the services whose leaders have responded. */
  readonly loads: ReadonlyMap<string, ServiceLoad>
  /** @returns whether all services that may run something on the VM have responded, so that it has no worker if none is known */
  readonly isLoadKnown: (vm: string) => boolean
}

interface SendOpts {
  /** What shows that nothing runs on the VMs; undefined if they have no workers. */
  readonly drained?: DrainedVms
  readonly signal: AbortSignal
}

/** A wave whose document is declared. */
interface ActiveWave {
  readonly tracker: WaveTracker
  readonly reporter: WaveReporter
}

/**
 * Carries out the declared maintenance waves for the fleet leader. A wave is recorded as completed, and then reported to
 * operators, when the platform has confirmed for each of its VMs that the maintenance for this wave has begun, except for
 * VMs that are gone.
 */
export class WaveRunner {
  private readonly opts: FleetTermOpts
  private readonly log: WaveLog
  private readonly records: WaveRecords
  private readonly down: DownVms
  private readonly presence = new VmPresence()
  private readonly turns = new DrainTurns()
  private readonly turnRecorder: TurnRecorder
  private readonly active = new Map<number, ActiveWave>()
  private observation: FleetObservation = { list: { vms: [], unreadable: [], complete: false }, loads: new Map(), isLoadKnown: () => false }
  /** The fleet as of the latest observation. */
  private fleet: FleetSnapshot
  /** VMs that are listed or have a known worker, as of the latest observation; undefined before the first. */
  private seen: ReadonlySet<string> | undefined
  private planned: readonly PlannedMaintenance[] = []
  /** VMs that were found drained in the latest pass. */
  private drained: ReadonlySet<string> = new Set()

  /** @param opts - dependencies of the fleet leader's term */
  constructor (opts: FleetTermOpts) {
    this.opts = opts
    this.log = new WaveLog(opts)
    this.records = new WaveRecords(opts.waveRecords)
    this.turnRecorder = new TurnRecorder({ turns: this.turns, records: this.records, clock: opts.clock })
    this.down = new DownVms(opts.maintenanceMs)
    this.fleet = { vms: new Map(), down: this.down, load: () => IDLE, drained: this.drained, now: opts.clock.now() }
  }

  /**
   * Follows the documents of the waves, records what has changed, and reports what is recorded. Needs no call to the VM
   * platform.
   * @returns whether the records of earlier leaders are known, from which waves continue
   */
  async follow (): Promise<boolean> {
    if (!await this.records.read()) return false
    this.followDocuments(this.opts.clock.now())
    this.publish()
    return true
  }

  /**
   * Observes the fleet and chooses what to drain and to maintain next.
   * @param observation - the fleet as it is listed, and the load of its workers
   * @returns ids of the VMs to drain
   */
  plan (observation: FleetObservation): Set<string> {
    const now = this.opts.clock.now()
    this.observe(observation, now)
    this.findReturned(now)
    this.planned = planWaves(this.unfinished(), this.fleet)
    this.drained = new Set()
    for (const drain of this.turns.follow(this.planned, this.fleet)) this.log.gaveWay(drain)
    return new Set(this.planned.map(({ vm }) => vm))
  }

  /**
   * Repeats requests that may have taken effect, of VMs that need no draining: those in maintenance, and missing ones.
   * @param signal - aborts the requests
   */
  async repeat (signal: AbortSignal): Promise<void> {
    await this.send(this.chooseDue(this.planned, (vm, isRepetition) => isRepetition && this.isDownOrMissing(vm)), { signal })
  }

  /**
   * Requests maintenance of the planned VMs that are drained, as far as the limits of their waves allow. Called for each
   * service as soon as its leader has responded.
   * @param drained - VMs on which nothing runs
   * @param signal - aborts the requests
   */
  async start (drained: DrainedVms, signal: AbortSignal): Promise<void> {
    if (drained.vms.size === 0 || !areStillDrained(drained, this.opts.clock.now())) return
    this.drained = new Set([...this.drained, ...drained.vms])
    const due = this.chooseDue(this.planned, vm => this.fleet.vms.get(vm)?.state === 'up' && drained.vms.has(vm))
    await this.send(due, { drained, signal })
  }

  /**
   * Requests maintenance of VMs that nothing shows to exist: the platform knows. They come after all others.
   * @param signal - aborts the requests
   */
  async lookUp (signal: AbortSignal): Promise<void> {
    const missing = this.lookups(this.unfinished())
    if (missing.length === 0) return
    const isLookup = new Set(missing.map(({ vm }) => vm))
    await this.send(this.chooseDue([...this.planned, ...missing], vm => isLookup.has(vm)), { signal })
  }

  /** Sends recorded requests at once, and the others when they are recorded. */
  private async send (due: readonly PlannedMaintenance[], opts: SendOpts): Promise<void> {
    const recorded = due.filter(({ wave, vm }) => wave.stateOf(vm, this.fleet.now)?.phase === 'requested' && this.records.isRequested(wave.wave, vm))
    const others = due.filter(each => !recorded.includes(each))
    for (const { wave, vm } of due) wave.markSending(vm)
    await allEnded([
      ...recorded.map(async ({ wave, vm }) => await this.request(wave, vm, opts.signal)),
      this.recordAndRequest(others, opts)
    ]).finally(() => { for (const { wave, vm } of due) wave.markSent(vm) })
  }

  /** Records requests and then sends them: a later leader must know of each one that may take effect. */
  private async recordAndRequest (due: readonly PlannedMaintenance[], opts: SendOpts): Promise<void> {
    if (due.length === 0) return
    const { clock, isLeader } = this.opts
    const drained = opts.drained ?? { vms: new Set(), askedAt: clock.now() }
    for (const { wave, vm } of due) wave.markRequested(vm, clock.now())
    if (!await this.record()) {
      for (const { wave, vm } of due) wave.markUnsent(vm, clock.now())
      return
    }
    if (!areStillDrained(drained, clock.now()) || !isLeader()) {
      for (const { wave, vm } of due) wave.markHeldBack(vm, clock.now())
      return
    }
    await allEnded(due.map(async ({ wave, vm }) => await this.request(wave, vm, opts.signal)))
  }

  /** Records what has changed, reports what is recorded, and logs what the waves wait for. */
  settle (): void {
    for (const wave of this.unfinished()) wave.releaseHeldBack(this.fleet.now, this.opts.clock.now())
    this.publish()
    this.turnRecorder.record(() => this.toRecords()).catch(error => this.opts.logger.error({ err: error }, 'failed to record the turns of drains'))
    const uncompleted = [...this.active.values()].filter(({ reporter, tracker }) => reporter.reported() !== 'completed' || !tracker.isDone())
    this.log.progress(uncompleted.map(({ tracker }) => tracker), wave => countBy(this.waitsOf(wave).map(({ waitsFor }) => waitsFor)))
  }

  /**
   * @param number - number of a wave
   * @returns its progress, and for each VM that has not begun what it waits for; undefined if it is not declared
   */
  explain (number: number): WaveExplanation | undefined {
    const wave = this.active.get(number)
    if (wave === undefined) return undefined
    const { tracker, reporter } = wave
    return explainWave(tracker, {
      state: reporter.reported() ?? 'unreported',
      recorded: this.records.isCompleted(tracker.wave),
      down: countDown(this.unfinished(), this.fleet).of(tracker),
      now: this.opts.clock.now(),
      waits: this.waitsOf(tracker)
    })
  }

  private publish (): void {
    if (!this.records.isBusy()) this.record().catch(error => this.opts.logger.error({ err: error }, 'failed to record waves'))
    for (const wave of this.active.values()) this.report(wave)
  }

  private unfinished (): WaveTracker[] {
    return [...this.active.values()].map(({ tracker }) => tracker).filter(tracker => !tracker.isDone())
  }

  private observe (observation: FleetObservation, now: number): void {
    const loads = new Map<string, VmLoad>()
    for (const load of observation.loads.values()) for (const worker of load.workers) loads.set(worker.vm, worker)
    this.observation = observation
    this.seen = new Set([...observation.list.vms.map(vm => vm.id), ...observation.list.unreadable, ...loads.keys()])
    this.down.observe(observation.list.vms, now)
    this.fleet = {
      vms: new Map(observation.list.vms.map((vm): [string, Vm] => [vm.id, vm])),
      down: this.down,
      load: vm => loads.get(vm) ?? IDLE,
      drained: this.drained,
      resting: this.turns.resting(now),
      now
    }
    const expected = new Set(this.unfinished().flatMap(({ wave }) => wave.vms))
    this.presence.observe(observation.list, this.seen, { expected, now })
  }

  private followDocuments (now: number): void {
    const declared = new Map(this.opts.waves().map(wave => [wave.number, wave]))
    for (const [number, { tracker }] of this.active) {
      if (declared.get(number)?.createRevision === tracker.wave.createRevision) continue
      this.active.delete(number)
      this.log.withdrawn(tracker.wave)
    }
    for (const wave of declared.values()) this.followDocument(wave, now)
  }

  private followDocument (wave: Wave, now: number): void {
    const active = this.active.get(wave.number)
    if (active === undefined) {
      const resumed = this.resume(wave, now)
      this.active.set(wave.number, resumed)
      this.log.declared(resumed.tracker)
    } else if (wave.revision > active.tracker.wave.revision) {
      if (this.isContinued(active.tracker, wave)) active.tracker.update(wave, now)
      else this.active.set(wave.number, this.resume(wave, now))
      this.log.changed((this.active.get(wave.number) ?? active).tracker)
    }
  }

  /** Returns whether a changed document still declares the same wave: one that is not completed, or completed and extended. */
  private isContinued (tracker: WaveTracker, changed: Wave): boolean {
    return !this.records.isCompleted(tracker.wave) || this.records.about(changed) !== undefined
  }

  /** Continues a wave from the record of earlier leaders, if there is one about this wave. */
  private resume (wave: Wave, now: number): ActiveWave {
    const record = this.records.about(wave)
    if (record === undefined) return { tracker: new WaveTracker(wave, { now, requested: this.records.requestedUnder(wave.number) }), reporter: new WaveReporter(this.opts) }
    const sinceMs = Math.min(Math.max(0, this.opts.wallClock() - record.at), wave.durationMs)
    const tracker = new WaveTracker(wave, { now, begun: begunVms(record, wave), requested: record.requested, gone: record.gone, elapsedMs: record.elapsedMs + sinceMs })
    // Whether the maintenance of these is over is not known until the list describes them.
    for (const vm of tracker.inPhase('begun')) this.down.suspect(vm, now)
    if (record.turns !== undefined) this.resumeTurns(tracker, record.turns, now)
    const isReported = record.reported && record.completed && record.revision === wave.revision && tracker.isDone()
    return { tracker, reporter: new WaveReporter(this.opts, isReported ? 'completed' : undefined) }
  }

  /** Other VMs of a service do not go before one whose drain has begun. */
  private resumeTurns (tracker: WaveTracker, times: TurnTimes, now: number): void {
    this.turns.resume(times, now)
    tracker.markPlanned(times.drains.map(({ vm }) => vm), now)
  }

  /** A VM that was gone and is seen again has to be maintained. */
  private findReturned (now: number): void {
    for (const { tracker } of this.active.values()) {
      for (const vm of tracker.inPhase('gone')) if (this.seen?.has(vm) === true) tracker.markBack(vm, now)
    }
  }

  /**
   * Chooses the requests to send now. Those that may have taken effect are repeated first, so that none waits for another.
   * @param planned - all VMs that may take places, in order
   * @param isUntouched - whether nothing runs on the VM that maintenance would end
   */
  private chooseDue (planned: readonly PlannedMaintenance[], isUntouched: (vm: string, isRepetition: boolean) => boolean): PlannedMaintenance[] {
    const places = new WavePlaces(this.unfinished(), this.fleet)
    const phaseOf = ({ wave, vm }: PlannedMaintenance): VmPhase | undefined => wave.stateOf(vm, this.fleet.now)?.phase
    const isDue = (each: PlannedMaintenance): boolean => each.wave.mayRequest(each.vm, this.fleet.now) && isUntouched(each.vm, phaseOf(each) === 'requested')
    // Requests on their way keep their places, also those of this pass for other services.
    for (const each of planned) if (phaseOf(each) === 'requested' && !isDue(each)) places.noteRequested(each)
    return planned.filter(each => {
      if (isDue(each) && places.take(each)) return true
      if (phaseOf(each) === 'requested') places.noteRequested(each)
      else if (phaseOf(each) === 'waiting') places.reserve(each)
      return false
    })
  }

  /** Returns whether the VM has no worker that could run anything. A request that has taken effect is confirmed also while it is down. */
  private isDownOrMissing (vm: string): boolean {
    const state = this.fleet.vms.get(vm)?.state
    return state === 'maintenance' || (state === undefined && this.isMissing(vm))
  }

  /** VMs that nothing shows to exist: the platform knows. Each is looked up for one wave at a time. */
  private lookups (waves: readonly WaveTracker[]): PlannedMaintenance[] {
    const planned = new Set(this.planned.map(({ vm }) => vm))
    const found = new Map<string, PlannedMaintenance>()
    for (const wave of waves) {
      for (const vm of wave.inPhase('waiting')) if (!planned.has(vm) && !found.has(vm) && !this.down.has(vm) && this.isMissing(vm)) found.set(vm, { wave, vm })
    }
    return [...found.values()]
  }

  private isMissing (vm: string): boolean {
    return this.observation.isLoadKnown(vm) && this.presence.missingMs(vm, this.opts.clock.now()) >= LOOKUP_AFTER_MS
  }

  private async request (wave: WaveTracker, vm: string, signal: AbortSignal): Promise<void> {
    const { clock, fleetClient, token } = this.opts
    const response = await withTimeout(CALL_TIMEOUT_MS, signal, async inner => await fleetClient.startMaintenance({ vm, wave: wave.wave.number, token }, inner))
    this.log.answered(wave.wave.number, vm, response)
    if (response.ok) {
      wave.markBegun(vm, clock.now())
      this.down.add(vm, clock.now())
    } else if (response.error.kind === 'refused') {
      wave.markRefused(vm, response.error.reason, clock.now())
      if (this.isGone(vm, response.error.reason)) this.markGone(wave, vm)
    } else {
      wave.markUnanswered(vm, clock.now())
    }
  }

  private markGone (wave: WaveTracker, vm: string): void {
    const now = this.opts.clock.now()
    wave.markGone(vm, now)
    this.log.gone(wave.wave.number, vm, this.presence.missingMs(vm, now))
  }

  /** Returns whether a VM that was looked up is gone. An incomplete list may leave out a VM that is only not available. */
  private isGone (vm: string, refusal: string): boolean {
    const now = this.opts.clock.now()
    if (!this.isMissing(vm)) return false
    if (refusal === 'invalid') return this.presence.missingMs(vm, now) >= GONE_AFTER_MS
    return refusal === 'busy' && this.presence.provenMissingMs(vm, now) >= GONE_AFTER_MS
  }

  private async record (): Promise<boolean> {
    return await this.records.save(this.toRecords())
  }

  private toRecords (): Map<number, WaveRecord> {
    return new Map([...this.active].map(([number, wave]) => [number, this.toRecord(wave)]))
  }

  private toRecord ({ tracker, reporter }: ActiveWave): WaveRecord {
    const { createRevision, revision } = tracker.wave
    const now = this.opts.clock.now()
    const turns = this.turnRecorder.of(tracker)
    return {
      createRevision,
      revision,
      begun: tracker.inPhase('begun'),
      requested: [...tracker.inPhase('requested'), ...tracker.formerRequests(now)],
      gone: tracker.inPhase('gone'),
      completed: tracker.isDone(),
      reported: tracker.isDone() && reporter.reported() === 'completed',
      ...turns === undefined ? {} : { turns },
      elapsedMs: tracker.elapsedMs(now),
      at: this.opts.wallClock()
    }
  }

  /** Reports a completion only once it is recorded, so that no later leader revokes it. */
  private report ({ tracker, reporter }: ActiveWave): void {
    if (!this.opts.isLeader()) return
    const isDone = tracker.isDone()
    if (!isDone) reporter.report(tracker.wave, 'running', () => {})
    else if (this.records.isCompleted(tracker.wave) && this.isStillDone(tracker)) reporter.report(tracker.wave, 'completed', () => this.log.completed(tracker))
  }

  /** Returns whether VMs that an earlier leader found gone have not been seen since. */
  private isStillDone (tracker: WaveTracker): boolean {
    return this.seen !== undefined || tracker.inPhase('gone').length === 0
  }

  /** Returns what each VM of the wave waits for that has not begun. */
  private waitsOf (wave: WaveTracker): VmWait[] {
    const plannedFor = new Map(this.planned.map(each => [each.vm, each.wave]))
    const unreadable = new Set(this.observation.list.unreadable)
    const limitReached = countDown(this.unfinished(), this.fleet).of(wave) >= wave.wave.cap
    return wave.wave.vms.flatMap(vm => {
      const planned = plannedFor.get(vm)
      const waitsFor = vmWaits(wave, vm, {
        fleet: this.fleet,
        unreadable,
        planned: planned === wave,
        plannedElsewhere: planned !== undefined && planned !== wave,
        drained: this.drained.has(vm),
        limitReached
      })
      return waitsFor === undefined ? [] : [{ vm, waitsFor }]
    })
  }
}
