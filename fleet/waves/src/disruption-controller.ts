import { randomUUID } from 'node:crypto'
import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { DecisionLog } from '@wisteriaslip/core.decisions'
import { matchesSelector, type FleetConfig, type PoolDoc, type VmDoc, type WaveDoc } from '@wisteriaslip/config.documents'
import { addDisruption, markDone, markSetAside, progressOf, type LedgerError, type LedgerStore, type Disruption, type PoolLedger } from '@wisteriaslip/fleet.ledger'
import type { Guard } from '@wisteriaslip/store.client'
import { nextAction, type DisruptionAction, type VmObservation } from './next-action.ts'
import { planWave } from './plan-wave.ts'

const UNKNOWN_DRAIN_MS = 0

/** Options of {@link DisruptionController}, provided by the entry that leads the pool. */
export interface DisruptionControllerOpts {
  readonly ledgers: LedgerStore
  readonly decisions: DecisionLog
  /** Returns the wall-clock time in milliseconds. */
  readonly wallClock: () => number
  /** Returns the ledger in the mirror. It may be outdated; changes start from the ledger in the store. */
  readonly ledger: (pool: string) => PoolLedger
  /** Observes a VM under disruption. */
  readonly observe: (pool: string, vm: string) => Promise<VmObservation>
  /** Returns the VMs of a pool that are down or unreachable. */
  readonly failed: (pool: string) => ReadonlySet<string>
  /** Requests a reboot from the platform; returns whether the platform has accepted the request. */
  readonly reboot: (vm: string, rebootId: string) => Promise<boolean>
}

/** A VM under disruption and its observed state. */
interface ObservedDisruption {
  readonly vm: string
  readonly disruption: Disruption
  readonly observation: VmObservation
}

/** Starts the disruptions of a pool for waves and moves, and drives each one to completion. */
export class DisruptionController {
  private readonly opts: DisruptionControllerOpts

  constructor (opts: DisruptionControllerOpts) {
    this.opts = opts
  }

  /**
   * Advances the disruptions of one pool by one step and starts new ones.
   * @param config - configuration in effect
   * @param pool - pool that this entry leads
   * @param guard - proves with every write that this entry leads the pool
   */
  async step (config: FleetConfig, pool: PoolDoc, guard: Guard): Promise<void> {
    const ledger = this.opts.ledger(pool.name)
    const disruptions = Object.entries(ledger.places)
    const observations = await Promise.all(disruptions.map(async ([vm]) => await this.opts.observe(pool.name, vm)))
    for (const [index, [vm, disruption]] of disruptions.entries()) {
      const observation = observations[index]
      if (observation !== undefined) await this.advance(config, pool, { vm, disruption, observation }, guard)
    }
    for (const wave of config.waves) {
      if (wave.state === 'running') await this.startWaveDisruptions(config, pool, wave, guard)
    }
    await this.startMovesOfUnselectedVms(config, pool, guard)
  }

  private async advance (config: FleetConfig, pool: PoolDoc, { vm, disruption, observation }: ObservedDisruption, guard: Guard): Promise<void> {
    const wave = config.waves.find(each => each.name === disruption.wave && config.waveDeclaredIn(each.name) === disruption.waveDeclaredIn)
    const action = nextAction(disruption, wave, observation)
    const done = await this.perform(pool, { vm, disruption, observation }, action, guard)
    const reason = done.ok ? reasonOf(action) : done.error.code
    this.opts.decisions.record('vm', vm, reason, { pool: pool.name, wave: disruption.wave, to: disruption.to })
  }

  private async perform (pool: PoolDoc, observed: ObservedDisruption, action: DisruptionAction, guard: Guard): Promise<Result<unknown, LedgerError>> {
    const { vm, disruption } = observed
    switch (action.kind) {
      case 'wait': return ok(undefined)
      case 'reboot': return await this.startReboot(pool, observed, guard)
      case 'repeat-reboot': return await this.requestReboot(pool, vm, disruption, guard)
      case 'assign': return await this.opts.ledgers.moveVm(vm, disruption.to ?? pool.name, [guard], { from: pool.name, since: disruption.since })
      case 'finish': return await this.updateLedger(pool, guard, ledger => finishDisruption(ledger, vm, disruption))
      case 'abandon': return await this.updateLedger(pool, guard, ledger => abandonDisruption(ledger, vm, disruption, action.reason))
      case 'overdue': return await this.updateLedger(pool, guard, ledger => markOverdue(ledger, vm, disruption, this.opts.wallClock()))
    }
  }

