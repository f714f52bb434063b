import type { Clock } from '@wisteriaslip/core.result'
import type { Service, Vm } from '@wisteriaslip/jobs.model'
import type { ServiceLoad, WorkerLoad } from '@wisteriaslip/jobs.protocol'
import { shareVms } from './vm-shares.ts'

/** Capacity of a pool beyond its demand: a factor, and a number of VMs. */
const HEADROOM_FACTOR = 1.15
const HEADROOM_VMS = 0.6
/** A pool is not scaled down below its largest requirement within this time. */
const SCALE_DOWN_WINDOW_MS = 2_500
/**
 * A pool in which no work that ends has been seen to run keeps its VMs for this long: what it needs when work comes is not
 * known, and VMs that were given up come back too late for a peak that begins at once.
 */
const MAX_UNKNOWN_DEMAND_MS = 60_000
/** A worker must have been idle for this long before its VM is moved away. */
const MIN_IDLE_MS = 600
/** A VM may be drained for a pool with a shortfall if at most this share of its processors is in use. */
const MAX_SURPLUS_CPU_SHARE = 0.5
/** A VM beyond the requirement of its pool is drained if at most this share of its processors is in use. */
const MAX_LITTLE_USED_CPU_SHARE = 0.3
/**
 * VMs that a pool keeps beyond its share when it has to give some to others, so that small changes move none. Pools that lack
 * the VMs without which they could not work get these, too.
 */
const SHARE_MARGIN_VMS = 1
/** A VM that has been up for this long without a usable worker does not count as capacity. */
const WORKER_START_TIMEOUT_MS = 2_000
/**
 * A move that the platform accepted, or may have accepted, counts as in progress for this long even if the platform's
 * list does not show it.
 */
const MOVE_VISIBILITY_TIMEOUT_MS = 1_000

/** A move of a VM to another pool. */
export interface PlannedMove {
  readonly vm: string
  readonly from: string
  readonly to: string
}

/** What a pool asked for in the last pass, and what it has. */
export interface PoolNeed {
  /** VMs required now, VMs that are available or arriving, and the pool's share of all VMs. */
  readonly required: number
  readonly supply: number
  readonly share: number
  /** Cores that its running, waiting and expected tasks want. */
  readonly wantedCores: number
}

interface RequirementSample {
  readonly at: number
  readonly vms: number
}

interface Pool {
  readonly name: string
  readonly up: readonly Vm[]
  /** Number of VMs that are available, arriving or in maintenance. */
  readonly supply: number
  /** Number of VMs required now. */
  readonly required: number
  /** Of these, VMs required without jobs beyond the weights of their client accounts. */
  readonly owed: number
  /** Number of VMs with long-running tasks. */
  readonly lasting: number
  /** Largest number of VMs required within {@link SCALE_DOWN_WINDOW_MS}; infinite while the demand is not known. */
  readonly recentMaxRequired: number
  readonly loads: ReadonlyMap<string, WorkerLoad>
}

/** A pool with its share of the VMs. */
interface SharedPool extends Pool {
  /** Number of VMs that it should have: what it requires, or less when all pools together require more than exist. */
  readonly share: number
  /** Number of VMs of its share without which it could not work at all. */
  readonly firstVms: number
}

/**
 * Chooses which VMs move between pools. Pools with fewer VMs than their share get VMs that are powered off, then idle VMs
 * of other pools, then VMs of other pools with little batch work, then VMs of pools above their share. VMs that no pool
 * requires are powered off if they are idle, or drained first if they have little batch work.
 */
export class PoolAutoscaler {
  private readonly clock: Clock
  private readonly samples = new Map<string, RequirementSample[]>()
  /** From when on the demand of each pool is known. */
  private readonly demandKnownFrom = new Map<string, number>()
  private readonly upSince = new Map<string, number>()
  private readonly movedAt = new Map<string, { readonly at: number, readonly to: string }>()
  private lastNeeds: ReadonlyMap<string, PoolNeed> = new Map()

  /** @param clock - time source */
  constructor (clock: Clock) {
    this.clock = clock
  }

