import type { Clock } from '@wisteriaslip/core.result'

/** What reports between renewals may take in the long run, both ways, at one entry. */
const BYTES_PER_SECOND = 18_000
/** A burst may use up what was saved in this time. */
const BURST_SECONDS = 4
/** Request line, headers and status line of one call, both ways. */
const CALL_OVERHEAD_BYTES = 420

/** Bounds the traffic of reports, however many pools are short of slots at once: then they wait longer for a report. */
export class ReportBudget {
  private readonly clock: Clock
  private bytes = BYTES_PER_SECOND * BURST_SECONDS
  private filledAt: number

  constructor (clock: Clock) {
    this.clock = clock
    this.filledAt = clock.now()
  }

  /** @returns whether a report beside the renewals may be sent now */
  canSpend (): boolean {
    this.fill()
    return this.bytes > 0
  }

  /** @param payloadBytes - of a report and its answer */
  spend (payloadBytes: number): void {
    this.fill()
    this.bytes -= payloadBytes + CALL_OVERHEAD_BYTES
  }

  private fill (): void {
    const now = this.clock.now()
    const earned = (now - this.filledAt) / 1_000 * BYTES_PER_SECOND
    this.bytes = Math.min(BYTES_PER_SECOND * BURST_SECONDS, this.bytes + earned)
    this.filledAt = now
  }
}
