import { allEnded, delay, withTimeout } from '@wisteriaslip/core.result'
import type { JobConfig, Service, Vm } from '@wisteriaslip/jobs.model'
import type { ServiceLoad } from '@wisteriaslip/jobs.protocol'
import { areStillDrained, type DrainedVms } from './drained-vms.ts'
import { PoolAutoscaler, type PlannedMove } from './pool-autoscaler.ts'
import type { FleetTermOpts } from './ports.ts'
import { UnansweredMoves } from './unanswered-moves.ts'
import { WaveRunner } from './wave-runner.ts'

const STEP_INTERVAL_MS = 200
const MAX_STEP_INTERVAL_MS = 1_000
const CALL_TIMEOUT_MS = 1_500
/** Ids of VMs in one line of the log. */
const MAX_LOGGED_VMS = 20
/** A leader that has confirmed that none of its workers is withdrawn is told so again after this time: it may be a new one. */
const REPEAT_EMPTY_WITHDRAWAL_MS = 1_000
/** Interval at which pools that lack VMs are logged. */
const SHORTFALL_REPORT_INTERVAL_MS = 1_000

/** What a pass has planned. */
interface PlannedStarts {
  /** Ids of the VMs to drain for waves. */
  readonly reservedVms: Iterable<string>
  readonly moves: readonly PlannedMove[]
  /** Ids of the VMs that may yet be moved. */
  readonly heldVms: readonly string[]
  readonly signal: AbortSignal
}

/** One entry's period of leadership of the fleet: runs maintenance waves and scales pools. */
export class FleetTerm {
  readonly token: number
  private readonly opts: FleetTermOpts
  private readonly autoscaler: PoolAutoscaler
  private readonly waves: WaveRunner
  private readonly unansweredMoves = new UnansweredMoves()
  private listedVms: ReadonlySet<string> = new Set()
  /** Pool of each VM when it was last listed. */
  private readonly lastPools = new Map<string, string>()
  /** When the leader of a service last confirmed that none of its workers is withdrawn. */
  private readonly noneWithdrawnAt = new Map<string, number>()
  private shortfallReportedAt = Number.NEGATIVE_INFINITY

  constructor (opts: FleetTermOpts) {
    this.opts = opts
    this.token = opts.token
    this.autoscaler = new PoolAutoscaler(opts.clock)
    this.waves = new WaveRunner(opts)
  }

  /**
   * Leads the fleet until the signal aborts.
   * @param signal - ends the term
   * @throws the error of a pass, once all its requests have ended
   */
  async run (signal: AbortSignal): Promise<void> {
    let tookMs = 0
    // Steps that take long show that the leaders of services are held up, which more calls would make worse.
    while (await delay(Math.max(STEP_INTERVAL_MS, tookMs), signal)) {
      const startedAt = this.opts.clock.now()
      if (this.opts.isLeader()) await this.step(signal)
      tookMs = Math.min(MAX_STEP_INTERVAL_MS, this.opts.clock.now() - startedAt)
    }
  }

  /**
   * @param wave - number of the wave
   * @returns its progress and what it waits for, undefined if it is not declared
   */
  explainWave (wave: number): unknown {
    const explained = this.waves.explain(wave)
    return explained === undefined ? undefined : { token: this.token, ...explained }
  }

  /** Logs which VMs joined or left the platform's list, of which a wave may wait or have been completed. */
  private logListChanges (vms: readonly Vm[]): void {
    const listed = new Set(vms.map(vm => vm.id))
    const joined = [...listed].filter(vm => !this.listedVms.has(vm))
    const left = [...this.listedVms].filter(vm => !listed.has(vm))
    if (joined.length + left.length > 0) {
      const fields = { joined: joined.length, joinedVms: joined.slice(0, MAX_LOGGED_VMS), left: left.length, leftVms: left.slice(0, MAX_LOGGED_VMS) }
      this.opts.logger.info({ ...fields, listed: listed.size }, 'list of VMs changed')
    }
    this.listedVms = listed
    for (const { id, pool } of vms) this.lastPools.set(id, pool)
  }

  /** Logs what all pools ask for and have while one of them has less than it asks for. */
  private logShortfalls (): void {
    const now = this.opts.clock.now()
    const needs = [...this.autoscaler.needs()]
    if (now - this.shortfallReportedAt < SHORTFALL_REPORT_INTERVAL_MS || needs.every(([, { required, supply }]) => supply >= required)) return
    this.shortfallReportedAt = now
    this.opts.logger.info({ token: this.token, pools: Object.fromEntries(needs) }, 'pools lack VMs')
  }

