import type { Clock } from '@wisteriaslip/core.result'
import type { ServiceTimes } from './service-times.ts'

/** A class saves up, or owes, at most this many of its mean runs. */
const MOST_RUNS = 2

/** A class as far as its floor goes. */
export interface FloorClass {
  readonly name: string
  readonly floor: number
  /** Whether work of it waits. */
  readonly waits: boolean
}

/** Slot time that classes with floors are owed. */
export class FloorCredits {
  private readonly clock: Clock
  private readonly times: ServiceTimes
  private readonly credits = new Map<string, number>()
  private earnedAt: number

  /**
   * @param clock - time source
   * @param times - mean runs, by which credits are bounded
   */
  constructor (clock: Clock, times: ServiceTimes) {
    this.clock = clock
    this.times = times
    this.earnedAt = clock.now()
  }

  /**
   * Floor time is earned while work waits; without waiting work only a debt is paid off.
   * @param classes - all classes
   * @param slots - of which each earns its floor
   */
  earn (classes: Iterable<FloorClass>, slots: number): void {
    const now = this.clock.now()
    const slotMs = (now - this.earnedAt) * slots
    this.earnedAt = now
    for (const { name, floor, waits } of classes) {
      const credit = this.of(name)
      const most = waits ? MOST_RUNS * this.times.estimate(name) : Math.max(0, credit)
      this.credits.set(name, Math.min(most, credit + slotMs * floor))
    }
  }

  /**
   * Charges a class. Its debt is bounded, so that a class that once ran alone does not wait long for its floor later.
   * @param name - of the class
   * @param ms - slot time; negative to give back what was charged too much
   */
  spend (name: string, ms: number): void {
    const lowest = -MOST_RUNS * this.times.estimate(name)
    this.credits.set(name, Math.max(lowest, this.of(name) - ms))
  }

  /**
   * @param name - of a class
   * @returns slot time that it is owed, in milliseconds
   */
  of (name: string): number {
    return this.credits.get(name) ?? 0
  }
}
