import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { AddressedJob, Job, JobState, WorkerRegistration } from '@wisteriaslip/jobs.model'
import { isFinal, isOfQueue } from '@wisteriaslip/jobs.model'
import type { JobProgress } from '@wisteriaslip/jobs.scheduler'
import { toVersioned, type Change, type Guard, type Store, type StoreError, type Versioned } from '@wisteriaslip/store.client'
import { BatchWriter } from './batch-writer.ts'
import type { IndexEntry } from './index-entry.ts'
import { JobIndex, mayBeOfAccount, type JobIndexOpts } from './job-index.ts'
import { jobIdFromKey, type JobKeys } from './keys.ts'
import { isJob, isProgress } from './record-schema.ts'

const BATCH_WINDOW_MS = 6
/** A write may name 32 keys, each change once with its condition and once with its value. */
const MAX_BATCH_CHANGES = 16

/** Record of a leader's term for a service: its number and the workers that may have received work. */
export interface TermRecord {
  readonly number: number
  /** Longest lease given to workers in this or an earlier term, in milliseconds. */
  readonly leaseMs?: number | undefined
  readonly workers: readonly WorkerRegistration[]
  /**
   * Workers that hold no lease of this term, by {@link incarnationKey}: for how long after this was written runs of earlier terms
   * may still be in progress there at most, in milliseconds. They get no lease while they are listed here.
   */
  readonly unknownRunsMs?: Readonly<Record<string, number>> | undefined
}

/** All job records of a service. `revision` is that of the requests; progress is read separately. */
export interface ServiceRecords {
  readonly revision: number
  readonly jobs: ReadonlyArray<Versioned<Job>>
  readonly cancelled: ReadonlySet<string>
  readonly progress: ReadonlyMap<string, Versioned<JobProgress>>
  /** Ids of jobs that are left out because their record, or that of their progress, cannot be read. */
  readonly unreadable: ReadonlySet<string>
}

/** Result of storing a job. */
export type AcceptResult =
  | { readonly kind: 'stored' }
  /** A job with this address and id is already stored. */
  | { readonly kind: 'known', readonly entry: IndexEntry }
  /** Another job of the service has this id, submitted to another queue: it is not stored. */
  | { readonly kind: 'taken' }
  /** The id was cancelled by this client account, or by anybody where there is none, before the job was stored: it is not stored. */
  | { readonly kind: 'cancelled', readonly retryAfterMs: number }
  /** Certainly not stored. */
  | { readonly kind: 'not-stored' }
  /** The outcome is unknown: the job may be stored, now or later. */
  | { readonly kind: 'unknown' }

/** What tells whose a stored job is, and which queue it was submitted to. */
export type JobOrigin = Pick<Job, 'queue' | 'address' | 'account'>

/** Reads and writes the durable records of jobs. */
export class JobRecords {
  readonly keys: JobKeys
  readonly index: JobIndex
  private readonly store: Store
  private readonly writer: BatchWriter

  /**
   * @param store - holds the records
   * @param keys - keys of the records
   * @param opts - how long tombstones of the index live
   */
  constructor (store: Store, keys: JobKeys, opts: JobIndexOpts = {}) {
    this.store = store
    this.keys = keys
    this.index = new JobIndex(store, keys, opts)
    this.writer = new BatchWriter(store, { batchWindowMs: BATCH_WINDOW_MS, maxBatchChanges: MAX_BATCH_CHANGES })
  }

  /**
   * Stores a job and its index entry. An id is stored only once at an address, whatever service the queue has.
   * @param job - job as submitted
   * @returns whether the job is stored
   */
  async accept (job: AddressedJob): Promise<AcceptResult> {
    const written = await this.writer.write([this.index.entryChange(job), this.recordChange(job)])
    if (written.ok) return { kind: 'stored' }
    if (written.error.kind === 'conflict') return await this.explainConflict(job)
    if (written.error.kind === 'unavailable' && written.error.maybeApplied) return { kind: 'unknown' }
    return { kind: 'not-stored' }
  }

  private recordChange (job: AddressedJob): Change {
    return { key: this.keys.job(job.service, job.id), prior: undefined, value: job }
  }

  private async explainConflict (job: AddressedJob): Promise<AcceptResult> {
    const doc = await this.index.find(job.address, job.id)
    if (!doc.ok) return { kind: 'unknown' }
    if (doc.value === undefined) return await this.explainConflictWithRecord(job)
    if (doc.value.value.cancelled !== true) return { kind: 'known', entry: doc.value.value }
    return mayBeOfAccount(doc.value.value, job) ? { kind: 'cancelled', retryAfterMs: this.index.tombstoneTtlMs } : await this.replaceTombstone(job, doc.value)
  }