  /**
   * Plans the moves to make now.
   * @param services - services of the configuration
   * @param vms - the platform's list of VMs
   * @param loads - load by service; pools of services without an entry are left unchanged
   * @param reservedVms - ids of VMs with another planned action, such as maintenance
   * @returns the moves
   */
  plan (services: readonly Service[], vms: readonly Vm[], loads: ReadonlyMap<string, ServiceLoad>, reservedVms: ReadonlySet<string>): PlannedMove[] {
    const now = this.clock.now()
    this.trackUpVms(vms, now)
    const standby = services.find(service => service.standby)?.name
    const evaluated: Pool[] = []
    for (const service of services) {
      const load = loads.get(service.name)
      if (!service.standby && load !== undefined) evaluated.push(this.evaluatePool(service.name, vms, load, reservedVms, now))
    }
    const standbyVms = vms.filter(vm => vm.pool === standby && this.isMovable(vm, reservedVms, now))
    const pools = withShares(evaluated, standbyVms.length)
    this.lastNeeds = new Map(pools.map(({ name, required, supply, share }) => [name, { required, supply, share, wantedCores: Math.round((loads.get(name)?.wantedCpu ?? 0) / 1_000) }]))
    const idle = pools.flatMap(pool => this.idleVms(pool, reservedVms, now))
    const surplus = pools.flatMap(pool => this.surplusVms(pool, SHARE_MARGIN_VMS, reservedVms, now)).filter(vm => !idle.includes(vm))
    const margin = pools.flatMap(pool => this.surplusVms(pool, 0, reservedVms, now)).filter(vm => !idle.includes(vm) && !surplus.includes(vm))
    const shortfalls = pools.map(pool => ({ pool, shortfall: pool.share - pool.supply })).filter(each => each.shortfall > 0)
    // While VMs have yet to become free, a small pool loses more by waiting for one than a large pool.
    shortfalls.sort((a, b) => a.pool.supply - b.pool.supply)
    const moves: PlannedMove[] = []
    for (const { pool, shortfall } of shortfalls) {
      for (let count = 0; count < shortfall; count++) {
        const lacksFirstVms = pool.supply + count < pool.firstVms
        const vm = standbyVms.shift() ?? removeFromOtherPool(idle, pool.name) ?? removeFromOtherPool(surplus, pool.name) ?? (lacksFirstVms ? removeFromOtherPool(margin, pool.name) : undefined)
        if (vm === undefined) break
        moves.push({ vm: vm.id, from: vm.pool, to: pool.name })
      }
    }
    if (standby !== undefined) {
      const littleUsed = pools.flatMap(pool => this.littleUsedVms(pool, { idle, moves }, reservedVms, now))
      for (const vm of [...idle, ...littleUsed]) moves.push({ vm: vm.id, from: vm.pool, to: standby })
    }
    return moves
  }

  /** @returns what each pool asked for in the last pass */
  needs (): ReadonlyMap<string, PoolNeed> {
    return this.lastNeeds
  }

  /**
   * Records a move, so that the VM is not moved again before the platform's list shows the move.
   * @param move - move that the platform accepted, or may have accepted
   */
  recordMove (move: PlannedMove): void {
    this.movedAt.set(move.vm, { at: this.clock.now(), to: move.to })
  }

  private evaluatePool (name: string, vms: readonly Vm[], load: ServiceLoad, reservedVms: ReadonlySet<string>, now: number): Pool {
    const up = vms.filter(vm => vm.pool === name && vm.state === 'up' && !reservedVms.has(vm.id) && !this.wasJustMoved(vm.id, now))
    const usable = new Set(load.workers.filter(worker => worker.usable).map(worker => worker.vm))
    const available = up.filter(vm => usable.has(vm.id) || now - (this.upSince.get(vm.id) ?? now) < WORKER_START_TIMEOUT_MS).length
    const supply = available + vms.filter(vm => this.willBecomeAvailable(vm, name, now)).length
    const referenceVms = up.length === 0 ? vms : up
    const required = countRequiredVms(load, referenceVms)
    const { cpu, memMb } = load.owed ?? { cpu: load.wantedCpu, memMb: load.wantedMemMb }
    const samples = (this.samples.get(name) ?? []).filter(sample => now - sample.at < SCALE_DOWN_WINDOW_MS)
    samples.push({ at: now, vms: required })
    this.samples.set(name, samples)
    return {
      name,
      up,
      supply,
      required,
      owed: countRequiredVms({ ...load, wantedCpu: cpu, wantedMemMb: memMb }, referenceVms),
      lasting: load.workers.filter(worker => worker.lastingRuns > 0).length,
      recentMaxRequired: this.isDemandKnown(name, load, now) ? Math.max(...samples.map(sample => sample.vms)) : Infinity,
      loads: new Map(load.workers.map(worker => [worker.vm, worker]))
    }
  }

  /** Returns whether work that ends has been seen to run in the pool for a while, or has not come for long. */
  private isDemandKnown (name: string, load: ServiceLoad, now: number): boolean {
    const hasWork = load.workers.some(worker => worker.runs > worker.lastingRuns)
    const known = this.demandKnownFrom.get(name) ?? now + MAX_UNKNOWN_DEMAND_MS
    this.demandKnownFrom.set(name, hasWork ? Math.min(known, now + SCALE_DOWN_WINDOW_MS) : known)
    return now >= known
  }

  private trackUpVms (vms: readonly Vm[], now: number): void {
    for (const vm of vms) {
      if (vm.state !== 'up') this.upSince.delete(vm.id)
      else if (!this.upSince.has(vm.id)) this.upSince.set(vm.id, now)
    }
  }

  /** Idle VMs beyond the pool's largest recent requirement. */
  private idleVms (pool: SharedPool, reservedVms: ReadonlySet<string>, now: number): Vm[] {
    const idle = pool.up.filter(vm => {
      const load = pool.loads.get(vm.id)
      return load !== undefined && load.runs === 0 && load.emptyMs >= MIN_IDLE_MS && this.isMovable(vm, reservedVms, now)
    })
    return idle.slice(0, Math.max(0, pool.supply - pool.recentMaxRequired))
  }

