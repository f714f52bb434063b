import type { JobState } from '@wisteriaslip/jobs.model'
import type { Crash } from './crash.ts'
import type { TrackedJob } from './tracked-job.ts'

/** Stored progress of a task. Tasks without progress and tasks of completed steps have none. */
export interface TaskProgress {
  readonly done?: boolean | undefined
  readonly failedAttempts?: readonly number[] | undefined
  readonly checkpoint?: string | undefined
  /** Crashes of workers that it was on, as long as no other task is known to have caused them. */
  readonly crashes?: readonly Crash[] | undefined
}

/** Why a job was given up although its tasks have attempts left. */
export interface JobFailure {
  readonly reason: 'CRASHES_WORKERS'
  readonly task: string
  /** Incarnations of the workers that crashed under the task. */
  readonly workers: readonly string[]
}

/** Stored progress of a job. */
export interface JobProgress {
  /** Keyed by `occurrence.step.index`. */
  readonly tasks: Readonly<Record<string, TaskProgress>>
  /** Completed steps, as `occurrence.step`. */
  readonly stepsDone: readonly string[]
  readonly occurrencesEnded: readonly number[]
  readonly outcome?: JobState | undefined
  readonly failure?: JobFailure | undefined
  /** Unix milliseconds of the outcome. */
  readonly endedAt?: number | undefined
}

/** Progress of a job that has not started. */
export const emptyProgress: JobProgress = { tasks: {}, stepsDone: [], occurrencesEnded: [] }

/**
 * @param tracked - a job
 * @returns its current progress to store; for a finished job only its outcome
 */
export function toProgress (tracked: TrackedJob): JobProgress {
  if (tracked.outcome !== undefined) return { ...emptyProgress, outcome: tracked.outcome, endedAt: tracked.endedAt, ...(tracked.failure === undefined ? {} : { failure: tracked.failure }) }
  const tasks: Record<string, TaskProgress> = {}
  const stepsDone: string[] = []
  for (const occurrence of tracked.occurrences.values()) {
    for (const step of occurrence.steps) {
      if (step.left === 0) {
        stepsDone.push(`${occurrence.number}.${step.number}`)
        continue
      }
      for (const task of step.tasks) {
        if (!task.done && task.failedAttempts.length === 0 && task.checkpoint === '' && task.crashes.length === 0) continue
        tasks[`${occurrence.number}.${step.number}.${task.index}`] = {
          ...(task.done ? { done: true } : {}),
          ...(task.failedAttempts.length > 0 ? { failedAttempts: task.failedAttempts } : {}),
          ...(task.checkpoint !== '' && !task.done ? { checkpoint: task.checkpoint } : {}),
          ...(task.crashes.length > 0 && !task.done ? { crashes: task.crashes } : {})
        }
      }
    }
  }
  return { tasks, stepsDone, occurrencesEnded: [...tracked.endedOccurrences] }
}
