/** Required size of a pool, and the racks of its VMs. */
export interface PoolRequirement {
  readonly pool: string
  /** Number of VMs that its work needs. */
  readonly requiredVms: number
  /** Rack of each of its VMs. */
  readonly racks: readonly string[]
}

/**
 * Computes how many spare VMs, shared by all pools, compensate for the loss of any one rack.
 * @param pools - pools with their requirements
 * @returns number of VMs
 */
export function requiredBufferSize (pools: readonly PoolRequirement[]): number {
  const racks = new Set(pools.flatMap(pool => pool.racks))
  let most = 0
  for (const rack of racks) {
    const shortfall = pools.reduce((sum, pool) => {
      const left = pool.racks.filter(each => each !== rack).length
      return sum + Math.max(0, Math.min(pool.requiredVms, pool.racks.length) - left)
    }, 0)
    most = Math.max(most, shortfall)
  }
  return most
}
