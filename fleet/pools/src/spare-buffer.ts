/** A pool's need, and where its VMs stand. */
export interface PoolRequirement {
  readonly pool: string
  /** VMs that its work needs. */
  readonly requiredVms: number
  /** Rack of each of its VMs. */
  readonly racks: readonly string[]
}

/**
 * How many spare VMs, shared by all pools, are enough to make up for the loss of any one rack.
 * @param pools - with their needs
 * @returns VMs
 */
export function requiredBufferSize (pools: readonly PoolRequirement[]): number {
  const racks = new Set(pools.flatMap(pool => pool.racks))
  let most = 0
  for (const rack of racks) {
    const missing = pools.reduce((sum, pool) => {
      const left = pool.racks.filter(each => each !== rack).length
      return sum + Math.max(0, Math.min(pool.requiredVms, pool.racks.length) - left)
    }, 0)
    most = Math.max(most, missing)
  }
  return most
}
