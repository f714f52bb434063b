import type { Task } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** Consecutive failed runs after which a worker gets no starts for `FAILURE_COOLDOWN_MS`. */
const FAILURES_BEFORE_COOLDOWN = 2
export const FAILURE_COOLDOWN_MS = 3_000

/**
 * Records a failed run: the task prefers other workers from now on, and the worker gets no starts for a while if it fails several in a row.
 * @param worker - the worker on which it failed
 * @param task - its task
 * @param now - time of the injected clock
 */
export function recordFailure (worker: TrackedWorker, task: Task, now: number): void {
  task.failedOn.add(worker.registration.id)
  worker.failuresInARow += 1
  if (worker.failuresInARow >= FAILURES_BEFORE_COOLDOWN) worker.cooldownUntil = now + FAILURE_COOLDOWN_MS
}
