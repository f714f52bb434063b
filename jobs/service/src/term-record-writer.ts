import { delay, Wakeup, type Result } from '@wisteriaslip/core.result'
import { incarnationKey, WORKER_LEASE_MS, type WorkerRegistration } from '@wisteriaslip/jobs.model'
import type { Scheduler, TrackedWorker } from '@wisteriaslip/jobs.scheduler'
import type { TermRecord } from '@wisteriaslip/jobs.store'
import type { StoreError, Versioned } from '@wisteriaslip/store.client'
import type { ServiceTermOpts } from './ports.ts'

/**
 * Interval at which workers that are gone (ended without starts that may still be carried out, or no longer tracked) are removed
 * from the record, and for how long silent ones may still execute runs is written. A new worker is written immediately, and so is one
 * that responds again.
 */
const UPDATE_INTERVAL_MS = 1_000
/** A worker that has not responded in the term is silent once polls have failed for this long. */
const MIN_SILENCE_MS = 900
const WRITE_RETRY_MS = 100

/**
 * Writes the durable record of a term: its number and the workers that may have received work. The next leader waits
 * for every worker in the record, so workers that are gone are removed from it.
 */
export class TermRecordWriter {
  private readonly opts: ServiceTermOpts
  private readonly wakeup = new Wakeup()
  private record: Versioned<TermRecord> | undefined
  /** Workers that the durable record certainly contains. */
  private readonly recordedWorkers = new Set<string>()
  /** Workers that the durable record certainly doesn't list as ones without a lease. */
  private readonly leasable = new Set<string>()
  /** First of the writes that have failed since the last successful one. */
  private failure: { readonly since: number, readonly code: string } | undefined

  constructor (opts: ServiceTermOpts) {
    this.opts = opts
  }

  /**
   * Writes the record of a new term. After a successful write, later calls return the record without writing again.
   * @returns the record, or the store's error
   */
  async startTerm (): Promise<Result<TermRecord, StoreError>> {
    const { records, service, guard } = this.opts
    if (this.record !== undefined) return { ok: true, value: this.record.value }
    const written = await records.startTerm(service, before => this.nextRecord(before), guard)
    if (!written.ok) return written
    this.setRecord(written.value)
    return { ok: true, value: written.value.value }
  }

  /**
   * @param worker - registration of the worker
   * @returns whether the durable record contains this incarnation of the worker
   */
  contains (worker: WorkerRegistration): boolean {
    return this.recordedWorkers.has(incarnationKey(worker))
  }

  /**
   * @param worker - registration of the worker
   * @returns whether the durable record lets the next leader expect that this incarnation of the worker holds a lease
   */
  allowsLeases (worker: WorkerRegistration): boolean {
    return this.leasable.has(incarnationKey(worker))
  }

  /** Requests an immediate update, for a worker that is missing from the record, or that it lists as one without a lease. */
  wake (): void {
    this.wakeup.wake()
  }

  /**
   * Keeps the record up to date until the signal aborts.
   * @param scheduler - source of the current workers
   * @param onWritten - called after each write of the record
   * @param signal - ends the loop
   */
  async run (scheduler: Scheduler, onWritten: () => void, signal: AbortSignal): Promise<void> {
    while (await this.wakeup.sleep(UPDATE_INTERVAL_MS, signal)) {
      const before = this.record
      if (!await this.writeIfChanged(scheduler)) await delay(WRITE_RETRY_MS, signal)
      else if (this.record !== before) onWritten()
    }
  }

  /**
   * Writes the current workers if they differ from the record. Those that are written as ones without a lease may get none from then on.
   * @param scheduler - source of the current workers
   * @returns whether the record is up to date
   */
  async writeIfChanged (scheduler: Scheduler): Promise<boolean> {
    if (this.record === undefined) return false
    if (this.isCurrent(scheduler)) return true
    const workers = liveWorkers(scheduler)
    const unknownRunsMs = this.unknownRunsMs(scheduler)
    this.forgetAllBut(workers)
    this.forbidLeases(unknownRunsMs, scheduler)
    const written = await this.opts.records.writeTerm(this.opts.service, this.record, { ...this.record.value, workers, unknownRunsMs }, this.opts.guard)
    this.recordOutcome(written.ok ? undefined : written.error, workers)
    if (written.ok) this.setRecord(written.value)
    else if (written.error.kind === 'conflict') await this.readRecord(this.record.value.number)
    return written.ok
  }

  /** Reads the record again after a conflict: an earlier write without a response may have taken effect. */
  private async readRecord (term: number): Promise<void> {
    const stored = await this.opts.records.term(this.opts.service)
    if (stored.ok && stored.value?.value.number === term) this.setRecord(stored.value)
  }

