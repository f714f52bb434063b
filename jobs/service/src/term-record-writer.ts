import { delay, Wakeup, type Result } from '@wisteriaslip/core.result'
import type { WorkerRegistration } from '@wisteriaslip/jobs.model'
import type { Scheduler } from '@wisteriaslip/jobs.scheduler'
import type { TermRecord } from '@wisteriaslip/jobs.store'
import type { StoreError, Versioned } from '@wisteriaslip/store.client'
import type { ServiceTermOpts } from './ports.ts'
import { LEASE_MS } from './worker-session.ts'

/** A record that names workers which are gone is mended within this time; a new worker is named at once. */
const PRUNE_MS = 1_000
const RETRY_MS = 100

/**
 * The durable record of a term: its number, and the workers to which it may have given work. A later leader waits for
 * each of them, so those that are gone are taken out.
 */
export class WorkerRecord {
  private readonly opts: ServiceTermOpts
  private readonly news = new Wakeup()
  private record: Versioned<TermRecord> | undefined
  private readonly named = new Set<string>()

  constructor (opts: ServiceTermOpts) {
    this.opts = opts
  }

  /**
   * Writes the record of a new term, unless that is done.
   * @returns the record
   */
  async begin (): Promise<Result<TermRecord, StoreError>> {
    const { records, service, guard } = this.opts
    if (this.record !== undefined) return { ok: true, value: this.record.value }
    const begun = await records.beginTerm(service, before => this.next(before), guard)
    if (!begun.ok) return begun
    this.record = begun.value
    for (const worker of begun.value.value.workers) this.named.add(lifeOf(worker))
    return { ok: true, value: begun.value.value }
  }

  /**
   * @param worker - as registered
   * @returns whether the durable record names this life of it
   */
  names (worker: WorkerRegistration): boolean {
    return this.named.has(lifeOf(worker))
  }

  /** Tells that there is a worker that the record does not name yet. */
  wake (): void {
    this.news.wake()
  }

  /**
   * Keeps the record up to date until the signal aborts.
   * @param scheduler - that knows the workers
   * @param onWritten - told each time that the record was written
   */
  async run (scheduler: Scheduler, onWritten: () => void, signal: AbortSignal): Promise<void> {
    while (await this.news.sleep(PRUNE_MS, signal)) {
      const before = this.record
      if (!await this.write(scheduler)) await delay(RETRY_MS, signal)
      else if (this.record !== before) onWritten()
    }
  }

  /**
   * Writes the workers that there are now, unless the record names just these.
   * @param scheduler - that knows the workers
   * @returns whether the record is up to date
   */
  async write (scheduler: Scheduler): Promise<boolean> {
    if (this.record === undefined) return false
    if (this.fits(scheduler)) return true
    const workers = living(scheduler)
    const written = await this.opts.records.writeTerm(this.opts.service, this.record, { ...this.record.value, workers }, this.opts.guard)
    if (!written.ok) return false
    this.record = written.value
    this.named.clear()
    for (const worker of workers) this.named.add(lifeOf(worker))
    return true
  }

  private next (before: TermRecord | undefined): TermRecord {
    const earlierMs = before === undefined ? 0 : before.leaseMs ?? this.opts.limits.longestLeaseMs
    return { number: (before?.number ?? -1) + 1, leaseMs: Math.max(earlierMs, LEASE_MS), workers: before?.workers ?? [] }
  }

  private fits (scheduler: Scheduler): boolean {
    const workers = living(scheduler)
    return workers.length === this.named.size && workers.every(worker => this.names(worker))
  }
}

function living (scheduler: Scheduler): WorkerRegistration[] {
  return [...scheduler.workers.values()].filter(worker => !worker.ended).map(worker => worker.registration)
}

function lifeOf (worker: WorkerRegistration): string {
  return `${worker.id}/${worker.born}`
}
