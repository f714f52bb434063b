import { LEADERSHIP_OVERLAP_MS } from '@wisteriaslip/jobs.model'
import { holds, keyOf, type FoundHold } from '@wisteriaslip/jobs.scheduler'
import type { ServiceTermOpts } from './ports.ts'

/** What a leader knows of leases and of its leadership may be this old while it acts: a hold ends with it. */
const GRACE_MS = LEADERSHIP_OVERLAP_MS

/** Logs and counts each hold once that has lasted longer than it may. */
export class OverdueHolds {
  private readonly opts: ServiceTermOpts
  private logged = new Set<string>()

  /** @param opts - options of the term */
  constructor (opts: ServiceTermOpts) {
    this.opts = opts
  }

  /**
   * Looks at the holds that there are now. One that has ended is logged again if it comes back and lasts too long again.
   * @param found - holds of all tasks that are looked at
   */
  observe (found: readonly FoundHold[]): void {
    const now = this.opts.clock.now()
    const overdue = new Map(found.filter(({ until }) => until !== undefined && now - until > GRACE_MS).map(hold => [keyOf(hold), hold]))
    for (const [key, hold] of overdue) if (!this.logged.has(key)) this.report(hold, now)
    this.logged = new Set(overdue.keys())
  }

  private report ({ code, owner, name, since, until }: FoundHold, now: number): void {
    const { service, token, logger, metrics } = this.opts
    const forMs = since === undefined ? undefined : Math.round(now - since)
    const overdueMs = until === undefined ? undefined : Math.round(now - until)
    metrics.count('holds_overdue_total', { code })
    logger.warn({ service, token, code, owner, name, forMs, overdueMs, hint: holds[code].hint }, 'a hold has lasted longer than it may')
  }
}
