import { delay, Wakeup } from '@wisteriaslip/core.result'
import { toProgress, type PendingEnd, type JobProgress, type Scheduler, type TrackedJob } from '@wisteriaslip/jobs.scheduler'
import { toVersioned, type Versioned } from '@wisteriaslip/store.client'
import type { ServiceTermOpts } from './ports.ts'

/** What happens within this time goes into one write. */
const GATHER_MS = 15
const MAX_CHANGES = 12
const RETRY_MS = 150

interface Dirty {
  readonly tracked: TrackedJob
  readonly ends: PendingEnd[]
}

/** Writes the records of what happened to jobs, many in one write, guarded by the term's token. */
export class ProgressWriter {
  private readonly scheduler: Scheduler
  private readonly opts: ServiceTermOpts
  private readonly events: { onRecorded (): void, onFenced (): void }
  private readonly priors = new Map<string, Versioned<JobProgress>>()
  private readonly news = new Wakeup()

  constructor (scheduler: Scheduler, opts: ServiceTermOpts, events: { onRecorded (): void, onFenced (): void }) {
    this.scheduler = scheduler
    this.opts = opts
    this.events = events
  }

  /**
   * @param id - of a job
   * @param prior - its record as read
   */
  setPrior (id: string, prior: Versioned<JobProgress>): void {
    this.priors.set(id, prior)
  }

  /**
   * @param id - of a job
   * @returns its record as last written
   */
  prior (id: string): Versioned<JobProgress> | undefined {
    return this.priors.get(id)
  }

  /** @param id - of a job whose records are removed */
  drop (id: string): void {
    this.priors.delete(id)
  }

  /** Tells that there may be something to write. */
  wake (): void {
    this.news.wake()
  }

  /** Runs until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (await this.news.sleep(1_000, signal)) {
      await delay(GATHER_MS, signal)
      if (!await this.flush()) await delay(RETRY_MS, signal)
    }
  }

  /**
   * Writes all that is due.
   * @returns whether all of it is durable
   */
  async flush (): Promise<boolean> {
    const dirty = this.scheduler.table.takeDirty()
    const groups: Dirty[][] = []
    for (let at = 0; at < dirty.length; at += MAX_CHANGES) groups.push(dirty.slice(at, at + MAX_CHANGES))
    const written = await Promise.all(groups.map(async group => await this.write(group)))
    return written.every(Boolean)
  }

  private async write (group: readonly Dirty[]): Promise<boolean> {
    const records = group.map(({ tracked, ends }) => ({ tracked, ends, progress: toProgress(tracked), key: this.opts.records.keys.progress(this.opts.service, tracked.job.id) }))
    const changes = records.map(({ tracked, progress, key }) => ({ key, prior: this.priors.get(tracked.job.id), value: progress }))
    const written = await this.opts.store.update(changes, { guards: [this.opts.guard] })
    if (!written.ok) {
      for (const { tracked, ends } of group) this.scheduler.table.markWriteFailed(tracked, ends)
      this.opts.logger.info({ jobs: group.length, code: written.error.code }, 'records not written')
      if (written.error.kind === 'conflict') await this.afterConflict(group)
      this.news.wake()
      return false
    }
    for (const { tracked, ends, progress, key } of records) {
      this.priors.set(tracked.job.id, toVersioned({ key, prior: this.priors.get(tracked.job.id), value: progress }, written.value))
      this.scheduler.table.markDurable(tracked, progress.outcome, ends)
      if (progress.outcome !== undefined) this.noteEnded(tracked)
    }
    this.events.onRecorded()
    return true
  }

  private noteEnded (tracked: TrackedJob): void {
    const { job, outcome } = tracked
    const tookMs = Math.max(0, this.opts.wallClock() - job.acceptedAt)
    this.opts.metrics.count('jobs_ended_total', { queue: job.queue, outcome: outcome ?? '' })
    if (job.schedule === undefined) this.opts.metrics.observe('job_time_us', { queue: job.queue }, tookMs)
    this.opts.logger.info({ job: job.id, queue: job.queue, outcome, tookMs, waitedMs: tracked.waitedMs, token: this.opts.token }, 'job ended')
  }

  /** Either the term is over, or an earlier write of ours took effect late: then the records are read anew. */
  private async afterConflict (group: readonly Dirty[]): Promise<void> {
    const leader = await this.opts.store.get(this.opts.guard.key)
    if (!leader.ok) return
    if (leader.value?.createRevision !== this.opts.token) {
      this.events.onFenced()
      return
    }
    for (const { tracked } of group) {
      const { id } = tracked.job
      const now = await this.opts.store.get(this.opts.records.keys.progress(this.opts.service, id))
      if (!now.ok) return
      if (now.value === undefined) this.priors.delete(id)
      else this.priors.set(id, now.value as Versioned<JobProgress>)
    }
  }
}
