import type { Clock } from '@wisteriaslip/core.result'
import type { EndedRun, Job, JobState, Resources } from '@wisteriaslip/jobs.model'
import type { QueueLookup } from './step-priority.ts'
import type { JobProgress } from './progress.ts'
import type { Run } from './run.ts'
import { TrackedJob, type Task, type TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** A task whose run failed is not started again within this time. */
const FAILED_RETRY_DELAY_MS = 100

/** An end that waits for its job's record. */
export interface PendingEnd {
  readonly worker: TrackedWorker
  readonly seq: number
}

/** Options of {@link JobTable}. */
export interface JobTableOpts {
  readonly clock: Clock
  /** @returns Unix milliseconds */
  readonly wallClock: () => number
  readonly queue: QueueLookup
  /** Told of runs that are not needed any more. */
  readonly onRunNotNeeded: (run: Run, reason: string) => void
}

/** The jobs of a service: which steps could start, what has ended, and what is not durable yet. */
export class JobTable {
  readonly jobs = new Map<string, TrackedJob>()
  /** Steps with tasks left, whose earlier steps are done. */
  readonly ready = new Set<TrackedStep>()
  private readonly opts: JobTableOpts
  private readonly scheduledJobs = new Set<TrackedJob>()
  private readonly dirtyJobs = new Map<TrackedJob, PendingEnd[]>()
  private readonly notStored = new Set<string>()
  /** Cancelled jobs that this leader has not heard of yet. */
  private readonly cancelledBeforeAdded = new Set<string>()

  constructor (opts: JobTableOpts) {
    this.opts = opts
  }

  /**
   * Takes a job in. One that is known already is left as it is.
   * @param job - as accepted
   * @param opts - whether no earlier leader can have started it; what the store holds about it
   */
  addJob (job: Job, opts: { acceptedThisTerm: boolean, progress?: JobProgress | undefined }): void {
    if (this.jobs.has(job.id)) return
    const tracked = new TrackedJob(job, { ...opts, firstSeenAt: this.opts.clock.now() })
    this.jobs.set(job.id, tracked)
    this.notStored.delete(job.id)
    if (this.cancelledBeforeAdded.delete(job.id)) this.cancel(job.id)
    if (tracked.isFinished()) return
    if (job.schedule === undefined) this.openOccurrence(tracked, 0)
    else this.scheduledJobs.add(tracked)
  }

  /**
   * Marks a job that the store does not hold.
   * @param id - of the job
   */
  markNotStored (id: string): void {
    this.notStored.add(id)
  }

  /**
   * Cancels a job whose cancellation is durable.
   * @param id - of the job
   */
  cancel (id: string): void {
    const tracked = this.jobs.get(id)
    if (tracked === undefined) this.cancelledBeforeAdded.add(id)
    if (tracked === undefined || tracked.outcome !== undefined) return
    this.finishJob(tracked, 'cancelled')
    tracked.durableOutcome = 'cancelled'
  }

  /**
   * @param id - of a job
   * @returns its state as callers may see it, undefined when it is not known
   */
  stateOf (id: string): JobState | undefined {
    const tracked = this.jobs.get(id)
    if (tracked === undefined) return undefined
    return tracked.durableOutcome ?? (tracked.begun ? 'running' : 'queued')
  }

  /**
   * @param queue - name of a queue
   * @returns accepted jobs of which nothing has started
   */
  pending (queue: string): number {
    let count = 0
    for (const tracked of this.jobs.values()) {
      if (tracked.job.queue === queue && !tracked.begun && !tracked.isFinished()) count += 1
    }
    return count
  }

  /**
   * @param id - of a job
   * @returns whether it is not known, and may be in the store
   */
  needsLookup (id: string): boolean {
    return !this.jobs.has(id) && !this.notStored.has(id)
  }

  /**
   * Takes in the end of a run.
   * @param task - of the run
   * @param end - as its worker listed it
   * @param pending - what waits for the record
   */
  applyEndedRun (task: Task, end: EndedRun, pending: PendingEnd): void {
    const { job, spec } = task.step
    task.lastAttempt = Math.max(task.lastAttempt, end.attempt)
    if (end.checkpoint !== '' && !task.done) task.checkpoint = end.checkpoint
    this.markDirty(job, [pending])
    if (end.how === 'done' && !spec.lasting) this.markTaskDone(task)
    if (end.how === 'failed') this.recordFailedAttempt(task, end.attempt)
  }

  /** @returns what the tasks that could start but do not run want */
  waiting (): Resources {
    let cpu = 0
    let memMb = 0
    let accelerators = 0
    for (const { spec, tasks } of this.ready) {
      const waiting = tasks.filter(task => !task.done && task.runs.length === 0).length
      if (!spec.backfill) cpu += waiting * spec.demand.cpu
      memMb += waiting * spec.demand.memMb
      accelerators += waiting * spec.demand.accelerators
    }
    return { cpu, memMb, accelerators }
  }

  /** @returns workers that it takes at least to keep tasks of one step apart as asked */
  leastWorkers (): number {
    let least = 0
    for (const { spec, left } of this.ready) {
      if (spec.perWorker > 0) least = Math.max(least, Math.ceil(left / spec.perWorker))
    }
    return least
  }

  /** Opens the occurrences of scheduled jobs that are due. */
  openDueOccurrences (): void {
    for (const tracked of this.scheduledJobs) this.openDueOccurrencesOf(tracked)
  }

  /**
   * @param maxMs - upper limit
   * @returns milliseconds until the next occurrence is due
   */
  nextDueInMs (maxMs: number): number {
    const now = this.opts.wallClock()
    let due = maxMs
    for (const tracked of this.scheduledJobs) due = Math.min(due, tracked.dueAt(nextOccurrenceNumber(tracked)) - now)
    return Math.max(1, due)
  }

  /**
   * Hands over the jobs whose records must be written, with the ends that wait for them.
   * @returns the jobs and their ends
   */
  takeDirty (): Array<{ tracked: TrackedJob, ends: PendingEnd[] }> {
    const all = [...this.dirtyJobs].map(([tracked, ends]) => ({ tracked, ends }))
    this.dirtyJobs.clear()
    return all
  }

  /**
   * Tells that a record is durable.
   * @param tracked - the job
   * @param outcome - the final state that was written, if any
   * @param ends - that the record covers
   */
  markDurable (tracked: TrackedJob, outcome: JobState | undefined, ends: readonly PendingEnd[]): void {
    tracked.durableOutcome ??= outcome
    for (const end of ends) end.worker.pendingEnds.delete(end.seq)
  }

  /**
   * Tells that a record could not be written; it is due again.
   * @param tracked - the job
   * @param ends - that wait for it
   */
  markWriteFailed (tracked: TrackedJob, ends: readonly PendingEnd[]): void {
    this.markDirty(tracked, ends)
  }

  /** @param id - of a job whose records have been removed */
  removeJob (id: string): void {
    this.jobs.delete(id)
  }

  private recordFailedAttempt (task: Task, attempt: number): void {
    const { job, spec } = task.step
    task.retryAt = this.opts.clock.now() + FAILED_RETRY_DELAY_MS
    if (spec.lasting || task.failedAttempts.includes(attempt)) return
    task.failedAttempts.push(attempt)
    const attempts = this.opts.queue(job.job.queue)?.attempts ?? 1
    if (task.failedAttempts.length >= attempts && !task.done && !job.isFinished()) this.finishJob(job, 'failed')
  }

  private markTaskDone (task: Task): void {
    if (task.done) return
    const members = task.step.spec.gang ? task.step.tasks : [task]
    for (const member of members) {
      member.done = true
      task.step.left -= 1
      for (const run of member.runs) this.opts.onRunNotNeeded(run, 'done elsewhere')
    }
    if (task.step.left > 0) return
    this.ready.delete(task.step)
    this.completeStep(task.step)
  }

  private completeStep (step: TrackedStep): void {
    const { occurrence, job } = step
    occurrence.stepsLeft -= 1
    if (occurrence.stepsLeft > 0) {
      this.addReadySteps(occurrence.steps)
      return
    }
    job.occurrences.delete(occurrence.number)
    job.endedOccurrences.add(occurrence.number)
    if (job.endedOccurrences.size >= job.times() && !job.isFinished()) this.finishJob(job, 'completed')
  }

  private finishJob (tracked: TrackedJob, outcome: JobState): void {
    tracked.outcome = outcome
    tracked.endedAt = this.opts.wallClock()
    this.scheduledJobs.delete(tracked)
    for (const occurrence of tracked.occurrences.values()) {
      for (const step of occurrence.steps) {
        this.ready.delete(step)
        for (const task of step.tasks) {
          for (const run of task.runs) this.opts.onRunNotNeeded(run, outcome)
        }
      }
    }
    this.markDirty(tracked, [])
  }

  private openDueOccurrencesOf (tracked: TrackedJob): void {
    const now = this.opts.wallClock()
    for (let number = nextOccurrenceNumber(tracked); number < tracked.times() && tracked.dueAt(number) <= now; number = nextOccurrenceNumber(tracked)) {
      this.openOccurrence(tracked, number)
    }
    if (nextOccurrenceNumber(tracked) >= tracked.times()) this.scheduledJobs.delete(tracked)
  }

  private openOccurrence (tracked: TrackedJob, number: number): void {
    const occurrence = tracked.openOccurrence(number)
    if (occurrence === undefined) return
    if (occurrence.stepsLeft === 0) {
      occurrence.stepsLeft = 1
      const last = occurrence.steps.at(-1)
      if (last !== undefined) this.completeStep(last)
      return
    }
    this.addReadySteps(occurrence.steps)
  }

  private addReadySteps (steps: readonly TrackedStep[]): void {
    for (const step of steps) {
      const open = step.left > 0 && step.spec.after.every(number => steps[number]?.left === 0)
      if (open && !step.job.isFinished()) this.ready.add(step)
    }
  }

  private markDirty (tracked: TrackedJob, ends: readonly PendingEnd[]): void {
    const waiting = this.dirtyJobs.get(tracked) ?? []
    waiting.push(...ends)
    this.dirtyJobs.set(tracked, waiting)
  }
}

function nextOccurrenceNumber (tracked: TrackedJob): number {
  let number = 0
  while (tracked.endedOccurrences.has(number) || tracked.occurrences.has(number)) number += 1
  return number
}
