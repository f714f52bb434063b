import type { Clock } from '@wisteriaslip/core.result'
import type { EndedRun, Job, JobState, Resources } from '@wisteriaslip/jobs.model'
import { AccountShares, type AccountSharesOpts } from './account-shares.ts'
import type { QueueLookup } from './step-priority.ts'
import type { JobFailure, JobProgress } from './progress.ts'
import type { Run } from './run.ts'
import type { StartLimiter } from './start-limiter.ts'
import { markDone, TrackedJob, type Task, type TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

export const FAILED_TASK_RETRY_DELAY_MS = 100
/** Occurrences of a job that are open at once: a leader must bear a job of which very many are due. */
const MAX_OPEN_OCCURRENCES = 100

/** A completion that waits until its job's record is durable. */
export interface PendingCompletion {
  readonly worker: TrackedWorker
  readonly seq: number
}

/** Options of {@link JobTable}. */
export interface JobTableOpts extends AccountSharesOpts {
  readonly clock: Clock
  readonly queue: QueueLookup
  /** Called for runs that are no longer needed. */
  readonly onRunNotNeeded: (run: Run, reason: string) => void
  readonly limiter?: Pick<StartLimiter, 'noteJob'> | undefined
}

/** The jobs of a service: their ready steps, their completions, and records that are not durable yet. */
export class JobTable {
  readonly jobs = new Map<string, TrackedJob>()
  /** Steps with tasks left whose preceding steps are done. */
  readonly ready = new Set<TrackedStep>()
  /** Use of the client accounts; undefined where there are none. */
  readonly shares: AccountShares | undefined
  private readonly opts: JobTableOpts
  private readonly scheduledJobs = new Set<TrackedJob>()
  private readonly dirtyJobs = new Map<TrackedJob, PendingCompletion[]>()
  private readonly notStored = new Set<string>()
  /** Ids of cancelled jobs that were not tracked at the time. */
  private readonly cancelledBeforeAdded = new Set<string>()

  constructor (opts: JobTableOpts) {
    this.opts = opts
    this.shares = opts.account === undefined ? undefined : new AccountShares({ ...opts, account: opts.account })
  }

  /**
   * Adds a job. Does nothing if the job is tracked already.
   * @param job - the accepted job
   * @param opts - `acceptedThisTerm`: no earlier leader can have started the job; `progress`: its stored progress
   */
  addJob (job: Job, opts: { acceptedThisTerm: boolean, progress?: JobProgress | undefined }): void {
    if (this.jobs.has(job.id)) return
    const tracked = new TrackedJob(job, { ...opts, firstSeenAt: this.opts.clock.now() })
    this.shares?.addJob(tracked)
    this.opts.limiter?.noteJob(job)
    this.jobs.set(job.id, tracked)
    this.notStored.delete(job.id)
    if (this.cancelledBeforeAdded.delete(job.id)) this.cancel(job.id)
    if (tracked.isFinished()) return
    if (job.schedule === undefined) this.openOccurrence(tracked, 0)
    else this.scheduledJobs.add(tracked)
  }

  /**
   * @param step - a step of a tracked job
   * @returns how long ago the job was accepted, or the occurrence became due, if that was later, in milliseconds by the time of day
   */
  acceptedMsAgo ({ job, occurrence }: TrackedStep): number {
    return Math.max(0, Math.round(this.opts.wallClock() - Math.max(job.job.acceptedAt, job.dueAt(occurrence.number))))
  }

  /**
   * Marks a job as not stored, so that it is not looked up again.
   * @param id - id of the job
   */
  markNotStored (id: string): void {
    this.notStored.add(id)
  }

  /**
   * Cancels a job whose cancellation is durable.
   * @param id - id of the job
   */
  cancel (id: string): void {
    const tracked = this.jobs.get(id)
    if (tracked === undefined) this.cancelledBeforeAdded.add(id)
    if (tracked === undefined || tracked.outcome !== undefined) return
    this.finishJob(tracked, 'cancelled')
    tracked.durableOutcome = 'cancelled'
  }

  /**
   * Gives up a job.
   * @param tracked - a job that has not finished
   * @param failure - why it is given up
   */
  fail (tracked: TrackedJob, failure: JobFailure): void {
    tracked.failure = failure
    this.finishJob(tracked, 'failed')
  }

  /**
   * Notes that the record of a job must be written.
   * @param tracked - a job whose progress has changed
   */
  markChanged (tracked: TrackedJob): void {
    this.markDirty(tracked, [])
  }

  /**
   * @param id - id of a job
   * @returns its state as visible to callers, undefined when the job is not tracked
   */
  stateOf (id: string): JobState | undefined {
    const tracked = this.jobs.get(id)
    if (tracked === undefined) return undefined
    return tracked.durableOutcome ?? (tracked.begun ? 'running' : 'queued')
  }

  /**
   * @param queue - name of a queue
   * @param address - address of the queue, which it may have had under another name
   * @returns number of accepted jobs that have not started
   */
  pending (queue: string, address?: string): number {
    let count = 0
    for (const tracked of this.jobs.values()) {
      const { job } = tracked
      const isOfQueue = job.queue === queue || (address !== undefined && job.address === address)
      if (isOfQueue && !tracked.begun && !tracked.isFinished()) count += 1
    }
    return count
  }

  /**
   * @param id - id of a job
   * @returns whether the job is not tracked and may be in the store
   */
  needsLookup (id: string): boolean {
    return !this.jobs.has(id) && !this.notStored.has(id)
  }

  /**
   * @param id - id of a job
   * @returns whether its client account has submitted it beyond its weight
   */
  isBeyondWeight (id: string): boolean {
    this.shares?.judgeJobs()
    return this.jobs.get(id)?.isBeyondWeight === true
  }

  /**
   * Applies the completion of a run.
   * @param task - task of the run
   * @param endedRun - the completion as reported by the worker
   * @param pending - identifies the completion until the job's record is durable
   */
  applyEndedRun (task: Task, endedRun: EndedRun, pending: PendingCompletion): void {
    const { job, spec } = task.step
    task.lastAttempt = Math.max(task.lastAttempt, endedRun.attempt)
    if (endedRun.checkpoint !== '' && !task.done) task.checkpoint = endedRun.checkpoint
    this.markDirty(job, [pending])
    if (endedRun.how === 'done' && !spec.lasting) this.markTaskDone(task)
    if (endedRun.how === 'failed') this.recordFailedAttempt(task, endedRun.attempt)
  }

  /**
   * @param isUnplaceable - whether no worker of the service may take tasks of a step; of these steps, only the largest task counts, as
   * more workers like those are of no use to the others
   * @param opts - `isOwed`: leaves out jobs beyond the weights of their client accounts; `countOf`: of how many waiting tasks of a step
   * the demand counts
   * @returns demand of the ready tasks that have no run
   */
  waiting (isUnplaceable: (step: TrackedStep) => boolean, { isOwed = false, countOf = (step: TrackedStep) => step.waiting } = {}): Resources {
    const total = { cpu: 0, memMb: 0, accelerators: 0 }
    const largest = { cpu: 0, memMb: 0, accelerators: 0 }
    for (const step of this.ready) {
      if (isOwed && step.job.isBeyondWeight) continue
      const { spec } = step
      const waiting = countOf(step)
      if (waiting === 0) continue
      const cpu = spec.backfill ? 0 : spec.demand.cpu
      if (isUnplaceable(step)) {
        largest.cpu = Math.max(largest.cpu, cpu)
        largest.memMb = Math.max(largest.memMb, spec.demand.memMb)
        largest.accelerators = Math.max(largest.accelerators, spec.demand.accelerators)
      } else {
        total.cpu += waiting * cpu
        total.memMb += waiting * spec.demand.memMb
        total.accelerators += waiting * spec.demand.accelerators
      }
    }
    return { cpu: total.cpu + largest.cpu, memMb: total.memMb + largest.memMb, accelerators: total.accelerators + largest.accelerators }
  }

  /**
   * @param leadMs - time from now, in milliseconds
   * @param counts - whether the demand of a job counts
   * @returns demand of the first steps of scheduled occurrences that become due within that time
   */
  dueSoon (leadMs: number, counts: (job: Job) => boolean = () => true): Resources {
    const until = this.opts.wallClock() + leadMs
    let cpu = 0
    let memMb = 0
    let accelerators = 0
    for (const tracked of this.scheduledJobs) {
      if (tracked.dueAt(nextOccurrenceNumber(tracked)) > until || !counts(tracked.job)) continue
      for (const step of tracked.job.steps) {
        if (step.after.length > 0) continue
        if (!step.backfill) cpu += step.tasks * step.demand.cpu
        memMb += step.tasks * step.demand.memMb
        accelerators += step.tasks * step.demand.accelerators
      }
    }
    return { cpu, memMb, accelerators }
  }

  /**
   * @param countOf - of how many waiting tasks of a step the demand counts
   * @returns minimum number of workers that the `perWorker` limits of ready steps require
   */
  leastWorkers (countOf: (step: TrackedStep) => number = step => step.waiting): number {
    let least = 0
    for (const step of this.ready) {
      const { spec, left, waiting } = step
      if (spec.perWorker > 0) least = Math.max(least, Math.ceil((left - waiting + countOf(step)) / spec.perWorker))
    }
    return least
  }

  /** Opens the due occurrences of scheduled jobs. */
  openDueOccurrences (): void {
    for (const tracked of this.scheduledJobs) this.openDueOccurrencesOf(tracked)
  }

  /**
   * @param maxMs - upper limit of the result in milliseconds
   * @returns milliseconds until the next occurrence is due, at least 1
   */
  nextDueInMs (maxMs: number): number {
    const now = this.opts.wallClock()
    let due = maxMs
    for (const tracked of this.scheduledJobs) {
      if (mayOpenNext(tracked)) due = Math.min(due, tracked.dueAt(nextOccurrenceNumber(tracked)) - now)
    }
    return Math.max(1, due)
  }

  /**
   * Returns the jobs whose records must be written, with the completions that wait for them, and clears the list.
   * @returns the jobs and their pending completions
   */
  takeDirty (): Array<{ tracked: TrackedJob, completions: PendingCompletion[] }> {
    const all = [...this.dirtyJobs].map(([tracked, completions]) => ({ tracked, completions }))
    this.dirtyJobs.clear()
    return all
  }

  /**
   * Notes that the record of a job is durable.
   * @param tracked - the job
   * @param outcome - the final state that was written, if any
   * @param completions - completions that the record covers
   * @param crashVersion - `crashVersion` of the job when the record was made
   */
  markDurable (tracked: TrackedJob, outcome: JobState | undefined, completions: readonly PendingCompletion[], crashVersion = tracked.crashVersion): void {
    tracked.durableOutcome ??= outcome
    tracked.durableCrashVersion = Math.max(tracked.durableCrashVersion, crashVersion)
    for (const completion of completions) completion.worker.pendingCompletions.delete(completion.seq)
  }

  /**
   * Notes that the record of a job could not be written, so that it is written again.
   * @param tracked - the job
   * @param completions - completions that wait for the record
   */
  markWriteFailed (tracked: TrackedJob, completions: readonly PendingCompletion[]): void {
    this.markDirty(tracked, completions)
  }

  /**
   * Stops tracking a job.
   * @param id - id of a job whose records have been removed
   */
  removeJob (id: string): void {
    this.jobs.delete(id)
  }

  private recordFailedAttempt (task: Task, attempt: number): void {
    const { job, spec } = task.step
    task.retryAt = this.opts.clock.now() + FAILED_TASK_RETRY_DELAY_MS
    if (spec.lasting || task.failedAttempts.includes(attempt)) return
    task.failedAttempts.push(attempt)
    const attempts = this.opts.queue(job.job.queue)?.attempts ?? job.job.attempts ?? 1
    if (task.failedAttempts.length >= attempts && !task.done && !job.isFinished()) this.finishJob(job, 'failed')
  }

  private markTaskDone (task: Task): void {
    if (task.done) return
    const members = task.step.spec.gang ? task.step.tasks : [task]
    for (const member of members) {
      markDone(member)
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
      if (occurrence.due) this.addReadySteps(occurrence.steps)
      return
    }
    job.occurrences.delete(occurrence.number)
    job.version += 1
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
    for (let number = nextOccurrenceNumber(tracked); mayOpenNext(tracked) && tracked.dueAt(number) <= now; number = nextOccurrenceNumber(tracked)) {
      this.openOccurrence(tracked, number)
    }
    if (nextOccurrenceNumber(tracked) >= tracked.times()) this.scheduledJobs.delete(tracked)
  }

  private openOccurrence (tracked: TrackedJob, number: number): void {
    const occurrence = tracked.openOccurrence(number)
    if (occurrence === undefined) return
    occurrence.due = true
    // The stored progress has all steps done: completes the occurrence as if its last step had just ended.
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

  private markDirty (tracked: TrackedJob, completions: readonly PendingCompletion[]): void {
    const waiting = this.dirtyJobs.get(tracked) ?? []
    waiting.push(...completions)
    this.dirtyJobs.set(tracked, waiting)
  }
}

/** Returns the number of the first occurrence that has not become due. */
function nextOccurrenceNumber (tracked: TrackedJob): number {
  while (tracked.endedOccurrences.has(tracked.openedBelow) || tracked.occurrences.get(tracked.openedBelow)?.due === true) tracked.openedBelow += 1
  return tracked.openedBelow
}

function mayOpenNext (tracked: TrackedJob): boolean {
  return nextOccurrenceNumber(tracked) < tracked.times() && tracked.occurrences.size < MAX_OPEN_OCCURRENCES
}