  /**
   * VMs beyond what the pool should have, for pools with a shortfall: least processor use first. A pool that gets less
   * than it requires gives busy VMs, too, once their runs have ended, but keeps some VMs as its margin; others give only VMs
   * with little batch work.
   */
  private surplusVms (pool: SharedPool, margin: number, reservedVms: ReadonlySet<string>, now: number): Vm[] {
    const loadOf = (vm: Vm): WorkerLoad | undefined => pool.loads.get(vm.id)
    const isRationed = pool.share < pool.required
    const surplus = pool.up.filter(vm => {
      const load = loadOf(vm)
      if (load === undefined || !load.usable || load.lastingRuns > 0 || !this.isMovable(vm, reservedVms, now)) return false
      return isRationed || load.cpuShare <= MAX_SURPLUS_CPU_SHARE
    })
    surplus.sort((a, b) => (loadOf(a)?.cpuShare ?? 0) - (loadOf(b)?.cpuShare ?? 0))
    return surplus.slice(0, Math.max(0, pool.supply - pool.share - (isRationed ? margin : 0)))
  }

  /**
   * VMs with little batch work beyond the pool's largest recent requirement. They are drained, because a VM that holds many
   * small tasks is hardly ever empty by itself.
   */
  private littleUsedVms (pool: SharedPool, leaving: { idle: readonly Vm[], moves: readonly PlannedMove[] }, reservedVms: ReadonlySet<string>, now: number): Vm[] {
    const leavingVms = new Set([...leaving.idle.map(vm => vm.id), ...leaving.moves.map(move => move.vm)])
    const loadOf = (vm: Vm): WorkerLoad | undefined => pool.loads.get(vm.id)
    const littleUsed = pool.up.filter(vm => {
      const load = loadOf(vm)
      if (load === undefined || !load.usable || load.runs === 0 || load.lastingRuns > 0) return false
      return load.cpuShare <= MAX_LITTLE_USED_CPU_SHARE && !leavingVms.has(vm.id) && this.isMovable(vm, reservedVms, now)
    })
    littleUsed.sort((a, b) => (loadOf(a)?.cpuShare ?? 0) - (loadOf(b)?.cpuShare ?? 0))
    const leavingCount = pool.up.filter(vm => leavingVms.has(vm.id)).length
    return littleUsed.slice(0, Math.max(0, pool.supply - leavingCount - pool.recentMaxRequired))
  }

  private isMovable (vm: Vm, reservedVms: ReadonlySet<string>, now: number): boolean {
    return vm.state === 'up' && !reservedVms.has(vm.id) && !this.wasJustMoved(vm.id, now)
  }

  private wasJustMoved (vm: string, now: number): boolean {
    const moved = this.movedAt.get(vm)
    return moved !== undefined && now - moved.at < MOVE_VISIBILITY_TIMEOUT_MS
  }

  /** Whether the VM is moving to the pool, or is in maintenance in it. */
  private willBecomeAvailable (vm: Vm, pool: string, now: number): boolean {
    const moved = this.movedAt.get(vm.id)
    if (moved !== undefined && now - moved.at < MOVE_VISIBILITY_TIMEOUT_MS) return moved.to === pool
    return vm.pool === pool && (vm.state === 'moving' || vm.state === 'maintenance')
  }
}

function withShares (pools: readonly Pool[], standbyVms: number): SharedPool[] {
  const total = standbyVms + pools.reduce((sum, pool) => sum + pool.supply, 0)
  const shares = shareVms(pools, total)
  return pools.map(pool => {
    const share = shares.get(pool.name) ?? pool.required
    return { ...pool, share, firstVms: Math.min(share, 1) }
  })
}

/** Number of VMs that running and waiting tasks of a service require. */
function countRequiredVms (load: ServiceLoad, referenceVms: readonly Vm[]): number {
  const cpu = mean(referenceVms.map(vm => vm.capacity.cpu))
  const memMb = mean(referenceVms.map(vm => vm.capacity.memMb))
  if (cpu === 0 || memMb === 0) return 1
  const share = Math.max(load.wantedCpu / cpu, load.wantedMemMb / memMb)
  return Math.max(1, load.leastWorkers, Math.ceil(share * HEADROOM_FACTOR + HEADROOM_VMS + countMissingVms(load, referenceVms)))
}

/** Capacity that workers lack because they are smaller than their VMs, in VMs. */
function countMissingVms (load: ServiceLoad, vms: readonly Vm[]): number {
  const capacities = new Map(vms.map(vm => [vm.id, vm.capacity]))
  let missing = 0
  for (const { vm, usable, capacity } of load.workers) {
    const full = capacities.get(vm)
    if (!usable || capacity === undefined || full === undefined || full.cpu === 0 || full.memMb === 0) continue
    missing += Math.max(0, 1 - capacity.cpu / full.cpu, 1 - capacity.memMb / full.memMb)
  }
  return missing
}

function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length
}

function removeFromOtherPool (candidates: Vm[], pool: string): Vm | undefined {
  const at = candidates.findIndex(vm => vm.pool !== pool)
  return at < 0 ? undefined : candidates.splice(at, 1)[0]
}
