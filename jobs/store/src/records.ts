import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { Job, JobState, WorkerRegistration } from '@wisteriaslip/jobs.model'
import { isFinal } from '@wisteriaslip/jobs.model'
import type { JobProgress } from '@wisteriaslip/jobs.scheduler'
import { toVersioned, type Guard, type Store, type StoreError, type Versioned } from '@wisteriaslip/store.client'
import { BatchWriter } from './batch-writer.ts'
import { jobIdFromKey, type JobKeys } from './keys.ts'

const GATHER_MS = 6
const MAX_CHANGES = 12

/** A term of a service's leader: its number, and the workers to which it may have given work. */
export interface TermRecord {
  readonly number: number
  /** Longest lease that this or an earlier term gave to workers, in milliseconds. */
  readonly leaseMs?: number | undefined
  readonly workers: readonly WorkerRegistration[]
}

/** All records of a service. */
export interface ServiceRecords {
  readonly revision: number
  readonly jobs: ReadonlyArray<Versioned<Job>>
  readonly cancelled: ReadonlySet<string>
  readonly progress: ReadonlyMap<string, Versioned<JobProgress>>
}

/** How the acceptance of a job ended. */
export type AcceptResult =
  | { readonly kind: 'stored' }
  /** A job with this id was accepted before. */
  | { readonly kind: 'known' }
  /** Surely not stored. */
  | { readonly kind: 'not-stored' }
  /** It may be stored, now or later. */
  | { readonly kind: 'unknown' }

/** The durable records of jobs. */
export class JobRecords {
  readonly keys: JobKeys
  private readonly store: Store
  private readonly writer: BatchWriter

  constructor (store: Store, keys: JobKeys) {
    this.store = store
    this.keys = keys
    this.writer = new BatchWriter(store, { batchWindowMs: GATHER_MS, maxBatchChanges: MAX_CHANGES })
  }

  /**
   * Stores a job, once for its id.
   * @param job - as handed in
   * @returns whether it is stored
   */
  async accept (job: Job): Promise<AcceptResult> {
    const written = await this.writer.write({ key: this.keys.job(job.service, job.id), prior: undefined, value: job })
    if (written.ok) return { kind: 'stored' }
    if (written.error.kind === 'conflict') return { kind: 'known' }
    if (written.error.kind === 'unavailable' && written.error.maybeApplied) return { kind: 'unknown' }
    return { kind: 'not-stored' }
  }

  /**
   * Stores that a job is cancelled.
   * @param service - of the job
   * @param id - of the job
   */
  async cancel (service: string, id: string): Promise<Result<void, StoreError>> {
    const written = await this.writer.write({ key: this.keys.cancellation(service, id), prior: undefined, value: {} })
    if (written.ok || written.error.kind === 'conflict') return ok(undefined)
    return written
  }

  /**
   * @param service - of the job
   * @param id - of the job
   * @returns the job, undefined when there is none
   */
  async job (service: string, id: string): Promise<Result<Versioned<Job> | undefined, StoreError>> {
    const doc = await this.store.get(this.keys.job(service, id))
    return doc as Result<Versioned<Job> | undefined, StoreError>
  }

  /**
   * Reads a job's state from its records, for when its leader cannot be asked.
   * @param service - of the job
   * @param id - of the job
   * @returns its state, undefined when there is no such job
   */
  async state (service: string, id: string): Promise<Result<JobState | undefined, StoreError>> {
    const progress = await this.store.get(this.keys.progress(service, id))
    if (!progress.ok) return progress
    const known = progress.value?.value as JobProgress | undefined
    if (known?.outcome !== undefined && isFinal(known.outcome)) return ok(known.outcome)
    const cancelled = await this.store.get(this.keys.cancellation(service, id))
    if (!cancelled.ok) return cancelled
    if (cancelled.value !== undefined) return ok('cancelled')
    if (known !== undefined) return ok('running')
    const job = await this.store.get(this.keys.job(service, id))
    if (!job.ok) return job
    return ok(job.value === undefined ? undefined : 'queued')
  }

  /**
   * Reads all records of a service, for its leader: nobody else writes progress meanwhile.
   * @param service - a service
   */
  async readAll (service: string): Promise<Result<ServiceRecords, StoreError>> {
    const [progress, requests] = await Promise.all([this.store.list(this.keys.progressPrefix(service)), this.store.list(this.keys.requestsPrefix(service))])
    if (!progress.ok) return progress
    if (!requests.ok) return requests
    const jobsAt = `${this.keys.requestsPrefix(service)}jobs/`
    const jobs: Array<Versioned<Job>> = []
    const cancelled = new Set<string>()
    for (const doc of requests.value.docs) {
      if (doc.key.startsWith(jobsAt)) jobs.push(doc as Versioned<Job>)
      else cancelled.add(jobIdFromKey(doc.key))
    }
    const byId = new Map(progress.value.docs.map(doc => [jobIdFromKey(doc.key), doc as Versioned<JobProgress>]))
    return ok({ revision: requests.value.revision, jobs, cancelled, progress: byId })
  }

  /**
   * Begins a term: writes its number, and what the terms before leave behind.
   * @param service - a service
   * @param next - makes the record of this term from that of the one before
   * @param guard - that this entry leads it
   * @returns the record as written
   */
  async beginTerm (service: string, next: (before: TermRecord | undefined) => TermRecord, guard: Guard): Promise<Result<Versioned<TermRecord>, StoreError>> {
    const before = await this.store.get(this.keys.term(service))
    if (!before.ok) return before
    const prior = before.value as Versioned<TermRecord> | undefined
    return await this.writeTerm(service, prior, next(prior?.value), guard)
  }

  /**
   * Writes a term's record.
   * @param service - a service
   * @param prior - the record before
   * @param value - the new one
   * @param guard - that this entry leads it
   */
  async writeTerm (service: string, prior: Versioned<TermRecord> | undefined, value: TermRecord, guard: Guard): Promise<Result<Versioned<TermRecord>, StoreError>> {
    const key = this.keys.term(service)
    const written = await this.store.update([{ key, prior, value }], { guards: [guard] })
    if (!written.ok) return err(written.error)
    return ok(toVersioned({ key, prior, value }, written.value))
  }
}