  /** A job of the service has the id, but no index entry at the address: it was submitted to another queue, or stored by an earlier version. */
  private async explainConflictWithRecord (job: AddressedJob): Promise<AcceptResult> {
    const { service, id } = job
    const origin = await this.originOf(service, id)
    if (!origin.ok) return origin.error.kind === 'corrupt' ? { kind: 'known', entry: { service } } : { kind: 'unknown' }
    // What caused the conflict has gone since: a tombstone that has expired, or a job whose records were removed.
    if (origin.value === undefined) return { kind: 'unknown' }
    return isOfQueue(origin.value, job) ? { kind: 'known', entry: { service, account: origin.value.account } } : { kind: 'taken' }
  }

  /** An id is cancelled for the account that has cancelled it: it keeps that account's submissions out, and so does this job. */
  private async replaceTombstone (job: AddressedJob, tombstone: Versioned<IndexEntry>): Promise<AcceptResult> {
    const written = await this.store.update([this.index.entryChange(job, tombstone), this.recordChange(job)], { forCaller: true })
    return written.ok ? { kind: 'stored' } : { kind: 'unknown' }
  }

  /**
   * Adds the index entry of a job that an earlier version has stored without, and its address to the job's record. Cancels the job if
   * its id was cancelled before: an earlier version does not read the tombstone.
   * @param job - `service` and `id` of the job, and the `address` of its queue
   * @param guard - store condition that this entry leads the service
   * @returns success also if there is nothing to add; a conflict if another job has the address and id, or the guard does not hold
   */
  async addIndexEntry ({ service, id, address }: Pick<AddressedJob, 'service' | 'id' | 'address'>, guard: Guard): Promise<Result<void, StoreError>> {
    const doc = await this.job(service, id)
    if (!doc.ok) return doc
    if (doc.value === undefined || doc.value.value.address !== undefined) return ok(undefined)
    const job: AddressedJob = { ...doc.value.value, address }
    const written = await this.store.update([this.index.entryChange(job), { ...this.recordChange(job), prior: doc.value }], { guards: [guard] })
    if (written.ok) return ok(undefined)
    const entry = written.error.kind === 'conflict' ? await this.index.find(address, id) : written
    if (!entry.ok) return entry
    return entry.value?.value.cancelled === true && mayBeOfAccount(entry.value.value, job) ? await this.cancel(service, id) : written
  }

  /**
   * Stores the cancellation of a job.
   * @param service - service of the job
   * @param id - id of the job
   * @returns success also if the cancellation was already stored, or the store's error
   */
  async cancel (service: string, id: string): Promise<Result<void, StoreError>> {
    const written = await this.writer.write([{ key: this.keys.cancellation(service, id), prior: undefined, value: {} }])
    if (written.ok || written.error.kind === 'conflict') return ok(undefined)
    return written
  }

  /**
   * @param service - service of the job
   * @param id - id of the job
   * @returns the job, undefined if it is not stored or cannot be read
   */
  async job (service: string, id: string): Promise<Result<Versioned<Job> | undefined, StoreError>> {
    const doc = await this.store.get(this.keys.job(service, id))
    if (!doc.ok) return doc
    return ok(doc.value !== undefined && isJob(doc.value.value) ? doc.value as Versioned<Job> : undefined)
  }

  /**
   * Derives the state of a job from its records, for callers when the service's leader is unavailable.
   * @param service - service of the job
   * @param id - id of the job
   * @returns state of the job, undefined if it is not stored
   */
  async state (service: string, id: string): Promise<Result<JobState | undefined, StoreError>> {
    const progress = await this.progressState(service, id)
    if (!progress.ok || (progress.value !== undefined && isFinal(progress.value))) return progress
    const cancelled = await this.store.get(this.keys.cancellation(service, id), { forCaller: true })
    if (!cancelled.ok) return cancelled
    if (cancelled.value !== undefined) return await this.stateOfCancelled(service, id)
    if (progress.value !== undefined) return progress
    const job = await this.store.get(this.keys.job(service, id), { forCaller: true })
    if (!job.ok) return job
    return ok(job.value === undefined ? undefined : 'queued')
  }

