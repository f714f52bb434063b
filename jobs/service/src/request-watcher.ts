import { delay } from '@wisteriaslip/core.result'
import type { Job } from '@wisteriaslip/jobs.model'
import { isJob, jobIdFromKey, type JobRecords } from '@wisteriaslip/jobs.store'
import { decodeEnvelope, type Store, type WatchBatch } from '@wisteriaslip/store.client'

const WATCH_RETRY_MS = 400

/** Options of {@link RequestWatcher}. */
export interface RequestWatcherOpts {
  readonly service: string
  readonly store: Store
  readonly records: JobRecords
  readonly onJob: (job: Job) => void
  readonly onCancelled: (id: string) => void
  /** Called for a stored job that cannot be read. */
  readonly onUnreadable: (id: string) => void
}

/**
 * Watches the store for accepted jobs and cancellations. Entries also notify the leader directly, but a notification may
 * be lost.
 */
export class RequestWatcher {
  private readonly opts: RequestWatcherOpts
  /** Store revision up to which requests have been reported. */
  private appliedRevision: number

  /**
   * @param opts - service, store and callbacks
   * @param startRevision - store revision up to which the caller has already read requests
   */
  constructor (opts: RequestWatcherOpts, startRevision: number) {
    this.opts = opts
    this.appliedRevision = startRevision
  }

  /**
   * Watches until the signal aborts. Reads all records again when the watched revision was compacted.
   * @param signal - ends the watch
   */
  async run (signal: AbortSignal): Promise<void> {
    const { service, store, records } = this.opts
    const prefix = records.keys.requestsPrefix(service)
    while (!signal.aborted) {
      const watchEnd = await store.watch(prefix, this.appliedRevision + 1, batch => this.applyBatch(batch), signal)
      if (signal.aborted) return
      if (watchEnd.kind === 'compacted') await this.readAll()
      await delay(WATCH_RETRY_MS, signal)
    }
  }

  private async readAll (): Promise<void> {
    const { service, records, onJob, onCancelled, onUnreadable } = this.opts
    const all = await records.readAll(service)
    if (!all.ok) return
    for (const doc of all.value.jobs) onJob(doc.value)
    for (const id of all.value.cancelled) onCancelled(id)
    for (const id of all.value.unreadable) onUnreadable(id)
    this.appliedRevision = Math.max(this.appliedRevision, all.value.revision)
  }

  private applyBatch (batch: WatchBatch): void {
    const { service, records, onJob, onCancelled, onUnreadable } = this.opts
    const jobsPrefix = `${records.keys.requestsPrefix(service)}jobs/`
    this.appliedRevision = Math.max(this.appliedRevision, batch.revision)
    for (const kv of batch.changed) {
      const value = decodeEnvelope(kv)?.value
      const id = jobIdFromKey(kv.key)
      if (!kv.key.startsWith(jobsPrefix)) onCancelled(id)
      else if (isJob(value)) onJob(value)
      else onUnreadable(id)
    }
  }
}
