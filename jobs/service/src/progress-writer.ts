import { delay, Wakeup } from '@wisteriaslip/core.result'
import { toProgress, type JobProgress, type PendingCompletion, type Scheduler, type TrackedJob } from '@wisteriaslip/jobs.scheduler'
import { toVersioned, type Versioned } from '@wisteriaslip/store.client'
import type { ServiceTermOpts } from './ports.ts'

/** Changes to jobs within this time are written together. */
const BATCH_WINDOW_MS = 15
const MAX_BATCH_CHANGES = 12
const WRITE_RETRY_MS = 150
/** A rejected record may be accepted once the job has changed, but each attempt sends a large record. */
const REJECTED_RETRY_MS = 2_000

interface DirtyJob {
  readonly tracked: TrackedJob
  readonly completions: PendingCompletion[]
}

/** Writes the progress records of jobs in batches. Every write is guarded by the term's fencing token. */
export class ProgressWriter {
  private readonly scheduler: Scheduler
  private readonly opts: ServiceTermOpts
  private readonly events: { onRecorded (): void, onNewerLeader (): void }
  private readonly priors = new Map<string, Versioned<JobProgress>>()
  private readonly wakeup = new Wakeup()
  /**
   * Jobs whose records the store has rejected, and until when they are not written again, by the injected clock. Their
   * records leave checkpoints out: their tasks would begin anew after a takeover, which is allowed.
   */
  private readonly rejectedUntil = new Map<TrackedJob, number>()

  constructor (scheduler: Scheduler, opts: ServiceTermOpts, events: { onRecorded (): void, onNewerLeader (): void }) {
    this.scheduler = scheduler
    this.opts = opts
    this.events = events
  }

  /**
   * Sets the version of a record that the next write is based on.
   * @param id - id of the job
   * @param prior - progress record as read from the store
   */
  setPrior (id: string, prior: Versioned<JobProgress>): void {
    this.priors.set(id, prior)
  }

  /** @param id - id of a job whose records were deleted */
  removeJob (id: string): void {
    this.priors.delete(id)
    for (const tracked of this.rejectedUntil.keys()) if (tracked.job.id === id) this.rejectedUntil.delete(tracked)
  }

  /** Signals that there may be changes to write. */
  wake (): void {
    this.wakeup.wake()
  }

  /**
   * Writes changes until the signal aborts.
   * @param signal - ends the loop
   */
  async run (signal: AbortSignal): Promise<void> {
    while (await this.wakeup.sleep(1_000, signal)) {
      await delay(BATCH_WINDOW_MS, signal)
      if (!await this.flush()) await delay(WRITE_RETRY_MS, signal)
    }
  }

  /**
   * Writes all pending changes.
   * @returns whether all of them are durable
   */
  async flush (): Promise<boolean> {
    const dirty = this.takeWritable()
    const batches: DirtyJob[][] = []
    for (let at = 0; at < dirty.length; at += MAX_BATCH_CHANGES) batches.push(dirty.slice(at, at + MAX_BATCH_CHANGES))
    const written = await Promise.all(batches.map(async batch => await this.write(batch)))
    return written.every(Boolean)
  }

  private takeWritable (): DirtyJob[] {
    if (this.rejectedUntil.size === 0) return this.scheduler.table.takeDirty()
    const now = this.opts.clock.now()
    const [writable, resting]: [DirtyJob[], DirtyJob[]] = [[], []]
    for (const dirty of this.scheduler.table.takeDirty()) {
      if ((this.rejectedUntil.get(dirty.tracked) ?? 0) > now) resting.push(dirty)
      else writable.push(dirty)
    }
    for (const { tracked, completions } of resting) this.scheduler.table.markWriteFailed(tracked, completions)
    return writable
  }

