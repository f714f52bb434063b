import type { PoolDoc } from './schema.ts'

/**
 * Computes how many VMs of a pool may be unavailable at the same time. Percentages are rounded so that fewer VMs may be
 * unavailable.
 * @param pool - the pool
 * @param size - number of VMs in the pool
 * @returns number of VMs
 */
export function resolveMaxUnavailable (pool: PoolDoc, size: number): number {
  if ('maxUnavailable' in pool.budget) {
    return Math.min(size, Math.floor(resolveAmount(pool.budget.maxUnavailable, size)))
  }
  const required = Math.ceil(resolveAmount(pool.budget.minAvailable, size))
  return Math.max(0, size - required)
}

function resolveAmount (amount: number | string, size: number): number {
  if (typeof amount === 'number') return amount
  return Number(amount.slice(0, -1)) / 100 * size
}
