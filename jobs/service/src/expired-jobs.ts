import type { Job } from '@wisteriaslip/jobs.model'
import type { Scheduler } from '@wisteriaslip/jobs.scheduler'
import type { IndexEntry } from '@wisteriaslip/jobs.store'
import type { Change, Versioned } from '@wisteriaslip/store.client'
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
    const docs = await readRecords(id, opts)
    if (docs === undefined) return
    const changes: Change[] = docs.map(doc => ({ key: doc.key, prior: doc, value: undefined }))
    const removed = changes.length === 0 || (await opts.store.update(changes, { guards: [opts.guard] })).ok
    if (!removed) return
    scheduler.table.removeJob(id)
    writer.removeJob(id)
  }
}

/**
 * Reads the records of a job again at each call: an earlier call whose outcome is unknown may have deleted them. All are deleted at
 * once, so that the index entry, whose key the job's record tells, is gone if that is.
 * @returns the records that are stored, undefined after a store error
 */
async function readRecords (id: string, { service, store, records: { keys } }: ServiceTermOpts): Promise<Versioned[] | undefined> {
  const docs: Versioned[] = []
  for (const key of [keys.job(service, id), keys.cancellation(service, id), keys.progress(service, id)]) {
    const doc = await store.get(key)
    if (!doc.ok) return undefined
    if (doc.value !== undefined) docs.push(doc.value)
  }
  const address = (docs.find(({ key }) => key === keys.job(service, id))?.value as Job | undefined)?.address
  if (address === undefined) return docs
  const entry = await store.get(keys.indexEntry(address, id))
  // One that cannot be decoded is left: it must not keep the records of later jobs.
  if (!entry.ok) return entry.error.kind === 'corrupt' ? docs : undefined
  const isOwn = (entry.value?.value as IndexEntry | undefined)?.service === service
  return entry.value !== undefined && isOwn ? [...docs, entry.value] : docs
}
