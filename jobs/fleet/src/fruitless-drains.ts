import { workersOf } from './service-workers.ts'
import type { FleetSnapshot } from './wave-schedule.ts'

/** A number of long-running tasks counts as changed after this time: while one moves, or its worker is lost, it is missing for less. */
const SETTLED_MS = 3_000
/** What keeps a drain from its end may be something else than room, which nothing here shows: it is tried again after this time. */
const MAX_REST_MS = 120_000

/** What a service has for the long-running tasks of one of its VMs, as far as the fleet's leader knows. */
interface Room {
  readonly pool: string
  /** VMs that are up and whose workers respond. */
  readonly workers: ReadonlySet<string>
  /** Number of long-running tasks on all of them. */
  readonly lastingRuns: number
  /** Number of runs that end by themselves on the others. */
  readonly endingRuns: number
}

/** A VM that is being drained. */
interface Drain {
  readonly lastingRuns: number
  fewestLastingRuns: number
  /** Fewest runs that end by themselves on the other VMs of its service. */
  fewestEndingRuns: number
  /** No other VM of its service was drained meanwhile. */
  isAlone: boolean
}

/** A VM that rests until the room has changed. */
interface Rest {
  readonly room: Room
  readonly since: number
  /** Since when the number of long-running tasks is another one. */
  changedAt: number | undefined
}

/**
 * Tells drains that only stop work: long-running tasks have gone from the VM, and it has been given back for the second time with
 * the same workers and as many long-running tasks in its service. Such a VM rests until one of these has changed, a VM of its
 * service has gone, or fewer runs that end by themselves are left on the others than at any time of the drain.
 */
export class FruitlessDrains {
  private readonly drains = new Map<string, Drain>()
  /** The room when a VM was last given back. */
  private readonly givenBack = new Map<string, Room>()
  private readonly rests = new Map<string, Rest>()

  /** @returns ids of the VMs that are not drained as nothing has changed */
  resting (): Iterable<string> {
    return this.rests.keys()
  }

  /**
   * @param drained - ids of the VMs that are being drained
   * @param taken - ids of these and of those that a request may take down
   * @param fleet - the fleet
   */
  follow (drained: ReadonlySet<string>, taken: ReadonlySet<string>, fleet: FleetSnapshot): void {
    for (const vm of this.drains.keys()) if (!drained.has(vm)) this.drains.delete(vm)
    for (const vm of this.givenBack.keys()) if (fleet.vms.get(vm)?.state !== 'up') this.givenBack.delete(vm)
    for (const vm of drained) this.followDrain(vm, taken, fleet)
    for (const [vm, rest] of this.rests) if (isOver(vm, rest, fleet)) this.rests.delete(vm)
  }

  /**
   * @param vm - id of a VM whose drain is given back
   * @param fleet - the fleet
   */
  giveBack (vm: string, fleet: FleetSnapshot): void {
    const drain = this.drains.get(vm)
    const before = this.givenBack.get(vm)
    if (drain === undefined) return
    const room = { ...roomFor(vm, fleet), endingRuns: drain.fewestEndingRuns }
    this.givenBack.set(vm, room)
    this.drains.delete(vm)
    const isFruitless = drain.isAlone && drain.fewestLastingRuns < drain.lastingRuns
    if (isFruitless && before !== undefined && isSame(before, room)) this.rests.set(vm, { room, since: fleet.now, changedAt: undefined })
  }

  private followDrain (vm: string, taken: ReadonlySet<string>, fleet: FleetSnapshot): void {
    const { lastingRuns, usable } = fleet.load(vm)
    if (usable === undefined) return
    const { workers, endingRuns } = roomFor(vm, fleet)
    const drain = this.drains.get(vm) ?? { lastingRuns, fewestLastingRuns: lastingRuns, fewestEndingRuns: endingRuns, isAlone: true }
    drain.fewestLastingRuns = Math.min(drain.fewestLastingRuns, lastingRuns)
    drain.fewestEndingRuns = Math.min(drain.fewestEndingRuns, endingRuns)
    drain.isAlone &&= [...workers].every(other => other === vm || !taken.has(other))
    this.drains.set(vm, drain)
  }
}

function roomFor (vm: string, fleet: FleetSnapshot): Room {
  const pool = fleet.vms.get(vm)?.pool ?? ''
  const workers = new Set(workersOf(pool, fleet))
  const loads = [...workers].map(worker => ({ worker, ...fleet.load(worker) }))
  return {
    pool,
    workers,
    lastingRuns: sum(loads.map(({ lastingRuns }) => lastingRuns)),
    endingRuns: sum(loads.map(({ worker, runs, lastingRuns }) => worker === vm ? 0 : runs - lastingRuns))
  }
}

function isOver (vm: string, rest: Rest, fleet: FleetSnapshot): boolean {
  const { room, since } = rest
  const isGone = (each: string): boolean => fleet.vms.get(each)?.state !== 'up' || fleet.vms.get(each)?.pool !== room.pool
  if (isGone(vm) || fleet.now - since >= MAX_REST_MS || [...room.workers].some(isGone)) return true
  const current = roomFor(vm, fleet)
  // The service does not respond.
  if (current.workers.size === 0) return false
  if (current.lastingRuns === room.lastingRuns) rest.changedAt = undefined
  else rest.changedAt ??= fleet.now
  const isChanged = rest.changedAt !== undefined && fleet.now - rest.changedAt >= SETTLED_MS
  return isChanged || current.endingRuns < room.endingRuns || [...current.workers].some(worker => !room.workers.has(worker))
}

function isSame (a: Room, b: Room): boolean {
  return a.lastingRuns === b.lastingRuns && a.workers.size === b.workers.size && [...a.workers].every(worker => b.workers.has(worker))
}

function sum (numbers: readonly number[]): number {
  return numbers.reduce((total, each) => total + each, 0)
}
