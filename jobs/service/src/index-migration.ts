import { delay } from '@wisteriaslip/core.result'
import { addressOf, type Job } from '@wisteriaslip/jobs.model'
import type { StoreError } from '@wisteriaslip/store.client'
import type { ServiceTermOpts } from './ports.ts'

const MIGRATION_INTERVAL_MS = 1_000
const MAX_JOBS_PER_PASS = 20
/** Any other error would come again, and must not hold up other jobs. */
const RETRIED_ERRORS: ReadonlySet<StoreError['kind']> = new Set<StoreError['kind']>(['unavailable', 'over-budget'])

/**
 * Gives index entries to jobs that entries of earlier versions have stored without, so that they are still found once their queue has
 * another service. A job whose queue is not in the configuration has no address, and callers cannot ask for it.
 */
export class IndexMigration {
  private readonly opts: ServiceTermOpts
  private readonly jobs = new Map<string, Job>()

  constructor (opts: ServiceTermOpts) {
    this.opts = opts
  }

  /** @param job - a stored job, whichever version has stored it */
  note (job: Job): void {
    if (job.address === undefined) this.jobs.set(job.id, job)
  }

  /**
   * Writes missing index entries until the signal aborts.
   * @param signal - ends the loop
   */
  async run (signal: AbortSignal): Promise<void> {
    while (await delay(MIGRATION_INTERVAL_MS, signal)) await this.writeSome()
  }

  private async writeSome (): Promise<void> {
    for (const job of [...this.jobs.values()].slice(0, MAX_JOBS_PER_PASS)) {
      const queue = this.opts.queue(job.queue)
      if (queue === undefined) this.moveToEnd(job)
      else if (!await this.write(job.id, addressOf(queue))) return
    }
  }

  /** Its queue may come back, and others must not wait for that. */
  private moveToEnd (job: Job): void {
    this.jobs.delete(job.id)
    this.jobs.set(job.id, job)
  }

  /** @returns false while the store cannot be written, so that the next pass tries again */
  private async write (id: string, address: string): Promise<boolean> {
    const { service, records, guard, logger } = this.opts
    const written = await records.addIndexEntry({ service, id, address }, guard)
    if (!written.ok && RETRIED_ERRORS.has(written.error.kind)) return false
    this.jobs.delete(id)
    if (written.ok) logger.info({ service, job: id }, 'index entry added for a job of an earlier version')
    else logger.warn({ service, job: id, code: written.error.code }, 'no index entry added for a job of an earlier version: it is not found if its queue gets another service')
    return true
  }
}
