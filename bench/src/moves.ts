/**
 * Moves under peaks in turn: the planner against one that moves at each crossing of a threshold.
 * @module
 */
import { MovePlanner, type MovablePool, type Move } from '@wisteriaslip/fleet.pools'

const RUN_MS = 3_600_000
const STEP_MS = 2_000
const PEAK_MS = 6_000
const SLOTS = 8
const MEAN_LOAD = 0.3
const POOLS = ['quoting', 'crew-desk', 'surveys', 'depot', 'back-office']
/** One pool's mean grows over the hour, so that some moves are truly needed. */
const GROWTH = 4

/** Moves made in an hour. */
export interface MoveResult {
  readonly moves: number
  readonly naiveMoves: number
  readonly shareOfNaive: number
}

type Planner = (pools: readonly MovablePool[], now: number) => Move[]

/** @returns moves of the planner and of the naive way under the same load */
export function benchMoves (): MoveResult {
  const planner = new MovePlanner({ requiredBuffer: () => 4, eligible: isEligible })
  const moves = run((pools, now) => planner.plan(pools, now))
  const naiveMoves = run(naive)
  return { moves, naiveMoves, shareOfNaive: Number((moves / naiveMoves).toFixed(3)) }
}

function run (plan: Planner): number {
  const vms = new Map(POOLS.map(pool => [pool, Array.from({ length: 8 }, (_, index) => `${pool}/${index}`)]))
  let moves = 0
  for (let now = 0; now < RUN_MS; now += STEP_MS) {
    const pools = POOLS.map((name, index): MovablePool => {
      const own = vms.get(name) ?? []
      return { name, spare: name === 'back-office', vms: own, capacity: own.length * SLOTS, demand: demandOf(index, now), canReleaseVm: own.length > 4 }
    })
    for (const move of plan(pools, now)) {
      moves += 1
      vms.set(move.from, (vms.get(move.from) ?? []).filter(vm => vm !== move.vm))
      vms.get(move.to)?.push(move.vm)
    }
  }
  return moves
}

function demandOf (pool: number, now: number): number {
  const mean = 8 * SLOTS * MEAN_LOAD * (pool === 0 ? 1 + (GROWTH - 1) * now / RUN_MS : 1)
  const turn = Math.floor(now / PEAK_MS) % POOLS.length
  return mean * (turn === pool ? 5 : 0.05)
}

/** Any pool may use the spare pool's VMs; other VMs stay in theirs. */
function isEligible (vm: string, pool: string): boolean {
  return vm.startsWith('back-office/') || vm.startsWith(`${pool}/`)
}

function naive (pools: readonly MovablePool[]): Move[] {
  const spare = pools.find(pool => pool.spare)
  const moves: Move[] = []
  for (const pool of pools) {
    if (pool.spare || spare === undefined) continue
    const lent = pool.vms.find(vm => isEligible(vm, spare.name))
    const free = spare.canReleaseVm ? spare.vms.find(vm => isEligible(vm, pool.name)) : undefined
    if (pool.demand > pool.capacity && free !== undefined) moves.push({ vm: free, from: spare.name, to: pool.name, reason: 'NEED_FORECAST' })
    else if (pool.demand < pool.capacity / 2 && lent !== undefined) moves.push({ vm: lent, from: pool.name, to: spare.name, reason: 'NEED_PASSED' })
  }
  return moves
}
