import type { Clock } from '@wisteriaslip/core.result'
import type { ServiceLoad, WorkerLoad } from '@wisteriaslip/jobs.protocol'
import type { Service, Vm } from '@wisteriaslip/jobs.model'

/** Capacity that a pool is given beyond what it uses, as a factor and in VMs. */
const HEADROOM_FACTOR = 1.15
const HEADROOM_VMS = 0.6
/** A pool is not made smaller than what it needed within this time. */
const REMEMBER_MS = 2_500
/** A worker must have been empty this long before its VM is given away. */
const IDLE_MS = 600
/** Largest share of a VM's processors in use at which it may be emptied for a pool that is short. */
const SPARE_SHARE = 0.5
/** A VM that is up but has no usable worker counts as lost after this long. */
const WORKER_STARTS_MS = 2_000
/** A move that the platform's list does not show yet counts as under way for this long. */
const MOVE_SHOWN_MS = 1_000

/** A VM and the pool that it is to move to. */
export interface PlannedMove {
  readonly vm: string
  readonly from: string
  readonly to: string
}

interface Need {
  readonly at: number
  readonly vms: number
}

interface Pool {
  readonly name: string
  readonly up: readonly Vm[]
  /** VMs that are there or on their way. */
  readonly supply: number
  readonly needed: number
  /** Largest need within the time that is remembered. */
  readonly kept: number
  readonly loads: ReadonlyMap<string, WorkerLoad>
}

/**
 * Chooses which VMs move between pools: pools with too little get VMs that are switched off, or that are idle
 * elsewhere; idle VMs that no pool needs are switched off.
 */
export class PoolAutoscaler {
  private readonly clock: Clock
  private readonly needs = new Map<string, Need[]>()
  private readonly upSince = new Map<string, number>()
  private readonly movedAt = new Map<string, { readonly at: number, readonly to: string }>()

  /** @param clock - time source */
  constructor (clock: Clock) {
    this.clock = clock
  }

  /**
   * @param services - of the configuration
   * @param vms - the platform's list
   * @param loads - of services whose leaders could be asked; pools of others are left alone
   * @param taken - VMs that something else is about to happen to
   * @returns the moves to be made now
   */
  plan (services: readonly Service[], vms: readonly Vm[], loads: ReadonlyMap<string, ServiceLoad>, taken: ReadonlySet<string>): PlannedMove[] {
    const now = this.clock.now()
    this.noteUp(vms, now)
    const standby = services.find(service => service.standby)?.name
    const pools: Pool[] = []
    for (const service of services) {
      const load = loads.get(service.name)
      if (!service.standby && load !== undefined) pools.push(this.poolOf(service.name, vms, load, taken, now))
    }
    const free = vms.filter(vm => vm.pool === standby && this.mayMove(vm, taken, now))
    const idle = pools.flatMap(pool => this.idleOf(pool, taken, now))
    const spare = pools.flatMap(pool => this.spareOf(pool, taken, now)).filter(vm => !idle.includes(vm))
    const short = pools.map(pool => ({ pool, missing: pool.needed - pool.supply })).filter(each => each.missing > 0)
    short.sort((a, b) => b.missing - a.missing)
    const moves: PlannedMove[] = []
    for (const { pool, missing } of short) {
      for (let count = 0; count < missing; count++) {
        const vm = free.shift() ?? takeOther(idle, pool.name) ?? takeOther(spare, pool.name)
        if (vm === undefined) break
        moves.push({ vm: vm.id, from: vm.pool, to: pool.name })
      }
    }
    if (standby !== undefined) {
      for (const vm of idle) moves.push({ vm: vm.id, from: vm.pool, to: standby })
    }
    return moves
  }

  /**
   * @param move - that the platform accepted
   */
  recordMove (move: PlannedMove): void {
    this.movedAt.set(move.vm, { at: this.clock.now(), to: move.to })
  }

