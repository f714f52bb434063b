import { delay } from '@wisteriaslip/core.result'
import type { Job } from '@wisteriaslip/jobs.model'
import { jobIdFromKey, type JobRecords } from '@wisteriaslip/jobs.store'
import { decodeEnvelope, type Store, type WatchBatch } from '@wisteriaslip/store.client'

const WATCH_GAP_MS = 400

/** Options of {@link RequestFeed}. */
export interface RequestFeedOpts {
  readonly service: string
  readonly store: Store
  readonly records: JobRecords
  readonly onJob: (job: Job) => void
  readonly onCancelled: (id: string) => void
}

/** Brings jobs and cancellations from the store: entries tell the leader of those that they take, but not all of them reach it. */
export class RequestFeed {
  private readonly opts: RequestFeedOpts
  /** Revision up to which requests are known. */
  private knownAt: number

  /**
   * @param opts - service, store and whom to tell
   * @param knownAt - revision up to which requests are known
   */
  constructor (opts: RequestFeedOpts, knownAt: number) {
    this.opts = opts
    this.knownAt = knownAt
  }

  /** Runs until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    const { service, store, records } = this.opts
    const prefix = records.keys.requestsPrefix(service)
    while (!signal.aborted) {
      const ended = await store.watch(prefix, this.knownAt + 1, batch => this.take(batch), signal)
      if (signal.aborted) return
      if (ended.kind === 'compacted') await this.readAll()
      await delay(WATCH_GAP_MS, signal)
    }
  }

  private async readAll (): Promise<void> {
    const { service, records, onJob, onCancelled } = this.opts
    const all = await records.readAll(service)
    if (!all.ok) return
    for (const doc of all.value.jobs) onJob(doc.value)
    for (const id of all.value.cancelled) onCancelled(id)
    this.knownAt = Math.max(this.knownAt, all.value.revision)
  }

  private take (batch: WatchBatch): void {
    const { service, records, onJob, onCancelled } = this.opts
    const jobsAt = `${records.keys.requestsPrefix(service)}jobs/`
    this.knownAt = Math.max(this.knownAt, batch.revision)
    for (const kv of batch.changed) {
      const doc = decodeEnvelope(kv)
      if (doc === undefined) continue
      if (kv.key.startsWith(jobsAt)) onJob(doc.value as Job)
      else onCancelled(jobIdFromKey(kv.key))
    }
  }
}
