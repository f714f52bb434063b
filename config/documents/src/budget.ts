import type { PoolDoc } from './schema.ts'

/**
 * How many VMs of a pool may be unavailable at once.
 * @param pool - the pool
 * @param size - VMs in the pool
 * @returns a whole number of VMs; shares are rounded towards fewer unavailable
 */
export function resolveBudget (pool: PoolDoc, size: number): number {
  if ('maxUnavailable' in pool.budget) {
    return Math.min(size, Math.floor(amountOf(pool.budget.maxUnavailable, size)))
  }
  const fewest = Math.ceil(amountOf(pool.budget.minAvailable, size))
  return Math.max(0, size - fewest)
}

function amountOf (amount: number | string, size: number): number {
  if (typeof amount === 'number') return amount
  return Number(amount.slice(0, -1)) / 100 * size
}
