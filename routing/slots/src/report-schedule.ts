import { RENEW_INTERVAL_MS } from './timeouts.ts'

/** Minimum time between two reports to the same leader. */
const MIN_REPORT_INTERVAL_MS = 100

/** Conditions that trigger a report before the renew interval has passed. */
export interface ReportTriggers {
  /** The leader requested an immediate report. */
  readonly nudged: boolean
  /**
   * A change should soon be reported: requests wait for slots beyond the allotment, slots were given back, a target is
   * leaving, the leader is new, or the last report got no reply.
   */
  readonly hasUrgentChange: boolean
}

/** Decides when an entry reports to a leader: at every renew interval, and earlier when a trigger applies. */
export class ReportSchedule {
  private lastSentAt = Number.NEGATIVE_INFINITY

  /**
   * @param now - current time in milliseconds
   * @param triggers - evaluated only if the minimum interval has passed and no renewal is due anyway
   * @returns whether a report must be sent now
   */
  isDue (now: number, triggers: () => ReportTriggers): boolean {
    const since = now - this.lastSentAt
    if (since >= RENEW_INTERVAL_MS) return true
    if (since < MIN_REPORT_INTERVAL_MS) return false
    const { nudged, hasUrgentChange } = triggers()
    return nudged || hasUrgentChange
  }

  /** @param now - when a report was sent, in milliseconds */
  markSent (now: number): void {
    this.lastSentAt = now
  }
}
