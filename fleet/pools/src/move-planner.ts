/** Time constant of the forecast. It smooths out peaks of a few seconds, for which moving VMs would be too slow. */
const FORECAST_TIME_CONSTANT_MS = 60_000
/** A shortfall or surplus must last this long before a VM is moved. */
const MIN_IMBALANCE_DURATION_MS = 20_000
/** After a move, its pool gets no other move for this long; a spare pool may take part in moves of other pools meanwhile. */
const MOVE_COOLDOWN_MS = 120_000
/** Capacity that a pool needs, relative to its forecast demand. */
const HEADROOM_FACTOR = 1.2
/** A VM returns to a spare pool only if more than this share of the pool's remaining capacity stays unneeded. */
const MIN_RETURN_SLACK_RATIO = 0.25

/** Input of the planner for one pool. */
export interface MovablePool {
  readonly name: string
  /** Whether other pools may use its VMs. */
  readonly spare: boolean
  /** Total slots of its usable VMs. */
  readonly capacity: number
  /** Running and waiting work, in slots. */
  readonly demand: number
  readonly vms: readonly string[]
  /** Whether its disruption budget allows one more VM to leave. */
  readonly canReleaseVm: boolean
}

/** A planned move of one VM. */
export interface Move {
  readonly vm: string
  readonly from: string
  readonly to: string
  readonly reason: 'NEED_FORECAST' | 'NEED_PASSED'
}

/** Options of {@link MovePlanner}. */
export interface MovePlannerOpts {
  /** Returns whether a pool's selector matches a VM. */
  readonly isEligible: (vm: string, pool: string) => boolean
  /** Returns how many VMs the spare pools must keep to compensate for the loss of a rack. */
  readonly requiredBuffer: () => number
}

interface PoolState {
  forecast: number
  updatedAt: number
  shortfallSince: number | undefined
  surplusSince: number | undefined
  lastMoveAt: number
}

/**
 * Plans moves of VMs from spare pools to pools whose forecast demand exceeds their capacity, and back when the demand
 * has dropped.
 */
export class MovePlanner {
  private readonly opts: MovePlannerOpts
  private readonly states = new Map<string, PoolState>()

  constructor (opts: MovePlannerOpts) {
    this.opts = opts
  }

  /**
   * Updates the forecasts with the current demand and plans moves.
   * @param pools - all pools
   * @param now - current time in milliseconds
   * @returns moves to start; at most one per pool that is not spare
   */
  plan (pools: readonly MovablePool[], now: number): Move[] {
    for (const pool of pools) this.updateForecast(pool, now)
    const spares = pools.filter(pool => pool.spare)
    const others = pools.filter(pool => !pool.spare).sort((a, b) => this.shortfall(b) - this.shortfall(a))
    const moves: Move[] = []
    for (const pool of others) {
      const move = this.planMoveFromSpare(pool, spares, now) ?? this.planReturnToSpare(pool, spares, now)
      if (move === undefined) continue
      moves.push(move)
      this.startCooldown(move, now)
      if (move.reason === 'NEED_FORECAST') break
    }
    return moves
  }

  /**
   * @param pool - name of a pool
   * @returns forecast demand in slots; 0 for an unknown pool
   */
  forecast (pool: string): number {
    return this.states.get(pool)?.forecast ?? 0
  }

  /**
   * The first forecast is capped at the demand that the pool's capacity covers with headroom: one sample may be a peak and
   * must not cause a move.
   */
  private updateForecast (pool: MovablePool, now: number): void {
    const state = this.states.get(pool.name)
    if (state === undefined) {
      const forecast = Math.min(pool.demand, pool.capacity / HEADROOM_FACTOR)
      this.states.set(pool.name, { forecast, updatedAt: now, shortfallSince: undefined, surplusSince: undefined, lastMoveAt: Number.NEGATIVE_INFINITY })
      return
    }
    const weight = 1 - Math.exp(-(now - state.updatedAt) / FORECAST_TIME_CONSTANT_MS)
    state.forecast += (pool.demand - state.forecast) * weight
    state.updatedAt = now
    state.shortfallSince = this.shortfall(pool) > 0 ? state.shortfallSince ?? now : undefined
    state.surplusSince = this.hasSurplus(pool) ? state.surplusSince ?? now : undefined
  }

  private shortfall (pool: MovablePool): number {
    return this.forecast(pool.name) * HEADROOM_FACTOR - pool.capacity
  }

  private hasSurplus (pool: MovablePool): boolean {
    const remainingCapacity = pool.capacity * (1 - 1 / Math.max(1, pool.vms.length))
    return this.forecast(pool.name) * HEADROOM_FACTOR < remainingCapacity * (1 - MIN_RETURN_SLACK_RATIO)
  }

  private planMoveFromSpare (pool: MovablePool, spares: readonly MovablePool[], now: number): Move | undefined {
    if (!this.isMoveDue(pool.name, this.states.get(pool.name)?.shortfallSince, now)) return undefined
    const held = spares.reduce((sum, spare) => sum + spare.vms.length, 0)
    if (held <= this.opts.requiredBuffer()) return undefined
    for (const spare of spares) {
      const vm = spare.canReleaseVm ? spare.vms.find(each => this.opts.isEligible(each, pool.name)) : undefined
      if (vm !== undefined) return { vm, from: spare.name, to: pool.name, reason: 'NEED_FORECAST' }
    }
    return undefined
  }

  private planReturnToSpare (pool: MovablePool, spares: readonly MovablePool[], now: number): Move | undefined {
    if (!pool.canReleaseVm || !this.isMoveDue(pool.name, this.states.get(pool.name)?.surplusSince, now)) return undefined
    for (const spare of spares) {
      const vm = pool.vms.find(each => this.opts.isEligible(each, spare.name))
      if (vm !== undefined) return { vm, from: pool.name, to: spare.name, reason: 'NEED_PASSED' }
    }
    return undefined
  }

  private isMoveDue (pool: string, since: number | undefined, now: number): boolean {
    const lastMoveAt = this.states.get(pool)?.lastMoveAt ?? Number.NEGATIVE_INFINITY
    return since !== undefined && now - since >= MIN_IMBALANCE_DURATION_MS && now - lastMoveAt >= MOVE_COOLDOWN_MS
  }

  private startCooldown (move: Move, now: number): void {
    for (const name of [move.from, move.to]) {
      const state = this.states.get(name)
      if (state !== undefined) state.lastMoveAt = now
    }
  }
}
