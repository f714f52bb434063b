import type { Job, JobState, Step } from '@wisteriaslip/jobs.model'
import type { AccountUse } from './account-use.ts'
import { needsIsolation, type Crash } from './crash.ts'
import { emptyProgress, type JobFailure, type JobProgress } from './progress.ts'
import { numbersIn } from './ranges.ts'
import { StepPermits } from './permits.ts'
import type { ReleasedRun } from './released-run.ts'
import type { Run } from './run.ts'

/** State of a task: one index of a step in one occurrence. */
export interface Task {
  readonly step: TrackedStep
  readonly index: number
  readonly name: string
  done: boolean
  /** Numbers of the failed attempts; an attempt number is never used twice. */
  readonly failedAttempts: number[]
  lastAttempt: number
  checkpoint: string
  /** Runs that may be in progress; more than one only with copies, or while the outcome of an earlier run is unknown. */
  readonly runs: Run[]
  /** When its last run in progress was released, by the injected clock; undefined if it had none in this term. */
  idleSince: number | undefined
  /** Earliest time of the next start, by the injected clock. */
  retryAt: number
  /** Ids of workers on which a run of the task failed. */
  readonly failedOn: Set<string>
  /** Number of restarts on another worker because a run was slow, or throttled beside a task that it disturbs. */
  slowRestarts: number
  /** Crashes of workers that it was on, as long as no other task is known to have caused them. */
  crashes: readonly Crash[]
  /** The latest run that was released without a reported end; undefined if there was none in this term. */
  released: ReleasedRun | undefined
}

/** State of a step in one occurrence. */
export interface TrackedStep {
  readonly job: TrackedJob
  readonly occurrence: Occurrence
  readonly number: number
  readonly spec: Step
  readonly tasks: readonly Task[]
  /** Number of tasks that are not done. */
  left: number
  /** Number of tasks that are not done and have no run. Kept by {@link attachRun}, {@link detachRun} and {@link markDone}. */
  waiting: number
  /** Number of tasks that need isolation. Kept by {@link addCrash} and {@link removeCrashes}. */
  suspects: number
  /** Permits to start tasks of the step, for queues that need them. */
  readonly permits: StepPermits
}

/** State of one occurrence of a job; a job without a schedule has one occurrence. */
export interface Occurrence {
  readonly number: number
  readonly steps: readonly TrackedStep[]
  stepsLeft: number
  /** False while only a worker's report of a run has opened it: its tasks are not started before it is due. */
  due: boolean
}

/** The leader's state of a job. */
export class TrackedJob {
  readonly job: Job
  /** Open occurrences, by number. */
  readonly occurrences = new Map<number, Occurrence>()
  /** Numbers of the completed occurrences. */
  readonly endedOccurrences: Set<number>
  /** All occurrences with lower numbers have become due. */
  openedBelow = 0
  /** No earlier leader can have started any of its tasks. */
  readonly acceptedThisTerm: boolean
  /** When this leader first learned of the job, by the injected clock. */
  readonly firstSeenAt: number
  begun = false
  /** Increases whenever a task, step or occurrence of the job changes its state. */
  version = 0
  /** Milliseconds from `firstSeenAt` to the first start, undefined unless this leader observed it. */
  waitedMs: number | undefined
  /** Final state as decided by this leader; visible to callers once it is durable. */
  outcome: JobState | undefined
  /** Final state as stored. */
  durableOutcome: JobState | undefined
  endedAt: number | undefined
  /** Why the job was given up; undefined unless its outcome is `failed` for another reason than failed attempts. */
  failure: JobFailure | undefined
  /** Increases with each change of the crashes of its tasks. */
  crashVersion = 0
  /** The `crashVersion` that is stored. */
  durableCrashVersion = 0
  /** The store has rejected its latest progress record, even without checkpoints: its crashes may never be stored. */
  isRecordRejected = false
  /** Use of its client account; undefined where the leader has no accounts. */
  use: AccountUse | undefined
  /** Its account has submitted it beyond its weight in jobs a second. */
  isBeyondWeight = false
  private readonly restoredProgress: JobProgress

  constructor (job: Job, opts: { acceptedThisTerm: boolean, firstSeenAt: number, progress?: JobProgress | undefined }) {
    this.job = job
    this.acceptedThisTerm = opts.acceptedThisTerm
    this.firstSeenAt = opts.firstSeenAt
    this.restoredProgress = opts.progress ?? emptyProgress
    this.endedOccurrences = new Set([...this.restoredProgress.occurrencesEnded, ...numbersIn(this.restoredProgress.endedRanges ?? [], this.times())])
    this.begun = opts.progress !== undefined
    this.outcome = this.restoredProgress.outcome
    this.durableOutcome = this.restoredProgress.outcome
    this.endedAt = this.restoredProgress.endedAt
    this.failure = this.restoredProgress.failure
  }

  /** @returns number of occurrences of the job */
  times (): number {
    return this.job.schedule?.times ?? 1
  }

  /**
   * @param occurrence - number of an occurrence
   * @returns its due time in Unix milliseconds; 0 for a job without a schedule
   */
  dueAt (occurrence: number): number {
    const { schedule } = this.job
    return schedule === undefined ? 0 : schedule.firstMs + occurrence * schedule.everyMs
  }