  private rest ({ tracked }: DirtyJob): void {
    const isFirst = !this.rejectedUntil.has(tracked)
    tracked.isRecordRejected = !isFirst
    const { id, queue } = tracked.job
    if (isFirst) this.opts.logger.warn({ job: id, queue }, 'the store rejects the progress record of a job: it is written without checkpoints')
    else this.opts.logger.error({ job: id, queue }, 'the store rejects the progress record of a job: its completions are not acknowledged')
    this.opts.metrics.count('progress_rejected_total', { service: this.opts.service })
    this.rejectedUntil.set(tracked, isFirst ? 0 : this.opts.clock.now() + REJECTED_RETRY_MS)
  }

  /** Writes the jobs of a rejected batch one by one, so that a record that the store rejects does not hold up the others. */
  private async writeSingly (batch: readonly DirtyJob[]): Promise<boolean> {
    const written = await Promise.all(batch.map(async dirty => await this.write([dirty])))
    return written.every(Boolean)
  }

  private async write (batch: readonly DirtyJob[]): Promise<boolean> {
    const records = batch.map(({ tracked, completions }) => ({ tracked, completions, progress: toProgress(tracked, { checkpoints: !this.rejectedUntil.has(tracked) }), crashVersion: tracked.crashVersion, key: this.opts.records.keys.progress(this.opts.service, tracked.job.id) }))
    const changes = records.map(({ tracked, progress, key }) => ({ key, prior: this.priors.get(tracked.job.id), value: progress }))
    const written = await this.opts.store.update(changes, { guards: [this.opts.guard] })
    if (!written.ok && written.error.kind === 'rejected' && batch.length > 1) return await this.writeSingly(batch)
    if (!written.ok) {
      for (const { tracked, completions } of batch) this.scheduler.table.markWriteFailed(tracked, completions)
      this.opts.logger.info({ jobs: batch.length, code: written.error.code }, 'failed to write progress records')
      if (written.error.kind === 'conflict') await this.handleConflict(batch)
      if (written.error.kind === 'rejected') for (const dirty of batch) this.rest(dirty)
      this.wakeup.wake()
      return false
    }
    for (const { tracked, completions, progress, crashVersion, key } of records) {
      this.priors.set(tracked.job.id, toVersioned({ key, prior: this.priors.get(tracked.job.id), value: progress }, written.value))
      tracked.isRecordRejected = false
      const endsJob = progress.outcome !== undefined && tracked.durableOutcome === undefined
      this.scheduler.table.markDurable(tracked, progress.outcome, completions, crashVersion)
      if (endsJob) this.recordJobEnd(tracked)
    }
    this.events.onRecorded()
    return true
  }

  private recordJobEnd (tracked: TrackedJob): void {
    const { job, outcome, failure } = tracked
    const tookMs = Math.max(0, this.opts.wallClock() - job.acceptedAt)
    this.opts.metrics.count('jobs_ended_total', { queue: job.queue, outcome: outcome ?? '' })
    if (job.schedule === undefined) this.opts.metrics.observe('job_time_us', { queue: job.queue }, tookMs)
    this.opts.logger.info({ job: job.id, queue: job.queue, outcome, failure, tookMs, waitedMs: tracked.waitedMs, token: this.opts.token }, 'job ended')
  }

  /**
   * Reports a newer leader if the guard no longer holds. Otherwise an earlier write without a response was applied
   * after all, and the records are read again.
   */
  private async handleConflict (batch: readonly DirtyJob[]): Promise<void> {
    const leader = await this.opts.store.get(this.opts.guard.key)
    if (!leader.ok) return
    if (leader.value?.createRevision !== this.opts.token) {
      this.events.onNewerLeader()
      return
    }
    for (const { tracked } of batch) {
      const { id } = tracked.job
      const current = await this.opts.store.get(this.opts.records.keys.progress(this.opts.service, id))
      if (!current.ok) return
      if (current.value === undefined) this.priors.delete(id)
      else this.priors.set(id, current.value as Versioned<JobProgress>)
    }
  }
}
