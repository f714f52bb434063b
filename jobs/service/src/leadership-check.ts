import { LEADERSHIP_OVERLAP_MS } from '@wisteriaslip/jobs.model'
import type { ServiceTermOpts } from './ports.ts'

/**
 * Says whether a term may start runs, grant leases and call VMs drained. A leader that is cut off is replaced without being told so; what it does
 * after {@link LEADERSHIP_OVERLAP_MS} its successor does not reckon with.
 */
export class LeadershipCheck {
  private readonly opts: ServiceTermOpts
  private uncertainSince: number | undefined

  /** @param opts - options of the term */
  constructor (opts: ServiceTermOpts) {
    this.opts = opts
  }

  /** @returns whether no other leader reckons yet with this one's having stopped */
  mayAct (): boolean {
    return this.opts.clock.now() - this.opts.leadershipConfirmedAt() < LEADERSHIP_OVERLAP_MS
  }

  /** Logs and counts when that changes. */
  observe (): void {
    const { service, token, clock, logger, metrics } = this.opts
    const now = clock.now()
    if (this.mayAct() === (this.uncertainSince === undefined)) return
    if (this.uncertainSince === undefined) {
      this.uncertainSince = now
      metrics.count('leadership_uncertain_total', { service })
      logger.warn({ service, token }, 'leadership is not confirmed: nothing is started, and no lease granted')
    } else {
      logger.info({ service, token, forMs: Math.round(now - this.uncertainSince) }, 'leadership is confirmed again')
      this.uncertainSince = undefined
    }
  }
}
