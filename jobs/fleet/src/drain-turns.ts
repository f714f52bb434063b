import type { TurnTimes } from './ports.ts'
import type { FleetSnapshot, PlannedMaintenance } from './wave-schedule.ts'
import { openWorkers, workersOf } from './service-workers.ts'

/** A drain that leaves its service no open worker gives way when no long-running task has gone from there for this long. */
const GIVE_WAY_AFTER_MS = 6_000
/**
 * One that leaves open workers gives way after this: the room for which it waits mostly comes before, when runs end. But these
 * workers may not fit the tasks that wait.
 */
const TURN_MS = 12_000
/** A VM that arrives in its service or returns to it takes less; one that is away for longer is not waited for. */
const MAX_ARRIVAL_MS = 10_000
/** Longer than a drain that leaves no open worker lasts, so that the tasks that have waited meanwhile can be done. */
const REST_MS = 8_000
/** The next leader is told of drains that have waited for this long. */
const MIN_TOLD_MS = 1_000

/** A VM that is being drained. */
interface Drain {
  readonly since: number
  /** Pool of the VM; undefined before the first pass. */
  readonly pool: string | undefined
  /** Fewest long-running tasks there since then. */
  readonly fewestLastingRuns: number
}

/** A drain that was given back. */
export interface GivenBackDrain {
  readonly vm: string
  readonly pool: string
  readonly lastingRuns: number
}

/**
 * Gives back drains that cannot end, so that the workers of a service are drained in turns. A drain whose VM has no long-running
 * task ends by itself, as its worker gets no new runs: it is never given back.
 */
export class DrainTurns {
  private readonly drains = new Map<string, Drain>()
  /** When a drain of each service last came closer to its end, or a VM was on its way to the service, by the injected clock. */
  private readonly progressAt = new Map<string, number>()
  /** Since when each VM that is on its way to a service, or in maintenance, has been so, by the injected clock. */
  private readonly awaySince = new Map<string, number>()
  private readonly restsUntil = new Map<string, number>()

  /**
   * @param now - time of the injected clock, in milliseconds
   * @returns ids of the VMs that are not drained for now
   */
  resting (now: number): Set<string> {
    for (const [vm, until] of this.restsUntil) if (now >= until) this.restsUntil.delete(vm)
    return new Set(this.restsUntil.keys())
  }

  /**
   * @param now - time of the injected clock, in milliseconds
   * @returns what the next leader has to know
   */
  times (now: number): TurnTimes {
    const told = [...this.drains].filter(([, drain]) => drain.fewestLastingRuns > 0 && this.waitedMs(drain, now) >= MIN_TOLD_MS)
    return {
      drains: told.map(([vm, drain]) => ({ vm, waitedMs: Math.floor(this.waitedMs(drain, now)), lastingRuns: drain.fewestLastingRuns })),
      rests: [...this.restsUntil].filter(([, until]) => now < until).map(([vm, until]) => ({ vm, restedMs: Math.floor(REST_MS - (until - now)) }))
    }
  }

  /**
   * Continues the turns of an earlier leader. What this one knows itself stays.
   * @param times - what the earlier leader has recorded
   * @param now - time of the injected clock, in milliseconds
   */
  resume ({ drains, rests }: TurnTimes, now: number): void {
    for (const { vm, waitedMs, lastingRuns } of drains) {
      if (!this.drains.has(vm)) this.drains.set(vm, { since: now - waitedMs, pool: undefined, fewestLastingRuns: lastingRuns })
    }
    for (const { vm, restedMs } of rests) {
      if (!this.restsUntil.has(vm)) this.restsUntil.set(vm, now + Math.max(0, REST_MS - restedMs))
    }
  }

  /**
   * Follows the drains, and gives back those that have come no closer to their end for long. A VM that a request may take down goes
   * on draining.
   * @param planned - the maintenance that is planned
   * @param fleet - the fleet
   * @returns the drains that are given back from the next pass on
   */
  follow (planned: readonly PlannedMaintenance[], fleet: FleetSnapshot): GivenBackDrain[] {
    const taken = new Set(planned.map(({ vm }) => vm))
    const drained = new Set(planned.filter(({ wave, vm }) => fleet.vms.get(vm)?.state === 'up' && wave.stateOf(vm, fleet.now)?.phase === 'waiting').map(({ vm }) => vm))
    for (const vm of this.drains.keys()) if (!drained.has(vm)) this.drains.delete(vm)
    this.followArrivals(fleet)
    for (const vm of drained) this.followDrain(vm, fleet)
    const stuck = [...this.drains.keys()].flatMap(vm => this.isStuck(vm, taken, fleet) ? [this.describe(vm, fleet)] : [])
    for (const { vm } of stuck) this.giveBack(vm, fleet.now)
    return stuck
  }

  /** A VM that arrives may have room for the tasks that keep a drain from its end. */
  private followArrivals ({ vms, now }: FleetSnapshot): void {
    const isAway = (vm: string): boolean => ['moving', 'maintenance'].includes(vms.get(vm)?.state ?? '')
    for (const vm of this.awaySince.keys()) if (!isAway(vm)) this.awaySince.delete(vm)
    for (const { id, pool } of vms.values()) {
      if (!isAway(id)) continue
      const since = this.awaySince.get(id) ?? now
      this.awaySince.set(id, since)
      if (now - since < MAX_ARRIVAL_MS) this.progressAt.set(pool, now)
    }
  }

  private followDrain (vm: string, { vms, load, now }: FleetSnapshot): void {
    const { lastingRuns, usable } = load(vm)
    // What runs on a worker that is not known, as its service has not responded, is not known either.
    if (usable === undefined) return
    const pool = vms.get(vm)?.pool ?? ''
    const { since, fewestLastingRuns } = this.drains.get(vm) ?? { since: now, fewestLastingRuns: lastingRuns }
    this.drains.set(vm, { since, pool, fewestLastingRuns: Math.min(fewestLastingRuns, lastingRuns) })
    if (lastingRuns < fewestLastingRuns) this.progressAt.set(pool, now)
  }

  private isStuck (vm: string, taken: ReadonlySet<string>, fleet: FleetSnapshot): boolean {
    const drain = this.drains.get(vm)
    if (drain === undefined || fleet.load(vm).lastingRuns === 0) return false
    const pool = fleet.vms.get(vm)?.pool ?? ''
    return this.waitedMs(drain, fleet.now) >= patienceMs(openWorkers(workersOf(pool, fleet), taken).length)
  }

  /** Milliseconds for which neither this drain nor another one of its service has come closer to its end. */
  private waitedMs ({ since, pool }: Drain, now: number): number {
    return now - Math.max(since, this.progressAt.get(pool ?? '') ?? Number.NEGATIVE_INFINITY)
  }

  private describe (vm: string, fleet: FleetSnapshot): GivenBackDrain {
    return { vm, pool: fleet.vms.get(vm)?.pool ?? '', lastingRuns: fleet.load(vm).lastingRuns }
  }

  private giveBack (vm: string, now: number): void {
    this.drains.delete(vm)
    this.restsUntil.set(vm, now + REST_MS)
  }
}

function patienceMs (openWorkers: number): number {
  return openWorkers === 0 ? GIVE_WAY_AFTER_MS : TURN_MS
}