  /**
   * Opens an occurrence, restoring the progress that earlier leaders stored.
   * @param number - number of the occurrence
   * @returns the occurrence, undefined when it has completed or does not exist
   */
  openOccurrence (number: number): Occurrence | undefined {
    const existing = this.occurrences.get(number)
    if (existing !== undefined) return existing
    if (number >= this.times() || this.endedOccurrences.has(number)) return undefined
    const steps: TrackedStep[] = []
    const occurrence: Occurrence = { number, steps, stepsLeft: this.job.steps.length, due: false }
    for (const [index, spec] of this.job.steps.entries()) steps.push(this.createStep(occurrence, index, spec))
    occurrence.stepsLeft = steps.filter(step => step.left > 0).length
    this.occurrences.set(number, occurrence)
    this.version += 1
    return occurrence
  }

  /**
   * @param position - occurrence, step and index
   * @returns the task, undefined when it does not exist or its occurrence has completed
   */
  task (position: { occurrence: number, step: number, index: number }): Task | undefined {
    return this.openOccurrence(position.occurrence)?.steps[position.step]?.tasks[position.index]
  }

  /** @returns whether the job has reached its final state, which may not be durable yet */
  isFinished (): boolean {
    return this.outcome !== undefined
  }

  /** @returns whether all crashes of its tasks are stored */
  areCrashesDurable (): boolean {
    return this.durableCrashVersion === this.crashVersion
  }

  /** @returns whether its suspected tasks may be tried: their crashes are stored, or the store takes none of them */
  maySuspectsStart (): boolean {
    return this.areCrashesDurable() || this.isRecordRejected
  }

  private createStep (occurrence: Occurrence, number: number, spec: Step): TrackedStep {
    const tasks: Task[] = []
    const name = `${occurrence.number}.${number}`
    const isStepDone = this.restoredProgress.stepsDone.includes(name)
    const doneTasks = new Set(numbersIn(this.restoredProgress.doneTasks?.[name] ?? [], spec.tasks))
    const step: TrackedStep = { job: this, occurrence, number, spec, tasks, left: spec.tasks, waiting: 0, suspects: 0, permits: new StepPermits() }
    for (let index = 0; index < spec.tasks; index++) {
      const progressKey = `${name}.${index}`
      const savedProgress = this.restoredProgress.tasks[progressKey]
      const done = isStepDone || doneTasks.has(index) || savedProgress?.done === true
      if (done) step.left -= 1
      else step.waiting += 1
      tasks.push({
        step,
        index,
        name: `${this.job.id}.${progressKey}`,
        done,
        failedAttempts: [...savedProgress?.failedAttempts ?? []],
        lastAttempt: 0,
        checkpoint: savedProgress?.checkpoint ?? '',
        runs: [],
        idleSince: undefined,
        retryAt: 0,
        failedOn: new Set(),
        slowRestarts: 0,
        released: undefined,
        crashes: savedProgress?.crashes ?? []
      })
    }
    step.suspects = tasks.filter(needsIsolation).length
    return step
  }
}

/**
 * Adds a run to its task.
 * @param run - the run
 */
export function attachRun (run: Run): void {
  const { task } = run
  if (isWaiting(task)) task.step.waiting -= 1
  task.runs.push(run)
  task.step.job.use?.add(task.step.spec)
}

/**
 * Removes a run from its task. Does nothing if the task does not have it.
 * @param run - the run
 * @param now - time of the injected clock
 */
export function detachRun (run: Run, now: number): void {
  const { task } = run
  const at = task.runs.indexOf(run)
  if (at < 0) return
  task.runs.splice(at, 1)
  task.step.job.use?.remove(task.step.spec)
  if (run.phase !== 'sending') task.idleSince = now
  if (isWaiting(task)) task.step.waiting += 1
}

/**
 * Marks a task as done.
 * @param task - a task that is not done
 */
export function markDone (task: Task): void {
  if (isWaiting(task)) task.step.waiting -= 1
  task.done = true
  task.step.left -= 1
  task.step.job.version += 1
}

/**
 * Notes that a worker has accepted a start.
 * @param job - the job
 * @param now - time of the injected clock
 */
export function markBegun (job: TrackedJob, now: number): void {
  if (!job.begun) job.waitedMs = Math.round(now - job.firstSeenAt)
  job.begun = true
}

/**
 * @param task - a task
 * @returns whether it is not done and has no run
 */
export function isWaiting (task: Task): boolean {
  return !task.done && task.runs.length === 0
}

/**
 * @param step - a ready step
 * @returns whether a run may be started for some task of it, once the task's retry delay has passed
 */
export function mayStart (step: TrackedStep): boolean {
  return step.waiting > 0 || (step.spec.copies && step.left > 0)
}

/**
 * @param task - a task of a ready step
 * @param now - time of the injected clock
 * @returns whether a run of it may be started now
 */
export function isStartable (task: Task, now: number): boolean {
  if (task.done || task.retryAt > now) return false
  return task.runs.length === 0 || (task.step.spec.copies && task.runs.every(run => run.stopReason !== undefined))
}