  /** The reboot is recorded before it is requested, so that a later leader repeats the same request. */
  private async startReboot (pool: PoolDoc, { vm, disruption, observation }: ObservedDisruption, guard: Guard): Promise<Result<unknown, LedgerError>> {
    if (observation.liveBootId === undefined) return ok(undefined)
    const rebooting: Disruption = { ...disruption, phase: 'rebooting', since: this.opts.wallClock(), bootId: observation.liveBootId, rebootId: randomUUID() }
    const changed = await this.updateLedger(pool, guard, ledger => replaceDisruption(ledger, vm, disruption, rebooting))
    return changed.ok ? await this.requestReboot(pool, vm, rebooting, guard) : changed
  }

  private async requestReboot (pool: PoolDoc, vm: string, disruption: Disruption, guard: Guard): Promise<Result<unknown, LedgerError>> {
    const isAccepted = await this.opts.reboot(vm, disruption.rebootId ?? '')
    if (!isAccepted || disruption.acceptedAt !== undefined) return ok(undefined)
    return await this.updateLedger(pool, guard, ledger => replaceDisruption(ledger, vm, disruption, { ...disruption, acceptedAt: this.opts.wallClock() }))
  }

  /**
   * The mirror only shows whether there is anything to start. What is started follows from the ledger in the store, which
   * has what other waves have just started and what is done.
   */
  private async startWaveDisruptions (config: FleetConfig, pool: PoolDoc, wave: WaveDoc, guard: Guard): Promise<void> {
    const mirrored = this.opts.ledger(pool.name)
    if (this.remainingVms(config, mirrored, wave).length === 0) return
    const planned = this.addDisruptionsOf(config, pool, wave, mirrored)
    if (!planned.ok) {
      this.opts.decisions.record('wave', wave.name, 'NO_ROOM_IN_BUDGET', { pool: pool.name, failed: [...this.opts.failed(pool.name)], underWay: Object.keys(mirrored.places) })
      return
    }
    const started = await this.updateLedger(pool, guard, ledger => this.addDisruptionsOf(config, pool, wave, ledger))
    const reason = started.ok ? 'TAKEN_BY_WAVE' : started.error.code
    for (const vm of addedVms(wave, mirrored, started.ok ? started.value : planned.value)) this.opts.decisions.record('vm', vm, reason, { pool: pool.name, wave: wave.name })
  }

  /** Adds the disruptions that the wave starts now; an error when there are none. */
  private addDisruptionsOf (config: FleetConfig, pool: PoolDoc, wave: WaveDoc, ledger: PoolLedger): Result<PoolLedger, LedgerError> {
    const failed = this.opts.failed(pool.name)
    const disruption: Disruption = { reason: 'maintenance', wave: wave.name, waveDeclaredIn: config.waveDeclaredIn(wave.name), phase: 'draining', since: this.opts.wallClock() }
    const candidates = this.remainingVms(config, ledger, wave).map(vm => ({ vm: vm.name, zone: vm.zone, rack: vm.rack, drainMs: UNKNOWN_DRAIN_MS }))
    let next = ledger
    for (const vm of planWave({ pool, ledger, failed, candidates, rackOf: vm => config.vms.get(vm)?.rack ?? '' })) {
      const added = addDisruption(pool, next, vm, disruption, { failed })
      if (added.ok) next = added.value
    }
    return next === ledger ? err({ kind: 'no-room', code: 'BUDGET_NO_ROOM', message: `wave "${wave.name}" may disrupt no VM of pool "${pool.name}" now` }) : ok(next)
  }

  private async startMove (pool: PoolDoc, vm: string, disruption: Disruption, guard: Guard): Promise<void> {
    const started = await this.updateLedger(pool, guard, ledger => addDisruption(pool, ledger, vm, disruption, { failed: this.opts.failed(pool.name) }))
    const reason = started.ok ? 'MOVE_STARTED' : started.error.code
    this.opts.decisions.record('vm', vm, reason, { pool: pool.name, to: disruption.to })
  }

