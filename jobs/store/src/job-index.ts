import { ok, systemClock, type Clock, type Result } from '@wisteriaslip/core.result'
import type { AddressedJob, Job } from '@wisteriaslip/jobs.model'
import type { Change, Guard, Store, StoreError, Versioned } from '@wisteriaslip/store.client'
import { isIndexEntry, type IndexEntry } from './index-entry.ts'
import type { JobKeys } from './keys.ts'
import { RotatingLease } from './rotating-lease.ts'

/** Stores may grant no longer leases. */
const MAX_LEASE_TTL_MS = 600_000

/** Options of {@link JobIndex}. */
export interface JobIndexOpts {
  /** How long ids stay cancelled that no job had, in milliseconds: at least half of it, at most all of it. */
  readonly tombstoneTtlMs?: number
  /** The process's monotonic clock by default. */
  readonly clock?: Clock
}

/** Identity of a job for its callers, and the service that its queue has now. */
export type JobReference = Pick<AddressedJob, 'service' | 'id' | 'address' | 'account'>

/**
 * Finds jobs by the address of their queue and their id, and keeps cancelled ids from being used: there is one entry for each, written on
 * the condition that there was none, so that a job and the cancellation of its id exclude each other.
 */
export class JobIndex {
  /** For how long an id that no job has stays cancelled at most, in milliseconds. */
  readonly tombstoneTtlMs: number
  private readonly store: Store
  private readonly keys: JobKeys
  private readonly tombstoneLease: RotatingLease

  constructor (store: Store, keys: JobKeys, opts: JobIndexOpts) {
    this.store = store
    this.keys = keys
    this.tombstoneTtlMs = Math.min(opts.tombstoneTtlMs ?? MAX_LEASE_TTL_MS, MAX_LEASE_TTL_MS)
    this.tombstoneLease = new RotatingLease(store, { ttlMs: this.tombstoneTtlMs, clock: opts.clock ?? systemClock })
  }

  /**
   * @param address - address of the queue that the job was submitted to
   * @param id - id of the job
   * @returns the entry, undefined if there is none or none that can be read
   */
  async find (address: string, id: string): Promise<Result<Versioned<IndexEntry> | undefined, StoreError>> {
    const doc = await this.store.get(this.keys.indexEntry(address, id), { forCaller: true })
    if (!doc.ok) return doc
    return ok(isIndexEntry(doc.value?.value) ? doc.value as Versioned<IndexEntry> : undefined)
  }

  /**
   * @param job - a job that is about to be stored
   * @param prior - tombstone that it replaces; undefined for none
   * @returns the change that adds its entry, to be written with its record
   */
  entryChange (job: JobReference, prior?: Versioned<IndexEntry>): Change {
    return { key: this.keys.indexEntry(job.address, job.id), prior, value: toEntry(job) }
  }

  /**
   * Cancels an id that no job has: writes of a job with it that are still under way, and those of requests that some entry has yet to
   * read, are not accepted for a while. The store deletes the tombstone by itself.
   * @param job - the job as it would be submitted
   * @returns success also if it was cancelled before, a conflict if a job has the id by now
   */
  async cancelId (job: JobReference): Promise<Result<void, StoreError>> {
    const written = await this.writeTombstone(job)
    if (written.ok || written.error.kind !== 'conflict') return written
    const doc = await this.find(job.address, job.id)
    if (!doc.ok) return doc
    if (doc.value?.value.cancelled !== true) return written
    if (mayBeOfAccount(doc.value.value, job)) return ok(undefined)
    // Two accounts have cancelled the id: it is cancelled for all.
    return await this.writeTombstone({ ...job, account: undefined }, doc.value)
  }

  private async writeTombstone (job: JobReference, prior?: Versioned<IndexEntry>): Promise<Result<void, StoreError>> {
    const value: IndexEntry = { ...toEntry(job), cancelled: true }
    const key = this.keys.indexEntry(job.address, job.id)
    // An earlier version stores jobs without an entry.
    const noJob: Guard = { key: this.keys.job(job.service, job.id), modRevision: 0 }
    const written = await this.tombstoneLease.use(async leaseId => await this.store.update([{ key, prior, value, leaseId }], { guards: [noJob], forCaller: true }))
    return written.ok ? ok(undefined) : written
  }
}

/**
 * @param entry - a tombstone
 * @param job - a job with its id
 * @returns whether the tombstone cancels the job; where one of the two has no account, anybody may have submitted or cancelled it
 */
export function mayBeOfAccount (entry: IndexEntry, { account }: Pick<Job, 'account'>): boolean {
  return entry.account === undefined || account === undefined || entry.account === account
}

function toEntry ({ service, account }: Pick<Job, 'service' | 'account'>): IndexEntry {
  return { service, ...(account === undefined ? {} : { account }) }
}
