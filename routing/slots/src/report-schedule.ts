import { RENEW_INTERVAL_MS } from './timeouts.ts'

/** Least time between two reports to the same leader. */
const REPORT_GAP_MS = 100

/** What speaks for a report now. */
export interface ReportTriggers {
  /** The leader asked for one. */
  readonly nudged: boolean
  /** Work waits beyond the allotment, or slots were given back. */
  readonly constraintViolated: boolean
}

/** Decides when an entry speaks to a leader: when a local constraint breaks, else once a period. */
export class ReportSchedule {
  private sentAt = Number.NEGATIVE_INFINITY

  /**
   * @param now - present time in milliseconds
   * @param reasons - evaluated only when a report may be sent
   * @returns whether a report is to be sent now
   */
  isDue (now: number, reasons: () => ReportTriggers): boolean {
    const since = now - this.sentAt
    if (since >= RENEW_INTERVAL_MS) return true
    if (since < REPORT_GAP_MS) return false
    const { nudged, constraintViolated: constraintBroken } = reasons()
    return nudged || constraintBroken
  }

  /** @param now - when a report left */
  markSent (now: number): void {
    this.sentAt = now
  }
}
