import type { Clock } from '@wisteriaslip/core.result'
import type { ServiceTimes } from './service-times.ts'

/** Limit of a class's credit, positive or negative, in multiples of its mean service time. */
const MAX_CREDIT_RUNS = 2

/** A class and its guaranteed share of the slots. */
export interface FloorClass {
  readonly name: string
  /** Guaranteed fraction of the slots. */
  readonly floor: number
  /** Whether requests of the class are waiting. */
  readonly hasWaiting: boolean
}

/** Tracks the slot time that each class is entitled to by its guaranteed share but has not used yet. */
export class FloorCredits {
  private readonly clock: Clock
  private readonly serviceTimes: ServiceTimes
  private readonly credits = new Map<string, number>()
  private lastAccruedAt: number

  /**
   * @param clock - time source
   * @param serviceTimes - mean service times, which limit the credits
   */
  constructor (clock: Clock, serviceTimes: ServiceTimes) {
    this.clock = clock
    this.serviceTimes = serviceTimes
    this.lastAccruedAt = clock.now()
  }

  /**
   * Adds the credit accrued since the last call. A class gains credit only while its requests are waiting; otherwise
   * only a negative credit is reduced.
   * @param classes - all classes
   * @param slots - number of slots of which each class is guaranteed its share
   */
  accrue (classes: Iterable<FloorClass>, slots: number): void {
    const now = this.clock.now()
    const slotMs = (now - this.lastAccruedAt) * slots
    this.lastAccruedAt = now
    for (const { name, floor, hasWaiting } of classes) {
      const credit = this.creditMs(name)
      const most = hasWaiting ? MAX_CREDIT_RUNS * this.serviceTimes.estimate(name) : Math.max(0, credit)
      this.credits.set(name, Math.min(most, credit + slotMs * floor))
    }
  }

  /**
   * Charges slot time to a class. Negative credit is limited, so that a class that had the slots to itself does not have
   * to wait long for its guaranteed share afterwards.
   * @param name - of the class
   * @param ms - slot time in milliseconds; negative to refund an excessive charge
   */
  charge (name: string, ms: number): void {
    const minCredit = -MAX_CREDIT_RUNS * this.serviceTimes.estimate(name)
    this.credits.set(name, Math.max(minCredit, this.creditMs(name) - ms))
  }

  /**
   * @param name - of a class
   * @returns credit in milliseconds of slot time
   */
  creditMs (name: string): number {
    return this.credits.get(name) ?? 0
  }
}
