import type { VmList } from '@wisteriaslip/jobs.model'

/** Lists that are read for one VM: one that has just joined may not be listed yet. */
const MAX_LISTS = 3
const LIST_INTERVAL_MS = 1_000

/**
 * Tells when a list of VMs is due because none of the term has shown the VM of some worker yet. Only a VM that was listed proves to be gone
 * by lists without it, so that a first list after its loss is too late.
 */
export class UnlistedVms {
  private readonly listed = new Set<string>()
  /** Number of lists that were read for a VM that none has shown. */
  private readonly lists = new Map<string, number>()
  private nextListAt = 0

  /**
   * @param vms - ids of the workers' VMs; empty where it is not known
   * @param now - current time in milliseconds
   * @returns whether a list is due; the caller requests it at once
   */
  isListDue (vms: Iterable<string>, now: number): boolean {
    if (now < this.nextListAt || ![...vms].some(vm => this.isMissing(vm))) return false
    this.nextListAt = now + LIST_INTERVAL_MS
    return true
  }

  /**
   * @param list - VMs as the platform lists them
   * @param vms - ids of the workers' VMs
   */
  note (list: Pick<VmList, 'vms' | 'unreadable'>, vms: Iterable<string>): void {
    for (const id of [...list.vms.map(vm => vm.id), ...list.unreadable]) this.listed.add(id)
    for (const vm of vms) if (this.isMissing(vm)) this.lists.set(vm, (this.lists.get(vm) ?? 0) + 1)
  }

  private isMissing (vm: string): boolean {
    return vm !== '' && !this.listed.has(vm) && (this.lists.get(vm) ?? 0) < MAX_LISTS
  }
}