  /** Without a response, a write may have removed all other workers from the durable record, now or later. */
  private forgetAllBut (workers: readonly WorkerRegistration[]): void {
    const kept = new Set(workers.map(incarnationKey))
    for (const key of this.recordedWorkers) {
      if (!kept.has(key)) this.recordedWorkers.delete(key)
    }
  }

  /** Without a response, a write may tell the next leader, now or later, that these workers hold no lease. */
  private forbidLeases (unknownRunsMs: Readonly<Record<string, number>>, scheduler: Scheduler): void {
    for (const incarnation of Object.keys(unknownRunsMs)) this.leasable.delete(incarnation)
    for (const worker of scheduler.workers.values()) if (worker.incarnation() in unknownRunsMs) worker.mayGetLeases = false
  }

  private setRecord (record: Versioned<TermRecord>): void {
    this.record = record
    this.recordedWorkers.clear()
    this.leasable.clear()
    for (const worker of record.value.workers) {
      const incarnation = incarnationKey(worker)
      this.recordedWorkers.add(incarnation)
      if (record.value.unknownRunsMs?.[incarnation] === undefined) this.leasable.add(incarnation)
    }
  }

  /** Returns the workers without a lease. One that has not been asked yet would have to be written again at once. */
  private unknownRunsMs (scheduler: Scheduler): Record<string, number> {
    const leasesKnownAt = scheduler.leasesKnownAt()
    const found: Record<string, number> = {}
    for (const worker of scheduler.workers.values()) {
      const ms = worker.unknownRunsMs(leasesKnownAt)
      const isListed = this.contains(worker.registration) && !this.allowsLeases(worker.registration)
      if (ms !== undefined && Number.isFinite(ms) && (isListed || this.isSilent(worker))) found[worker.incarnation()] = ms
    }
    return found
  }

  /** Returns whether the worker has responded in this term, and does not now, or has been asked in vain for a while. */
  private isSilent ({ lastResponseAt, polledSince }: TrackedWorker): boolean {
    return lastResponseAt !== undefined || (polledSince !== undefined && this.opts.clock.now() - polledSince >= MIN_SILENCE_MS)
  }

  /** Logs when writes begin to fail, when they fail for another reason, and when they succeed again. */
  private recordOutcome (error: StoreError | undefined, workers: readonly WorkerRegistration[]): void {
    const { service, token, clock, logger, metrics } = this.opts
    const now = clock.now()
    if (error !== undefined) metrics.count('term_record_failures_total', { service, code: error.code })
    if (error?.code === this.failure?.code) return
    const failedForMs = this.failure === undefined ? 0 : Math.round(now - this.failure.since)
    const fields = { service, token, failedForMs }
    if (error === undefined) logger.info({ ...fields, workers: workers.length }, 'term record written again')
    else logger.warn({ ...fields, code: error.code, waitingWorkers: workers.filter(worker => !this.contains(worker)).map(worker => worker.id) }, 'failed to write term record: workers that it does not name get no tasks')
    this.failure = error === undefined ? undefined : { since: this.failure?.since ?? now, code: error.code }
  }

  private nextRecord (before: TermRecord | undefined): TermRecord {
    const maxEarlierLeaseMs = before === undefined ? 0 : before.leaseMs ?? this.opts.limits.longestLeaseMs
    return { number: (before?.number ?? -1) + 1, leaseMs: Math.max(maxEarlierLeaseMs, WORKER_LEASE_MS), workers: before?.workers ?? [], unknownRunsMs: before?.unknownRunsMs ?? {} }
  }

  private isCurrent (scheduler: Scheduler): boolean {
    if (this.failure !== undefined) return false
    const workers = liveWorkers(scheduler)
    return workers.length === this.recordedWorkers.size && workers.every(worker => this.contains(worker)) && this.areWaitsCurrent(scheduler)
  }

  private areWaitsCurrent (scheduler: Scheduler): boolean {
    const recorded = this.record?.value.unknownRunsMs ?? {}
    const current = this.unknownRunsMs(scheduler)
    return Object.keys(recorded).length === Object.keys(current).length && Object.entries(current).every(([incarnation, ms]) => recorded[incarnation] === ms)
  }
}

/** Returns the workers that the next leader must ask. The next incarnation of one that has ended may still carry out its starts. */
function liveWorkers (scheduler: Scheduler): WorkerRegistration[] {
  return [...scheduler.workers.values()].filter(worker => !worker.ended || worker.runs.size > 0).map(worker => worker.registration)
}