  /**
   * Returns whether all services that may run something on the VM have responded. A service without queues has no leader;
   * it may still run earlier jobs on the VMs of its pool.
   */
  private isLoadKnown (vm: string, config: JobConfig | undefined, loads: ReadonlyMap<string, ServiceLoad>): boolean {
    if (config === undefined || !config.queues.every(queue => loads.has(queue.service))) return false
    const pool = config.services.find(service => service.name === this.lastPools.get(vm))
    return pool === undefined || pool.standby || loads.has(pool.name)
  }

  /**
   * Makes one pass: observes the VMs, then starts maintenances and moves.
   * @param signal - aborts the calls
   */
  async step (signal: AbortSignal): Promise<void> {
    if (!await this.waves.follow()) return
    const config = this.opts.config()
    const services = config?.services ?? []
    const [listResult, loads] = await Promise.all([
      withTimeout(CALL_TIMEOUT_MS, signal, async inner => await this.opts.fleetClient.listVms(inner)),
      this.collectLoads(services)
    ])
    if (!listResult.ok) {
      this.opts.logger.info({ error: listResult.error }, 'failed to list VMs')
      return
    }
    const { vms } = listResult.value
    this.logListChanges(vms)
    const reservedVms = this.waves.plan({ list: listResult.value, loads, isLoadKnown: vm => this.isLoadKnown(vm, config, loads) })
    const moves = this.autoscaler.plan(services, vms, loads, reservedVms)
    this.logShortfalls()
    const heldVms = this.unansweredMoves.held(vms, this.opts.clock.now())
    await allEnded([
      this.waves.repeat(signal),
      ...services.map(async service => await this.drainAndStart(service, { reservedVms, moves, heldVms, signal }))
    ])
    await this.waves.lookUp(signal)
    this.waves.settle()
  }

  /** Starts what is planned on the VMs of a service when its leader has responded, without waiting for those of others. */
  private async drainAndStart (service: Service, { reservedVms, moves, heldVms, signal }: PlannedStarts): Promise<void> {
    const chosen = new Set([...reservedVms, ...moves.map(move => move.vm), ...heldVms])
    const drained = await this.withdraw(service, [...chosen].filter(vm => this.lastPools.get(vm) === service.name))
    const due = areStillDrained(drained, this.opts.clock.now()) ? moves.filter(move => drained.vms.has(move.vm)) : []
    await allEnded([
      ...due.map(async move => await this.moveVm(move, signal)),
      this.waves.start(drained, signal)
    ])
  }

  private async collectLoads (services: readonly Service[]): Promise<Map<string, ServiceLoad>> {
    const loads = new Map<string, ServiceLoad>()
    await Promise.all(services.filter(service => !service.standby).map(async service => {
      const load = await this.opts.services.load(service.name)
      if (load !== undefined) loads.set(service.name, load)
    }))
    return loads
  }

  /** @returns those of the VMs that are drained or have no workers */
  private async withdraw (service: Service, vms: readonly string[]): Promise<DrainedVms> {
    const askedAt = this.opts.clock.now()
    if (service.standby) return { vms: new Set(vms), askedAt }
    const none = { vms: new Set<string>(), askedAt }
    const isRepetition = vms.length === 0 && askedAt - (this.noneWithdrawnAt.get(service.name) ?? Number.NEGATIVE_INFINITY) < REPEAT_EMPTY_WITHDRAWAL_MS
    if (isRepetition) return none
    this.noneWithdrawnAt.delete(service.name)
    const reply = await this.opts.services.withdraw(service.name, vms, this.token)
    if (reply?.kind !== 'withdrawn') return none
    if (vms.length === 0) this.noneWithdrawnAt.set(service.name, askedAt)
    return { vms: new Set(reply.empty), askedAt, isTermCurrent: () => this.isTermCurrent(service.name, reply.token) }
  }

  /** Returns whether a term of a service goes on as far as this entry knows: its successor does not know what it has called drained. */
  private isTermCurrent (service: string, token: number | undefined): boolean {
    const recorded = this.opts.services.token(service)
    return token === undefined || (recorded !== 0 && recorded <= token)
  }

  private async moveVm (move: PlannedMove, signal: AbortSignal): Promise<void> {
    if (!this.opts.isLeader()) return
    const response = await withTimeout(CALL_TIMEOUT_MS, signal, async inner => await this.opts.fleetClient.moveVm({ vm: move.vm, pool: move.to, token: this.token }, inner))
    this.opts.logger.info({ ...move, answer: response.ok ? 'accepted' : response.error }, 'move requested')
    const isUnanswered = !response.ok && response.error.kind === 'unknown'
    if (isUnanswered) this.unansweredMoves.add(move, this.opts.clock.now())
    if (response.ok || isUnanswered) this.autoscaler.recordMove(move)
  }
}
