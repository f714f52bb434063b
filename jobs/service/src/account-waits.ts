import type { Metrics } from '@wisteriaslip/core.metrics'
import type { TrackedJob } from '@wisteriaslip/jobs.scheduler'

/** Histograms of one process; all further accounts share one. */
const MAX_ACCOUNTS = 64
const OTHERS = 'others'

/** Records for how long jobs have waited for their first start, by client account. */
export class AccountWaits {
  private readonly metrics: Metrics
  private readonly accounts = new Set<string>()

  /** @param metrics - gets the histograms */
  constructor (metrics: Metrics) {
    this.metrics = metrics
  }

  /** @param tracked - a job that has ended; those without an account, and those whose start was not observed, do not count */
  record ({ job: { account }, waitedMs, isBeyondWeight }: TrackedJob): void {
    if (account === undefined || waitedMs === undefined) return
    if (this.accounts.size < MAX_ACCOUNTS) this.accounts.add(account)
    this.metrics.observe('job_wait_us', { account: this.accounts.has(account) ? account : OTHERS, weight: isBeyondWeight ? 'beyond' : 'within' }, waitedMs)
  }
}
