import type { JobState } from '@wisteriaslip/jobs.model'
import type { Crash } from './crash.ts'
import { toRanges, type Ranges } from './ranges.ts'
import type { TrackedJob, TrackedStep } from './tracked-job.ts'

/** Longer lists are stored as ranges. Older versions don't know these, but can read the records of most jobs. */
const MAX_LISTED = 1_000

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
  /** Done tasks of steps of which more are done than `tasks` lists, by `occurrence.step`. */
  readonly doneTasks?: Readonly<Record<string, Ranges>> | undefined
  /** Completed occurrences, if there are more than `occurrencesEnded` lists. */
  readonly endedRanges?: Ranges | undefined
  readonly outcome?: JobState | undefined
  readonly failure?: JobFailure | undefined
  /** Unix milliseconds of the outcome. */
  readonly endedAt?: number | undefined
}

/** Progress of a job that has not started. */
export const emptyProgress: JobProgress = { tasks: {}, stepsDone: [], occurrencesEnded: [] }

/**
 * @param tracked - a job
 * @param opts - `checkpoints`: whether to store those of its tasks; without them, a record is smaller
 * @returns its current progress to store; for a finished job only its outcome
 */
export function toProgress (tracked: TrackedJob, opts: { checkpoints: boolean } = { checkpoints: true }): JobProgress {
  if (tracked.outcome !== undefined) return { ...emptyProgress, outcome: tracked.outcome, endedAt: tracked.endedAt, ...(tracked.failure === undefined ? {} : { failure: tracked.failure }) }
  const tasks: Record<string, TaskProgress> = {}
  const doneTasks: Record<string, Ranges> = {}
  const stepsDone: string[] = []
  for (const occurrence of tracked.occurrences.values()) {
    for (const step of occurrence.steps) {
      const name = `${occurrence.number}.${step.number}`
      if (step.left === 0) {
        stepsDone.push(name)
        continue
      }
      const areListed = step.tasks.length - step.left <= MAX_LISTED
      if (!areListed) doneTasks[name] = toRanges(step.tasks.filter(task => task.done).map(task => task.index))
      addTasks(tasks, step, { done: areListed, checkpoints: opts.checkpoints })
    }
  }
  const { endedOccurrences } = tracked
  const ended = endedOccurrences.size <= MAX_LISTED ? { occurrencesEnded: [...endedOccurrences] } : { occurrencesEnded: [], endedRanges: toRanges(endedOccurrences) }
  return { tasks, stepsDone, ...ended, ...(Object.keys(doneTasks).length === 0 ? {} : { doneTasks }) }
}

/** Adds the progress of those tasks of a step that have any. */
function addTasks (tasks: Record<string, TaskProgress>, step: TrackedStep, opts: { done: boolean, checkpoints: boolean }): void {
  for (const task of step.tasks) {
    const checkpoint = opts.checkpoints && !task.done ? task.checkpoint : ''
    const crashes = task.done ? [] : task.crashes
    const done = task.done && opts.done
    if (!done && task.failedAttempts.length === 0 && checkpoint === '' && crashes.length === 0) continue
    tasks[`${step.occurrence.number}.${step.number}.${task.index}`] = {
      ...(done ? { done: true } : {}),
      ...(task.failedAttempts.length > 0 ? { failedAttempts: task.failedAttempts } : {}),
      ...(checkpoint !== '' ? { checkpoint } : {}),
      ...(crashes.length > 0 ? { crashes } : {})
    }
  }
}
