import type { Scheduler } from '@wisteriaslip/jobs.scheduler'
import type { Change } from '@wisteriaslip/store.client'
import type { ServiceTermOpts } from './ports.ts'
import type { ProgressWriter } from './progress-writer.ts'

const JOBS_PER_STEP = 5

/**
 * Removes the records of jobs that ended so long ago that nobody asks for them any more.
 * @param scheduler - of the service's leader
 * @param writer - that knows the records' versions
 * @param opts - of the term
 */
export async function cleanUp (scheduler: Scheduler, writer: ProgressWriter, opts: ServiceTermOpts): Promise<void> {
  const before = opts.wallClock() - opts.limits.keepMs
  const old = [...scheduler.table.jobs.values()].filter(tracked => tracked.durableOutcome !== undefined && (tracked.endedAt ?? Infinity) < before)
  for (const tracked of old.slice(0, JOBS_PER_STEP)) {
    const { id } = tracked.job
    const progress = writer.prior(id)
    const { keys } = opts.records
    const changes: Change[] = progress === undefined ? [] : [{ key: progress.key, prior: progress, value: undefined }]
    for (const key of [keys.job(opts.service, id), keys.cancellation(opts.service, id)]) {
      const doc = await opts.store.get(key)
      if (!doc.ok) return
      if (doc.value !== undefined) changes.push({ key, prior: doc.value, value: undefined })
    }
    const removed = await opts.store.update(changes, { guards: [opts.guard] })
    if (!removed.ok) return
    scheduler.table.removeJob(id)
    writer.drop(id)
  }
}
