import type { Run } from './run.ts'
import type { TrackedStep } from './tracked-job.ts'

/** Progress at which a long-running task is serving. */
export const SERVING_PERCENT = 100

/**
 * @param step - a long-running step
 * @returns number of its tasks that are not serving, or are being stopped, or may be
 */
export function countUnavailableTasks (step: TrackedStep): number {
  return step.tasks.filter(task => !task.runs.some(isServing)).length
}

function isServing (run: Run): boolean {
  return run.worker.reachable && run.phase === 'running' && run.stopReason === undefined && !run.mayBeStopping && run.percent >= SERVING_PERCENT
}
