import type { Run } from './run.ts'
import type { Task } from './tracked-job.ts'
import { survivedMs } from './worker-loss.ts'

/** A run that has been in progress for this long on its worker's clock has not crashed the worker by its start. */
export const SETTLE_MS = 50
/** A worker that has responded within this time is taken to be alive. */
export const FRESH_RESPONSE_MS = 150
/** Number of crashes from which a task is isolated although its runs had settled. */
const REPEATED_CRASHES = 2

/** A crash of a worker on which a run of a task was lost. */
export interface Crash {
  /** Incarnation of the worker. */
  readonly worker: string
  /** How long the run had certainly been in progress, on the worker's clock, in milliseconds. */
  readonly survivedMs: number
  /** The worker responded until the start of the run, and to nothing that was sent after it. */
  readonly atStart?: boolean | undefined
  /** How long after the start of the run the worker stopped responding, in milliseconds. */
  readonly silentAfterMs?: number | undefined
  /** The run was isolated, and nothing else can have crashed the worker but a cause from outside the service. */
  readonly onTrial?: boolean | undefined
}

/**
 * @param run - a run
 * @returns whether the worker has certainly survived its start
 */
export function hasSettled (run: Run): boolean {
  return survivedMs(run) >= SETTLE_MS
}

/**
 * @param task - a task
 * @returns whether it may be what crashed the workers that it ran on, so that its next run must be the only such run on
 * its worker: a run of it had just been started at a crash, or was lost with several workers
 */
export function needsIsolation (task: Task): boolean {
  return hasRepeatedCrashes(task) || task.crashes.some(crash => crash.survivedMs < SETTLE_MS)
}

/**
 * @param task - a task
 * @returns whether it was on several workers that crashed
 */
export function hasRepeatedCrashes (task: Task): boolean {
  return task.crashes.length >= REPEATED_CRASHES
}

/**
 * Adds a crash to a task. Does nothing if the task has it already.
 * @param task - task of a run that was lost in the crash
 * @param crash - the crash
 */
export function addCrash (task: Task, crash: Crash): void {
  if (task.crashes.some(({ worker }) => worker === crash.worker)) return
  replaceCrashes(task, [...task.crashes, crash])
}

/**
 * Removes crashes from a task.
 * @param task - the task
 * @param isRemoved - selects the crashes to remove
 * @returns whether the task had any of them
 */
export function removeCrashes (task: Task, isRemoved: (crash: Crash) => boolean): boolean {
  const kept = task.crashes.filter(crash => !isRemoved(crash))
  if (kept.length === task.crashes.length) return false
  replaceCrashes(task, kept)
  return true
}

function replaceCrashes (task: Task, crashes: readonly Crash[]): void {
  const { step } = task
  if (needsIsolation(task)) step.suspects -= 1
  task.crashes = crashes
  if (needsIsolation(task)) step.suspects += 1
  step.job.crashVersion += 1
}
