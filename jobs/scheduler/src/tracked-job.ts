import type { Job, JobState, Step } from '@wisteriaslip/jobs.model'
import { emptyProgress, type JobProgress } from './progress.ts'
import { StepPermits } from './permits.ts'
import type { Run } from './run.ts'

/** A task: one index of a step in one occurrence. */
export interface Task {
  readonly step: TrackedStep
  readonly index: number
  readonly name: string
  done: boolean
  /** Attempts that ended as failed; an attempt number is never used twice. */
  readonly failedAttempts: number[]
  lastAttempt: number
  checkpoint: string
  /** What may be running: more than one only while copies are allowed or an earlier run is not settled. */
  readonly runs: Run[]
  /** Not started before this time of the injected clock. */
  retryAt: number
  /** Workers on which a run of it failed. */
  readonly failedOn: Set<string>
  /** How often it was started again elsewhere because its run was slow. */
  slowRestarts: number
}

/** A step of one occurrence. */
export interface TrackedStep {
  readonly job: TrackedJob
  readonly occurrence: Occurrence
  readonly number: number
  readonly spec: Step
  readonly tasks: readonly Task[]
  /** Tasks that are not done. */
  left: number
  /** Permits of the queue's policy, for queues that have one. */
  readonly permits: StepPermits
}

/** One occurrence of a job; a job without schedule has one. */
export interface Occurrence {
  readonly number: number
  readonly steps: readonly TrackedStep[]
  stepsLeft: number
}

/** What the leader knows of a job. */
export class TrackedJob {
  readonly job: Job
  /** Occurrences that are due, by number. */
  readonly occurrences = new Map<number, Occurrence>()
  /** Occurrences that have ended. */
  readonly endedOccurrences: Set<number>
  /** Accepted in this term: no earlier leader can have started any of it. */
  readonly acceptedThisTerm: boolean
  /** When this leader first heard of it, by the injected clock. */
  readonly firstSeenAt: number
  begun = false
  /** Milliseconds from hearing of it to its first start, as far as this leader saw it. */
  waitedMs: number | undefined
  /** Final state as decided here; callers hear of it once it is durable. */
  outcome: JobState | undefined
  /** Final state that the store holds. */
  durableOutcome: JobState | undefined
  endedAt: number | undefined
  private readonly restoredProgress: JobProgress

  constructor (job: Job, opts: { acceptedThisTerm: boolean, firstSeenAt: number, progress?: JobProgress | undefined }) {
    this.job = job
    this.acceptedThisTerm = opts.acceptedThisTerm
    this.firstSeenAt = opts.firstSeenAt
    this.restoredProgress = opts.progress ?? emptyProgress
    this.endedOccurrences = new Set(this.restoredProgress.occurrencesEnded)
    this.begun = opts.progress !== undefined
    this.outcome = this.restoredProgress.outcome
    this.durableOutcome = this.restoredProgress.outcome
    this.endedAt = this.restoredProgress.endedAt
  }

  /** @returns how many occurrences the job has */
  times (): number {
    return this.job.schedule?.times ?? 1
  }

  /**
   * @param occurrence - number of an occurrence
   * @returns when it is due, in Unix milliseconds
   */
  dueAt (occurrence: number): number {
    const { schedule } = this.job
    return schedule === undefined ? 0 : schedule.firstMs + occurrence * schedule.everyMs
  }

  /**
   * Opens an occurrence, with what earlier leaders wrote down about it.
   * @param number - of the occurrence
   * @returns the occurrence, undefined when it has ended or there is none of this number
   */
  openOccurrence (number: number): Occurrence | undefined {
    const known = this.occurrences.get(number)
    if (known !== undefined) return known
    if (number >= this.times() || this.endedOccurrences.has(number)) return undefined
    const steps: TrackedStep[] = []
    const occurrence: Occurrence = { number, steps, stepsLeft: this.job.steps.length }
    for (const [index, spec] of this.job.steps.entries()) steps.push(this.createStep(occurrence, index, spec))
    occurrence.stepsLeft = steps.filter(step => step.left > 0).length
    this.occurrences.set(number, occurrence)
    return occurrence
  }

  /**
   * @param position - occurrence, step and index
   * @returns the task, undefined when the job has none there or its occurrence has ended
   */
  task (position: { occurrence: number, step: number, index: number }): Task | undefined {
    return this.openOccurrence(position.occurrence)?.steps[position.step]?.tasks[position.index]
  }

  /** @returns whether the state never changes again, though it may not be durable yet */
  isFinished (): boolean {
    return this.outcome !== undefined
  }

  private createStep (occurrence: Occurrence, number: number, spec: Step): TrackedStep {
    const tasks: Task[] = []
    const step: TrackedStep = { job: this, occurrence, number, spec, tasks, left: spec.tasks, permits: new StepPermits() }
    for (let index = 0; index < spec.tasks; index++) {
      const progressKey = `${occurrence.number}.${number}.${index}`
      const known = this.restoredProgress.tasks[progressKey]
      const done = known?.done === true || this.restoredProgress.stepsDone.includes(`${occurrence.number}.${number}`)
      if (done) step.left -= 1
      tasks.push({
        step,
        index,
        name: `${this.job.id}.${progressKey}`,
        done,
        failedAttempts: [...known?.failedAttempts ?? []],
        lastAttempt: 0,
        checkpoint: known?.checkpoint ?? '',
        runs: [],
        retryAt: 0,
        failedOn: new Set(),
        slowRestarts: 0
      })
    }
    return step
  }
}
