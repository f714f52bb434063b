/**
 * Compares the number of VM moves of the planner with that of a naive planner, which moves a VM whenever demand crosses a
 * threshold, while the pools peak in turn.
 * @module
 */
import { MovePlanner, type MovablePool, type Move } from '@wisteriaslip/fleet.pools'

const SIMULATED_MS = 3_600_000
const STEP_MS = 2_000
const PEAK_DURATION_MS = 6_000
const SLOTS_PER_VM = 8
const MEAN_LOAD = 0.3
const POOLS = ['quoting', 'crew-desk', 'surveys', 'depot', 'back-office']
/** The mean load of one pool grows by this factor over the hour, so that some moves are needed. */
const MEAN_LOAD_GROWTH_FACTOR = 4

/** Moves in a simulated hour; `shareOfNaive` is the ratio of the planner's moves to the naive ones. */
export interface MoveResult {
  readonly moves: number
  readonly naiveMoves: number
  readonly shareOfNaive: number
}

type Planner = (pools: readonly MovablePool[], now: number) => Move[]

/**
 * Runs both planners under the same load.
 * @returns number of moves of each
 */
export function benchMoves (): MoveResult {
  const planner = new MovePlanner({ requiredBuffer: () => 4, isEligible })
  const moves = countMoves((pools, now) => planner.plan(pools, now))
  const naiveMoves = countMoves(planNaively)
  return { moves, naiveMoves, shareOfNaive: Number((moves / naiveMoves).toFixed(3)) }
}

function countMoves (plan: Planner): number {
  const vms = new Map(POOLS.map(pool => [pool, Array.from({ length: 8 }, (_, index) => `${pool}/${index}`)]))
  let moves = 0
  for (let now = 0; now < SIMULATED_MS; now += STEP_MS) {
    const pools = POOLS.map((name, index): MovablePool => {
      const poolVms = vms.get(name) ?? []
      return { name, spare: name === 'back-office', vms: poolVms, capacity: poolVms.length * SLOTS_PER_VM, demand: poolDemandAt(index, now), canReleaseVm: poolVms.length > 4 }
    })
    for (const move of plan(pools, now)) {
      moves += 1
      vms.set(move.from, (vms.get(move.from) ?? []).filter(vm => vm !== move.vm))
      vms.get(move.to)?.push(move.vm)
    }
  }
  return moves
}

function poolDemandAt (pool: number, now: number): number {
  const mean = 8 * SLOTS_PER_VM * MEAN_LOAD * (pool === 0 ? 1 + (MEAN_LOAD_GROWTH_FACTOR - 1) * now / SIMULATED_MS : 1)
  const peakingPool = Math.floor(now / PEAK_DURATION_MS) % POOLS.length
  return mean * (peakingPool === pool ? 5 : 0.05)
}

/** Any pool may use the spare pool's VMs; other VMs stay in their own pool. */
function isEligible (vm: string, pool: string): boolean {
  return vm.startsWith('back-office/') || vm.startsWith(`${pool}/`)
}

function planNaively (pools: readonly MovablePool[]): Move[] {
  const spare = pools.find(pool => pool.spare)
  const moves: Move[] = []
  for (const pool of pools) {
    if (pool.spare || spare === undefined) continue
    const spareVm = pool.vms.find(vm => isEligible(vm, spare.name))
    const freeVm = spare.canReleaseVm ? spare.vms.find(vm => isEligible(vm, pool.name)) : undefined
    if (pool.demand > pool.capacity && freeVm !== undefined) moves.push({ vm: freeVm, from: spare.name, to: pool.name, reason: 'NEED_FORECAST' })
    else if (pool.demand < pool.capacity / 2 && spareVm !== undefined) moves.push({ vm: spareVm, from: pool.name, to: spare.name, reason: 'NEED_PASSED' })
  }
  return moves
}
