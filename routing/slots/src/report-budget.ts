import type { Clock } from '@wisteriaslip/core.result'

/** Sustained traffic, in both directions, of the reports that one entry sends to other entries. Renewals may exceed it. */
const MAX_REPORT_BYTES_PER_SECOND = 18_000
/** Unused budget accumulates for at most this long. */
const MAX_BURST_SECONDS = 4
/** Request line, headers and status line of one call, request and response together. */
const CALL_OVERHEAD_BYTES = 420

/**
 * Token bucket for the traffic of slot reports. All reports to other entries are charged, but only those other than
 * renewals wait when it is empty, as when many pools are short of slots at the same time.
 */
export class ReportBudget {
  private readonly clock: Clock
  private availableBytes = MAX_REPORT_BYTES_PER_SECOND * MAX_BURST_SECONDS
  private lastRefillAt: number

  /** @param clock - time source for the refill */
  constructor (clock: Clock) {
    this.clock = clock
    this.lastRefillAt = clock.now()
  }

  /** @returns whether a report other than a renewal may be sent now */
  canSpend (): boolean {
    this.refill()
    return this.availableBytes > 0
  }

  /**
   * Charges one call to the budget, which may become negative.
   * @param payloadBytes - size of the report and its reply
   */
  spend (payloadBytes: number): void {
    this.refill()
    this.availableBytes -= payloadBytes + CALL_OVERHEAD_BYTES
  }

  private refill (): void {
    const now = this.clock.now()
    const refillBytes = (now - this.lastRefillAt) / 1_000 * MAX_REPORT_BYTES_PER_SECOND
    this.availableBytes = Math.min(MAX_REPORT_BYTES_PER_SECOND * MAX_BURST_SECONDS, this.availableBytes + refillBytes)
    this.lastRefillAt = now
  }
}
