import { randomUUID } from 'node:crypto'
import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { DecisionLog } from '@wisteriaslip/core.decisions'
import { matches, type FleetConfig, type PoolDoc, type VmDoc, type WaveDoc } from '@wisteriaslip/config.documents'
import { addDisruption, type LedgerError, type LedgerStore, type Disruption, type PoolLedger, type WaveProgress } from '@wisteriaslip/fleet.ledger'
import type { Guard } from '@wisteriaslip/store.client'
import { nextAction, type DisruptionAction, type VmObservation } from './next-action.ts'
import { planWave } from './plan-wave.ts'

const UNKNOWN_DRAIN_MS = 0
const NO_PROGRESS: WaveProgress = { done: [], setAside: [] }

/** What a pool's keeper needs of the entry that leads the pool. */
export interface DisruptionControllerOpts {
  readonly ledgers: LedgerStore
  readonly decisions: DecisionLog
  /** Wall-clock time in milliseconds. */
  readonly wallClock: () => number
  /** Ledger as last known; every change starts from the store's present one. */
  readonly ledger: (pool: string) => PoolLedger
  readonly observe: (pool: string, vm: string) => Promise<VmObservation>
  /** VMs of a pool that are down or out of reach. */
  readonly failed: (pool: string) => ReadonlySet<string>
  /** Asks the platform for a reboot. */
  readonly reboot: (vm: string, rebootId: string) => Promise<void>
}

/** A VM under disruption, and what is seen of it. */
interface Disrupted {
  readonly vm: string
  readonly place: Disruption
  readonly observation: VmObservation
}

/** Keeps a pool's ledger: takes places for waves and moves, and leads each disruption to its end. */
export class DisruptionController {
  private readonly opts: DisruptionControllerOpts

  constructor (opts: DisruptionControllerOpts) {
    this.opts = opts
  }

  /**
   * One step for one pool.
   * @param config - in force
   * @param pool - that this entry leads
   * @param guard - proves it with every write
   */
  async step (config: FleetConfig, pool: PoolDoc, guard: Guard): Promise<void> {
    const ledger = this.opts.ledger(pool.name)
    const disrupted = Object.entries(ledger.places)
    const seen = await Promise.all(disrupted.map(async ([vm]) => await this.opts.observe(pool.name, vm)))
    for (const [index, [vm, place]] of disrupted.entries()) {
      const observation = seen[index]
      if (observation !== undefined) await this.advance(config, pool, { vm, place, observation }, guard)
    }
    for (const wave of config.waves) {
      if (wave.state === 'running') await this.takeForWave(config, pool, wave, guard)
    }
    await this.takeMisplaced(config, pool, guard)
  }

  private async advance (config: FleetConfig, pool: PoolDoc, { vm, place, observation }: Disrupted, guard: Guard): Promise<void> {
    const wave = config.waves.find(each => each.name === place.wave)
    const action = nextAction(place, wave, observation)
    const done = await this.perform(pool, { vm, place, observation }, action, guard)
    const reason = done.ok ? reasonOf(action) : done.error.code
    this.opts.decisions.record('vm', vm, reason, { pool: pool.name, wave: place.wave, to: place.to })
  }

  private async perform (pool: PoolDoc, disrupted: Disrupted, action: DisruptionAction, guard: Guard): Promise<Result<unknown, LedgerError>> {
    const { vm, place } = disrupted
    switch (action.kind) {
      case 'wait': return ok(undefined)
      case 'reboot': return await this.startReboot(pool, disrupted, guard)
      case 'ask-reboot':
        await this.opts.reboot(vm, place.rebootId ?? '')
        return ok(undefined)
      case 'assign': return await this.opts.ledgers.assign(vm, place.to ?? pool.name, [guard])
      case 'finish': return await this.change(pool, guard, ledger => finish(ledger, vm, place))
      case 'give-up': return await this.change(pool, guard, ledger => giveUp(ledger, vm, place, action.reason))
      case 'overdue': return await this.change(pool, guard, ledger => setOverdue(ledger, vm, place, this.opts.wallClock()))
    }
  }

  /** The reboot is recorded before it is asked for, so that a later leader asks for the same one. */
  private async startReboot (pool: PoolDoc, { vm, place, observation }: Disrupted, guard: Guard): Promise<Result<unknown, LedgerError>> {
    if (observation.liveBootId === undefined) return ok(undefined)
    const rebooting: Disruption = { ...place, phase: 'rebooting', since: this.opts.wallClock(), bootId: observation.liveBootId, rebootId: randomUUID() }
    const changed = await this.change(pool, guard, ledger => replacePlace(ledger, vm, place, rebooting))
    if (changed.ok) await this.opts.reboot(vm, rebooting.rebootId ?? '')
    return changed
  }

  private async takeForWave (config: FleetConfig, pool: PoolDoc, wave: WaveDoc, guard: Guard): Promise<void> {
    const ledger = this.opts.ledger(pool.name)
    const candidates = this.remaining(config, ledger, wave)
    if (candidates.length === 0) return
    const failed = this.opts.failed(pool.name)
    const planned = planWave({
      pool,
      ledger,
      failed,
      candidates: candidates.map(vm => ({ vm: vm.name, zone: vm.zone, rack: vm.rack, drainMs: UNKNOWN_DRAIN_MS })),
      rackOf: vm => config.vms.get(vm)?.rack ?? ''
    })
    if (planned.length === 0) this.opts.decisions.record('wave', wave.name, 'NO_ROOM_IN_BUDGET', { pool: pool.name, failed: [...failed], underWay: Object.keys(ledger.places) })
    for (const vm of planned) await this.take(pool, vm, { reason: 'maintenance', wave: wave.name, phase: 'draining', since: this.opts.wallClock() }, guard)
  }

