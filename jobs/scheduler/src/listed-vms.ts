/** Lists that are read for one VM: one that has just joined may not be listed yet. */
const MAX_LISTS = 3
const LIST_INTERVAL_MS = 1_000

/**
 * The VMs that lists of a term have shown. Only a VM that was listed proves to be gone by lists without it, so that a first list after its
 * loss is too late: one is due as long as a worker is on a VM that none has shown.
 */
export class ListedVms {
  private readonly listed = new Set<string>()
  /** Number of lists that did not show a VM that none has shown. */
  private readonly misses = new Map<string, number>()
  private nextListAt = 0

  /**
   * @param vm - id of a VM
   * @returns whether some list has shown it, or it has proved to be gone
   */
  has (vm: string): boolean {
    return this.listed.has(vm)
  }

  /** @param vm - id of a VM that has proved to be gone */
  add (vm: string): void {
    this.listed.add(vm)
  }

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
   * @param shown - ids of the VMs that a list shows, readable or not
   * @param vms - ids of the workers' VMs that it would show
   */
  note (shown: Iterable<string>, vms: Iterable<string>): void {
    for (const id of shown) this.listed.add(id)
    for (const vm of vms) if (this.isMissing(vm)) this.misses.set(vm, (this.misses.get(vm) ?? 0) + 1)
  }

  private isMissing (vm: string): boolean {
    return vm !== '' && !this.listed.has(vm) && (this.misses.get(vm) ?? 0) < MAX_LISTS
  }
}
