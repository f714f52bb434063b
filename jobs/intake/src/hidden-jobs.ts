import { RefusalLog } from '@wisteriaslip/jobs.accounts'
import type { Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { Metrics } from '@wisteriaslip/core.metrics'

/** Hides jobs from client accounts that they do not belong to, and counts and logs that. */
export class HiddenJobs {
  private readonly metrics: Metrics
  private readonly log: RefusalLog

  constructor ({ clock, logger, metrics }: { readonly clock: Clock, readonly logger: Logger, readonly metrics: Metrics }) {
    this.metrics = metrics
    this.log = new RefusalLog(clock, logger, 'job of another account')
  }

  /**
   * @param reason - whether the account asks for the job or submits one with its id
   * @param id - id of the job
   * @param owner - account of the job; undefined for none, as in records of earlier versions: such jobs are visible to all
   * @param account - the account that calls, undefined where any may
   * @returns whether the job is not shown to the account
   */
  isHidden (reason: 'ask' | 'submit', id: string, owner: string | undefined, account: string | undefined): boolean {
    if (owner === undefined || account === undefined || owner === account) return false
    this.metrics.count('jobs_hidden_total', { reason })
    this.log.note({ reason, job: id, account })
    return true
  }
}
