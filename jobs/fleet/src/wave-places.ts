import { DownCounts, DRAIN_PATIENCE_MS, mayGoDown, type FleetSnapshot, type PlannedMaintenance } from './wave-schedule.ts'
import type { WaveTracker } from './wave-tracker.ts'

/**
 * Gives out the places of waves, as many as their limits allow, in the order in which maintenance is planned. A wave that
 * ends later does not take the place of an earlier one that is about to use it.
 */
export class WavePlaces {
  private readonly fleet: FleetSnapshot
  private readonly counts: DownCounts
  /** VMs that waves are draining, by wave, in the order in which the waves were first asked for. */
  private readonly reserved = new Map<WaveTracker, Set<string>>()

  /**
   * @param waves - the waves that are not done
   * @param fleet - the fleet
   */
  constructor (waves: readonly WaveTracker[], fleet: FleetSnapshot) {
    this.fleet = fleet
    this.counts = new DownCounts(waves, fleet)
  }

  /**
   * Takes a place for a VM that can go down now.
   * @param planned - the VM and its wave
   * @returns whether there was one
   */
  take ({ wave, vm }: PlannedMaintenance): boolean {
    if (this.counts.without(vm, wave) >= wave.wave.cap || this.isReservedForOthers(wave, vm)) return false
    this.counts.add(vm)
    return true
  }

  /** @param planned - a VM with a request that is not repeated now: it counts as down if that may yet take effect */
  noteRequested ({ wave, vm }: PlannedMaintenance): void {
    if (mayGoDown(wave, vm, this.fleet)) this.counts.add(vm)
  }

  /** @param planned - a VM that cannot go down yet: its wave keeps a place for it, but not for long */
  reserve ({ wave, vm }: PlannedMaintenance): void {
    if ((wave.plannedMs(vm, this.fleet.now) ?? Number.POSITIVE_INFINITY) > DRAIN_PATIENCE_MS) return
    const reserved = this.reserved.get(wave) ?? new Set()
    this.reserved.set(wave, reserved.add(vm))
  }

  private isReservedForOthers (wave: WaveTracker, vm: string): boolean {
    return [...this.reserved].some(([earlier, vms]) => {
      if (earlier === wave || !earlier.names(vm) || vms.has(vm)) return false
      return this.counts.without(vm, earlier) + vms.size >= earlier.wave.cap
    })
  }
}
