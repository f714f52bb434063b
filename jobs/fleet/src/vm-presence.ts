import type { VmList } from '@wisteriaslip/jobs.model'

interface Absence {
  /** Since when nothing has shown the VM, by the injected clock. */
  readonly since: number
  /** Since when complete lists have left it out without a break; undefined if the latest list is incomplete. */
  readonly provenSince: number | undefined
}

/** Tracks for how long nothing has shown that VMs exist. A single list proves nothing. */
export class VmPresence {
  private absences = new Map<string, Absence>()

  /**
   * @param list - the platform's list of VMs
   * @param seen - ids of all VMs that are listed or have a known worker
   * @param opts - `expected`: ids of the VMs of interest; `now`: time of the injected clock, in milliseconds
   */
  observe (list: VmList, seen: ReadonlySet<string>, opts: { expected: Iterable<string>, now: number }): void {
    const absences = new Map<string, Absence>()
    for (const vm of opts.expected) {
      if (seen.has(vm)) continue
      const before = this.absences.get(vm)
      absences.set(vm, { since: before?.since ?? opts.now, provenSince: list.complete ? before?.provenSince ?? opts.now : undefined })
    }
    this.absences = absences
  }

  /**
   * @param vm - id of a VM
   * @param now - time of the injected clock, in milliseconds
   * @returns for how many milliseconds nothing has shown that the VM exists; 0 if the latest observation did
   */
  missingMs (vm: string, now: number): number {
    return now - (this.absences.get(vm)?.since ?? now)
  }

  /**
   * @param vm - id of a VM
   * @param now - time of the injected clock, in milliseconds
   * @returns for how many milliseconds complete lists have left it out without a break
   */
  provenMissingMs (vm: string, now: number): number {
    return now - (this.absences.get(vm)?.provenSince ?? now)
  }
}