  private async take (pool: PoolDoc, vm: string, place: Disruption, guard: Guard): Promise<void> {
    const taken = await this.change(pool, guard, ledger => addDisruption(pool, ledger, vm, place, { failed: this.opts.failed(pool.name) }))
    const reason = taken.ok ? (place.reason === 'move' ? 'MOVE_STARTED' : 'TAKEN_BY_WAVE') : taken.error.code
    this.opts.decisions.record('vm', vm, reason, { pool: pool.name, wave: place.wave, to: place.to })
  }

  private remaining (config: FleetConfig, ledger: PoolLedger, wave: WaveDoc): VmDoc[] {
    const progress = ledger.waves[wave.name] ?? NO_PROGRESS
    const over = new Set([...progress.done, ...progress.setAside.map(each => each.vm)])
    return ledger.members
      .filter(vm => !over.has(vm) && ledger.places[vm] === undefined)
      .map(vm => config.vms.get(vm))
      .filter((vm): vm is VmDoc => vm !== undefined && matches(wave.selector, vm.labels))
  }

  /** A VM whose labels its pool no longer selects moves to the first pool that selects it. */
  private async takeMisplaced (config: FleetConfig, pool: PoolDoc, guard: Guard): Promise<void> {
    const ledger = this.opts.ledger(pool.name)
    for (const name of ledger.members) {
      const vm = config.vms.get(name)
      if (vm === undefined || ledger.places[name] !== undefined || matches(pool.selector, vm.labels)) continue
      const to = config.pools.find(each => matches(each.selector, vm.labels))
      if (to === undefined) this.opts.decisions.record('vm', name, 'NO_POOL_SELECTS_IT', { pool: pool.name })
      else await this.take(pool, name, { reason: 'move', to: to.name, phase: 'draining', since: this.opts.wallClock() }, guard)
    }
  }

  private async change (pool: PoolDoc, guard: Guard, change: (ledger: PoolLedger) => Result<PoolLedger, LedgerError>): Promise<Result<PoolLedger, LedgerError>> {
    return await this.opts.ledgers.updateLedger(pool.name, guard, change)
  }
}

function reasonOf (action: DisruptionAction): string {
  switch (action.kind) {
    case 'wait': return action.reason
    case 'give-up': return action.reason
    case 'reboot': return 'REBOOT_STARTED'
    case 'ask-reboot': return 'REBOOT_ASKED_AGAIN'
    case 'assign': return 'MOVED'
    case 'finish': return 'BACK_IN_SERVICE'
    case 'overdue': return 'RETURN_TIMEOUT'
  }
}

function finish (ledger: PoolLedger, vm: string, place: Disruption): Result<PoolLedger, LedgerError> {
  const present = samePlace(ledger, vm, place)
  if (!present.ok) return present
  const freed = withoutPlace(ledger, vm)
  if (place.wave === undefined) return ok(freed)
  const progress = ledger.waves[place.wave] ?? NO_PROGRESS
  const setAside = progress.setAside.filter(each => each.vm !== vm)
  return ok({ ...freed, waves: { ...ledger.waves, [place.wave]: { done: [...progress.done, vm], setAside } } })
}

function giveUp (ledger: PoolLedger, vm: string, place: Disruption, reason: string): Result<PoolLedger, LedgerError> {
  const present = samePlace(ledger, vm, place)
  if (!present.ok) return present
  return ok(setAside(withoutPlace(ledger, vm), vm, place.wave, reason))
}

function setOverdue (ledger: PoolLedger, vm: string, place: Disruption, now: number): Result<PoolLedger, LedgerError> {
  const replaced = replacePlace(ledger, vm, place, { ...place, phase: 'overdue', since: now })
  return replaced.ok ? ok(setAside(replaced.value, vm, place.wave, 'RETURN_TIMEOUT')) : replaced
}

function setAside (ledger: PoolLedger, vm: string, wave: string | undefined, reason: string): PoolLedger {
  if (wave === undefined) return ledger
  const progress = ledger.waves[wave] ?? NO_PROGRESS
  const aside = [...progress.setAside.filter(each => each.vm !== vm), { vm, reason }]
  return { ...ledger, waves: { ...ledger.waves, [wave]: { ...progress, setAside: aside } } }
}

function replacePlace (ledger: PoolLedger, vm: string, from: Disruption, to: Disruption): Result<PoolLedger, LedgerError> {
  const present = samePlace(ledger, vm, from)
  return present.ok ? ok({ ...ledger, places: { ...ledger.places, [vm]: to } }) : present
}

function samePlace (ledger: PoolLedger, vm: string, place: Disruption): Result<void, LedgerError> {
  const present = ledger.places[vm]
  if (present !== undefined && present.phase === place.phase && present.since === place.since) return ok(undefined)
  return err({ kind: 'conflict', code: 'LEDGER_CONFLICT', message: `the place of ${vm} has changed` })
}

function withoutPlace (ledger: PoolLedger, vm: string): PoolLedger {
  const places = Object.fromEntries(Object.entries(ledger.places).filter(([name]) => name !== vm))
  return { ...ledger, places }
}