  /**
   * @param service - service of the job
   * @param id - id of the job
   * @returns where the job comes from, undefined if it is not stored; an earlier version stores no address
   */
  async originOf (service: string, id: string): Promise<Result<JobOrigin | undefined, StoreError>> {
    const doc = await this.store.get(this.keys.job(service, id), { forCaller: true })
    if (!doc.ok) return doc
    if (doc.value === undefined) return ok(undefined)
    const { queue = '', address, account } = (doc.value.value ?? {}) as Partial<Job>
    return ok({ queue, address, account })
  }

  /** The job may have ended before its cancellation was stored, since its progress was read. */
  private async stateOfCancelled (service: string, id: string): Promise<Result<JobState, StoreError>> {
    const progress = await this.progressState(service, id)
    if (!progress.ok) return progress
    return ok(progress.value !== undefined && isFinal(progress.value) ? progress.value : 'cancelled')
  }

  private async progressState (service: string, id: string): Promise<Result<JobState | undefined, StoreError>> {
    const doc = await this.store.get(this.keys.progress(service, id), { forCaller: true })
    if (!doc.ok) return doc
    if (doc.value === undefined) return ok(undefined)
    return ok((doc.value.value as JobProgress).outcome ?? 'running')
  }

  /**
   * Reads all records of a service. Progress and requests are read separately, which is safe for the service's leader
   * because nobody else writes progress meanwhile.
   * @param service - name of the service
   * @returns the records, or the store's error
   */
  async readAll (service: string): Promise<Result<ServiceRecords, StoreError>> {
    const [progress, requests] = await Promise.all([this.store.list(this.keys.progressPrefix(service)), this.store.list(this.keys.requestsPrefix(service))])
    if (!progress.ok) return progress
    if (!requests.ok) return requests
    const jobsPrefix = `${this.keys.requestsPrefix(service)}jobs/`
    const jobs: Array<Versioned<Job>> = []
    const cancelled = new Set<string>()
    const unreadableProgress = progress.value.docs.filter(doc => !isProgress(doc.value)).map(doc => doc.key)
    const unreadable = new Set([...unreadableProgress, ...progress.value.undecodable].map(jobIdFromKey))
    for (const key of requests.value.undecodable) (key.startsWith(jobsPrefix) ? unreadable : cancelled).add(jobIdFromKey(key))
    for (const doc of requests.value.docs) {
      const id = jobIdFromKey(doc.key)
      if (!doc.key.startsWith(jobsPrefix)) cancelled.add(id)
      else if (isJob(doc.value) && !unreadable.has(id)) jobs.push(doc as Versioned<Job>)
      else unreadable.add(id)
    }
    const progressById = new Map(progress.value.docs.map(doc => [jobIdFromKey(doc.key), doc as Versioned<JobProgress>]))
    return ok({ revision: requests.value.revision, jobs, cancelled, progress: progressById, unreadable })
  }

  /**
   * @param service - name of the service
   * @returns the record of the service's latest term, undefined if there is none, or the store's error
   */
  async term (service: string): Promise<Result<Versioned<TermRecord> | undefined, StoreError>> {
    return await this.store.get(this.keys.term(service)) as Result<Versioned<TermRecord> | undefined, StoreError>
  }

  /**
   * Starts a term: replaces the record of the previous term by one with the new number, which carries over what earlier
   * terms leave behind (their workers and longest lease).
   * @param service - name of the service
   * @param next - derives the record of this term from the previous one
   * @param guard - store condition that this entry leads the service
   * @returns the record as written, or the store's error
   */
  async startTerm (service: string, next: (before: TermRecord | undefined) => TermRecord, guard: Guard): Promise<Result<Versioned<TermRecord>, StoreError>> {
    const before = await this.term(service)
    if (!before.ok) return before
    return await this.writeTerm(service, before.value, next(before.value?.value), guard)
  }

  /**
   * Replaces the record of a term.
   * @param service - name of the service
   * @param prior - stored record that is replaced, undefined if there is none
   * @param value - new record
   * @param guard - store condition that this entry leads the service
   * @returns the record as written, or the store's error
   */
  async writeTerm (service: string, prior: Versioned<TermRecord> | undefined, value: TermRecord, guard: Guard): Promise<Result<Versioned<TermRecord>, StoreError>> {
    const key = this.keys.term(service)
    const written = await this.store.update([{ key, prior, value }], { guards: [guard] })
    if (!written.ok) return err(written.error)
    return ok(toVersioned({ key, prior, value }, written.value))
  }
}
