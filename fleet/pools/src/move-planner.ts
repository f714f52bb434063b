/** Time constant of the forecast: peaks of some seconds, which moves could not follow anyway, are smoothed out. */
const SMOOTHING_MS = 60_000
/** A need must last this long before a VM is moved for it. */
const SUSTAINED_MS = 20_000
/** A pool that got or gave a VM is left alone for this long. */
const REST_MS = 120_000
/** A forecast is met with this much to spare. */
const HEADROOM = 1.2
/** A lent VM goes back only when the pool would still have this share of its VMs to spare. */
const RETURN_SLACK = 0.25

/** A pool as the planner sees it. */
export interface MovablePool {
  readonly name: string
  readonly spare: boolean
  /** Slots of its usable VMs. */
  readonly capacity: number
  /** Work running and waiting, in slots. */
  readonly demand: number
  readonly vms: readonly string[]
  /** Room in its budget for one more VM to leave. */
  readonly canReleaseVm: boolean
}

/** One VM to be moved. */
export interface Move {
  readonly vm: string
  readonly from: string
  readonly to: string
  readonly reason: 'NEED_FORECAST' | 'NEED_PASSED'
}

/** Options of the planner. */
export interface MovePlannerOpts {
  /** Whether a pool's selector matches a VM. */
  readonly eligible: (vm: string, pool: string) => boolean
  /** VMs that the spare pools keep so that the loss of a rack can be made up for. */
  readonly requiredBuffer: () => number
}

interface PoolState {
  forecast: number
  seenAt: number
  needSince: number | undefined
  surplusSince: number | undefined
  movedAt: number
}

/** Lends VMs of spare pools to pools whose forecast exceeds their capacity, and takes them back when the need has passed. */
export class MovePlanner {
  private readonly opts: MovePlannerOpts
  private readonly states = new Map<string, PoolState>()

  constructor (opts: MovePlannerOpts) {
    this.opts = opts
  }

  /**
   * Takes in the present load and decides on moves.
   * @param pools - all pools
   * @param now - in milliseconds
   * @returns moves to start; at most one for each pool
   */
  plan (pools: readonly MovablePool[], now: number): Move[] {
    for (const pool of pools) this.observe(pool, now)
    const spares = pools.filter(pool => pool.spare)
    const others = pools.filter(pool => !pool.spare).sort((a, b) => this.shortfall(b) - this.shortfall(a))
    const moves: Move[] = []
    for (const pool of others) {
      const move = this.lend(pool, spares, now) ?? this.takeBack(pool, spares, now)
      if (move === undefined) continue
      moves.push(move)
      this.rest(move, now)
      if (move.reason === 'NEED_FORECAST') break
    }
    return moves
  }

  /**
   * @param pool - name of a pool
   * @returns forecast work in slots
   */
  forecast (pool: string): number {
    return this.states.get(pool)?.forecast ?? 0
  }

  /** A forecast starts within the pool's capacity: one glance, perhaps at a peak, is no reason to move. */
  private observe (pool: MovablePool, now: number): void {
    const state = this.states.get(pool.name)
    if (state === undefined) {
      const forecast = Math.min(pool.demand, pool.capacity / HEADROOM)
      this.states.set(pool.name, { forecast, seenAt: now, needSince: undefined, surplusSince: undefined, movedAt: Number.NEGATIVE_INFINITY })
      return
    }
    const weight = 1 - Math.exp(-(now - state.seenAt) / SMOOTHING_MS)
    state.forecast += (pool.demand - state.forecast) * weight
    state.seenAt = now
    state.needSince = this.shortfall(pool) > 0 ? state.needSince ?? now : undefined
    state.surplusSince = this.hasSurplus(pool) ? state.surplusSince ?? now : undefined
  }

  private shortfall (pool: MovablePool): number {
    return this.forecast(pool.name) * HEADROOM - pool.capacity
  }

  private hasSurplus (pool: MovablePool): boolean {
    const without = pool.capacity * (1 - 1 / Math.max(1, pool.vms.length))
    return this.forecast(pool.name) * HEADROOM < without * (1 - RETURN_SLACK)
  }

  private lend (pool: MovablePool, spares: readonly MovablePool[], now: number): Move | undefined {
    if (!this.isDue(pool.name, this.states.get(pool.name)?.needSince, now)) return undefined
    const held = spares.reduce((sum, spare) => sum + spare.vms.length, 0)
    if (held <= this.opts.requiredBuffer()) return undefined
    for (const spare of spares) {
      const vm = spare.canReleaseVm ? spare.vms.find(each => this.opts.eligible(each, pool.name)) : undefined
      if (vm !== undefined) return { vm, from: spare.name, to: pool.name, reason: 'NEED_FORECAST' }
    }
    return undefined
  }

  private takeBack (pool: MovablePool, spares: readonly MovablePool[], now: number): Move | undefined {
    if (!pool.canReleaseVm || !this.isDue(pool.name, this.states.get(pool.name)?.surplusSince, now)) return undefined
    for (const spare of spares) {
      const vm = pool.vms.find(each => this.opts.eligible(each, spare.name))
      if (vm !== undefined) return { vm, from: pool.name, to: spare.name, reason: 'NEED_PASSED' }
    }
    return undefined
  }

  private isDue (pool: string, since: number | undefined, now: number): boolean {
    const movedAt = this.states.get(pool)?.movedAt ?? Number.NEGATIVE_INFINITY
    return since !== undefined && now - since >= SUSTAINED_MS && now - movedAt >= REST_MS
  }

  private rest (move: Move, now: number): void {
    for (const name of [move.from, move.to]) {
      const state = this.states.get(name)
      if (state !== undefined) state.movedAt = now
    }
  }
}