  private remainingVms (config: FleetConfig, ledger: PoolLedger, wave: WaveDoc): VmDoc[] {
    const progress = progressOf(ledger, wave.name, config.waveDeclaredIn(wave.name))
    const processed = new Set([...progress.done, ...progress.setAside.map(each => each.vm)])
    return ledger.members
      .filter(vm => !processed.has(vm) && ledger.places[vm] === undefined)
      .map(vm => config.vms.get(vm))
      .filter((vm): vm is VmDoc => vm !== undefined && matchesSelector(wave.selector, vm.labels))
  }

  /** Starts the move of each VM that its pool no longer selects, to the first pool that selects it. */
  private async startMovesOfUnselectedVms (config: FleetConfig, pool: PoolDoc, guard: Guard): Promise<void> {
    const ledger = this.opts.ledger(pool.name)
    for (const name of ledger.members) {
      const vm = config.vms.get(name)
      if (vm === undefined || ledger.places[name] !== undefined || matchesSelector(pool.selector, vm.labels)) continue
      const to = config.pools.find(each => matchesSelector(each.selector, vm.labels))
      if (to === undefined) this.opts.decisions.record('vm', name, 'NO_POOL_SELECTS_IT', { pool: pool.name })
      else await this.startMove(pool, name, { reason: 'move', to: to.name, phase: 'draining', since: this.opts.wallClock() }, guard)
    }
  }

  private async updateLedger (pool: PoolDoc, guard: Guard, change: (ledger: PoolLedger) => Result<PoolLedger, LedgerError>): Promise<Result<PoolLedger, LedgerError>> {
    return await this.opts.ledgers.updateLedger(pool.name, guard, change)
  }
}

function addedVms (wave: WaveDoc, before: PoolLedger, after: PoolLedger): string[] {
  return Object.keys(after.places).filter(vm => before.places[vm] === undefined && after.places[vm]?.wave === wave.name)
}

function reasonOf (action: DisruptionAction): string {
  switch (action.kind) {
    case 'wait': return action.reason
    case 'abandon': return action.reason
    case 'reboot': return 'REBOOT_STARTED'
    case 'repeat-reboot': return 'REBOOT_ASKED_AGAIN'
    case 'assign': return 'MOVED'
    case 'finish': return 'BACK_IN_SERVICE'
    case 'overdue': return 'RETURN_TIMEOUT'
  }
}

function finishDisruption (ledger: PoolLedger, vm: string, disruption: Disruption): Result<PoolLedger, LedgerError> {
  const unchanged = checkUnchanged(ledger, vm, disruption)
  if (!unchanged.ok) return unchanged
  return ok(markDone(withoutDisruption(ledger, vm), vm, disruption))
}

function abandonDisruption (ledger: PoolLedger, vm: string, disruption: Disruption, reason: string): Result<PoolLedger, LedgerError> {
  const unchanged = checkUnchanged(ledger, vm, disruption)
  if (!unchanged.ok) return unchanged
  return ok(markSetAside(withoutDisruption(ledger, vm), vm, disruption, reason))
}

function markOverdue (ledger: PoolLedger, vm: string, disruption: Disruption, now: number): Result<PoolLedger, LedgerError> {
  const replaced = replaceDisruption(ledger, vm, disruption, { ...disruption, phase: 'overdue', since: now })
  return replaced.ok ? ok(markSetAside(replaced.value, vm, disruption, 'RETURN_TIMEOUT')) : replaced
}

function replaceDisruption (ledger: PoolLedger, vm: string, from: Disruption, to: Disruption): Result<PoolLedger, LedgerError> {
  const unchanged = checkUnchanged(ledger, vm, from)
  return unchanged.ok ? ok({ ...ledger, places: { ...ledger.places, [vm]: to } }) : unchanged
}

function checkUnchanged (ledger: PoolLedger, vm: string, disruption: Disruption): Result<void, LedgerError> {
  const current = ledger.places[vm]
  if (current !== undefined && current.phase === disruption.phase && current.since === disruption.since) return ok(undefined)
  return err({ kind: 'conflict', code: 'LEDGER_CONFLICT', message: `the disruption of VM "${vm}" has changed` })
}

function withoutDisruption (ledger: PoolLedger, vm: string): PoolLedger {
  const places = Object.fromEntries(Object.entries(ledger.places).filter(([name]) => name !== vm))
  return { ...ledger, places }
}
