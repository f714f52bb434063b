import type { Scheduler } from '@wisteriaslip/jobs.scheduler'
import type { Change } from '@wisteriaslip/store.client'
import type { ServiceTermOpts } from './ports.ts'
import type { ProgressWriter } from './progress-writer.ts'

const MAX_JOBS_PER_CALL = 5

/**
 * Deletes the records of jobs whose retention period (`limits.keepMs`) has passed, a few jobs per call. Stops at the
 * first store error; the next call continues.
 * @param scheduler - scheduler of the service's leader
 * @param writer - forgets the progress records of the removed jobs
 * @param opts - options of the term
 */
export async function removeExpiredJobs (scheduler: Scheduler, writer: ProgressWriter, opts: ServiceTermOpts): Promise<void> {
  const endedBefore = opts.wallClock() - opts.limits.keepMs
  const expired = [...scheduler.table.jobs.values()].filter(tracked => tracked.durableOutcome !== undefined && (tracked.endedAt ?? Infinity) < endedBefore)
  for (const tracked of expired.slice(0, MAX_JOBS_PER_CALL)) {
    const { id } = tracked.job
    const { keys } = opts.records
    const changes: Change[] = []
    // Read again at each call: an earlier call whose outcome is unknown may have deleted the records.
    for (const key of [keys.job(opts.service, id), keys.cancellation(opts.service, id), keys.progress(opts.service, id)]) {
      const doc = await opts.store.get(key)
      if (!doc.ok) return
      if (doc.value !== undefined) changes.push({ key, prior: doc.value, value: undefined })
    }
    const removed = changes.length === 0 || (await opts.store.update(changes, { guards: [opts.guard] })).ok
    if (!removed) return
    scheduler.table.removeJob(id)
    writer.removeJob(id)
  }
}