  private poolOf (name: string, vms: readonly Vm[], load: ServiceLoad, taken: ReadonlySet<string>, now: number): Pool {
    const up = vms.filter(vm => vm.pool === name && vm.state === 'up' && !taken.has(vm.id) && !this.justMoved(vm.id, now))
    const usable = new Set(load.workers.filter(worker => worker.usable).map(worker => worker.vm))
    const present = up.filter(vm => usable.has(vm.id) || now - (this.upSince.get(vm.id) ?? now) < WORKER_STARTS_MS).length
    const supply = present + vms.filter(vm => this.isComing(vm, name, now)).length
    const needed = neededVms(load, up.length === 0 ? vms : up)
    const needs = (this.needs.get(name) ?? []).filter(need => now - need.at < REMEMBER_MS)
    needs.push({ at: now, vms: needed })
    this.needs.set(name, needs)
    return {
      name,
      up,
      supply,
      needed,
      kept: Math.max(...needs.map(need => need.vms)),
      loads: new Map(load.workers.map(worker => [worker.vm, worker]))
    }
  }

  private noteUp (vms: readonly Vm[], now: number): void {
    for (const vm of vms) {
      if (vm.state !== 'up') this.upSince.delete(vm.id)
      else if (!this.upSince.has(vm.id)) this.upSince.set(vm.id, now)
    }
  }

  /** VMs that have been empty for a while, beyond what the pool needed lately. */
  private idleOf (pool: Pool, taken: ReadonlySet<string>, now: number): Vm[] {
    const idle = pool.up.filter(vm => {
      const load = pool.loads.get(vm.id)
      return load !== undefined && load.runs === 0 && load.emptyMs >= IDLE_MS && this.mayMove(vm, taken, now)
    })
    return idle.slice(0, Math.max(0, pool.supply - pool.kept))
  }

  /** VMs beyond what the pool needs right now, for pools that are short: those with the least batch work first. */
  private spareOf (pool: Pool, taken: ReadonlySet<string>, now: number): Vm[] {
    const loadOf = (vm: Vm): WorkerLoad | undefined => pool.loads.get(vm.id)
    const spare = pool.up.filter(vm => {
      const load = loadOf(vm)
      return load !== undefined && load.usable && load.lastingRuns === 0 && load.cpuShare <= SPARE_SHARE && this.mayMove(vm, taken, now)
    })
    spare.sort((a, b) => (loadOf(a)?.cpuShare ?? 0) - (loadOf(b)?.cpuShare ?? 0))
    return spare.slice(0, Math.max(0, pool.supply - pool.needed))
  }

  private mayMove (vm: Vm, taken: ReadonlySet<string>, now: number): boolean {
    return vm.state === 'up' && !taken.has(vm.id) && !this.justMoved(vm.id, now)
  }

  private justMoved (vm: string, now: number): boolean {
    const moved = this.movedAt.get(vm)
    return moved !== undefined && now - moved.at < MOVE_SHOWN_MS
  }

  private isComing (vm: Vm, pool: string, now: number): boolean {
    const moved = this.movedAt.get(vm.id)
    if (moved !== undefined && now - moved.at < MOVE_SHOWN_MS) return moved.to === pool
    return vm.pool === pool && (vm.state === 'moving' || vm.state === 'maintenance')
  }
}

/** VMs that a service needs for what runs and waits. */
function neededVms (load: ServiceLoad, like: readonly Vm[]): number {
  const cpu = mean(like.map(vm => vm.capacity.cpu))
  const memMb = mean(like.map(vm => vm.capacity.memMb))
  if (cpu === 0 || memMb === 0) return 1
  const share = Math.max(load.wantedCpu / cpu, load.wantedMemMb / memMb)
  return Math.max(1, load.leastWorkers, Math.ceil(share * HEADROOM_FACTOR + HEADROOM_VMS))
}

function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length
}

function takeOther (idle: Vm[], pool: string): Vm | undefined {
  const at = idle.findIndex(vm => vm.pool !== pool)
  return at < 0 ? undefined : idle.splice(at, 1)[0]
}
