import type { JobState } from '@wisteriaslip/jobs.model'
import type { TrackedJob } from './tracked-job.ts'

/** What is kept of one task that is neither untouched nor in a step that is done. */
export interface TaskProgress {
  readonly done?: boolean | undefined
  readonly failedAttempts?: readonly number[] | undefined
  readonly checkpoint?: string | undefined
}

/** The durable record of what has happened to a job. */
export interface JobProgress {
  /** By `occurrence.step.index`. */
  readonly tasks: Readonly<Record<string, TaskProgress>>
  /** Steps with all tasks done, as `occurrence.step`. */
  readonly stepsDone: readonly string[]
  readonly occurrencesEnded: readonly number[]
  readonly outcome?: JobState | undefined
  /** Unix milliseconds of the outcome. */
  readonly endedAt?: number | undefined
}

/** Progress of a job to which nothing has happened. */
export const emptyProgress: JobProgress = { tasks: {}, stepsDone: [], occurrencesEnded: [] }

/**
 * @param tracked - a job
 * @returns its durable record as of now; of a job that is over only the outcome
 */
export function toProgress (tracked: TrackedJob): JobProgress {
  if (tracked.outcome !== undefined) return { ...emptyProgress, outcome: tracked.outcome, endedAt: tracked.endedAt }
  const tasks: Record<string, TaskProgress> = {}
  const stepsDone: string[] = []
  for (const occurrence of tracked.occurrences.values()) {
    for (const step of occurrence.steps) {
      if (step.left === 0) {
        stepsDone.push(`${occurrence.number}.${step.number}`)
        continue
      }
      for (const task of step.tasks) {
        if (!task.done && task.failedAttempts.length === 0 && task.checkpoint === '') continue
        tasks[`${occurrence.number}.${step.number}.${task.index}`] = {
          ...(task.done ? { done: true } : {}),
          ...(task.failedAttempts.length > 0 ? { failedAttempts: task.failedAttempts } : {}),
          ...(task.checkpoint !== '' && !task.done ? { checkpoint: task.checkpoint } : {})
        }
      }
    }
  }
  return { tasks, stepsDone, occurrencesEnded: [...tracked.endedOccurrences] }
}
