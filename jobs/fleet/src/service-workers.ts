import type { FleetSnapshot } from './wave-schedule.ts'

/**
 * @param pool - name of a pool
 * @param fleet - the fleet
 * @returns ids of its VMs that are up and whose workers respond
 */
export function workersOf (pool: string, { vms, load }: FleetSnapshot): string[] {
  return [...vms.values()].filter(vm => vm.pool === pool && vm.state === 'up' && load(vm.id).usable === true).map(vm => vm.id)
}

/**
 * @param workers - ids of VMs with workers
 * @param taken - ids of the VMs that are being drained
 * @returns those that take all tasks
 */
export function openWorkers (workers: readonly string[], taken: ReadonlySet<string>): string[] {
  return workers.filter(vm => !taken.has(vm))
}
