import { PARTITION_COUNT, partitionResource } from '@wisteriaslip/routing.idempotency'

/** Resource whose leader assigns VMs to pools and decides on moves. */
export const fleetResource = 'fleet'

/**
 * @param pool - name of a pool
 * @returns the resource whose leader allots the pool's slots and maintains its ledger
 */
export function poolResource (pool: string): string {
  return `pools/${pool}`
}

/**
 * @param pools - names of all pools
 * @returns all resources that need a leader
 */
export function allResources (pools: readonly string[]): string[] {
  const partitions = Array.from({ length: PARTITION_COUNT }, (_, number) => partitionResource(number))
  return [fleetResource, ...partitions, ...pools.map(poolResource)]
}
