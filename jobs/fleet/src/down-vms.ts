import type { Vm } from '@wisteriaslip/jobs.model'

/** A VM is about to return for this long before its maintenance should be over. */
const RETURN_LEAD_MS = 1_000
/** A VM whose maintenance has not returned it by then is late, and may stay away for long. */
const RETURN_GRACE_MS = 1_000
/** A VM that the list still shows as up this long after its request was accepted had its maintenance before. */
const LIST_LAG_MS = 1_000

interface Maintenance {
  /** Whether the platform has accepted it or listed the VM in it; if not, an earlier leader may have requested it. */
  readonly isCertain: boolean
  /** When it was requested or first listed, by the injected clock. */
  readonly since: number
  /** The platform's list has shown the VM in maintenance. */
  readonly listed: boolean
}

/** Tracks which VMs are or may be down for maintenance, whichever wave requested it. */
export class DownVms {
  private readonly maintenanceMs: number
  private readonly maintenances = new Map<string, Maintenance>()

  /** @param maintenanceMs - duration of one VM's maintenance, in milliseconds */
  constructor (maintenanceMs: number) {
    this.maintenanceMs = maintenanceMs
  }

  /**
   * Adds VMs that the list shows in maintenance, and removes those that are back, or that it never showed in maintenance.
   * @param vms - the platform's list of VMs
   * @param now - time of the injected clock, in milliseconds
   */
  observe (vms: readonly Vm[], now: number): void {
    const stateOf = new Map(vms.map(vm => [vm.id, vm.state]))
    for (const [id, { since, isCertain, listed }] of this.maintenances) {
      if (stateOf.get(id) === 'maintenance') continue
      const isBack = stateOf.has(id) && (listed || !isCertain || now - since > LIST_LAG_MS)
      if (isBack || now - since > 2 * this.maintenanceMs) this.maintenances.delete(id)
    }
    for (const { id, state } of vms) {
      if (state === 'maintenance') this.maintenances.set(id, { since: this.maintenances.get(id)?.since ?? now, isCertain: true, listed: true })
    }
  }

  /**
   * @param vm - id of a VM whose maintenance the platform has accepted
   * @param now - time of the injected clock, in milliseconds
   */
  add (vm: string, now: number): void {
    this.maintenances.set(vm, { since: now, isCertain: true, listed: false })
  }

  /**
   * @param vm - id of a VM that an earlier leader may have taken down
   * @param now - time of the injected clock, in milliseconds
   */
  suspect (vm: string, now: number): void {
    if (!this.maintenances.has(vm)) this.maintenances.set(vm, { since: now, isCertain: false, listed: false })
  }

  /**
   * @param vm - id of a VM
   * @returns whether the VM is or may be down for maintenance
   */
  has (vm: string): boolean {
    return this.maintenances.has(vm)
  }

  /**
   * @param vm - id of a VM
   * @param now - time of the injected clock, in milliseconds
   * @returns whether it is down and should be back within a second
   */
  isAboutToReturn (vm: string, now: number): boolean {
    const maintenance = this.maintenances.get(vm)
    if (maintenance === undefined) return false
    const downMs = now - maintenance.since
    return downMs >= this.maintenanceMs - RETURN_LEAD_MS && downMs <= this.maintenanceMs + RETURN_GRACE_MS
  }

  /** @returns ids of the VMs that are or may be down for maintenance */
  ids (): Iterable<string> {
    return this.maintenances.keys()
  }
}
