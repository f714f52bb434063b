import { canPlace } from './placement.ts'
import type { Run } from './run.ts'
import type { StartLimiter } from './start-limiter.ts'
import { findStragglers, type DurationEstimator } from './stragglers.ts'
import type { TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** Cooldown of a worker on which runs of several jobs are slow. */
export const SLOW_WORKER_COOLDOWN_MS = 1_500

/** What the restarts of slow runs depend on. */
export interface SlowRunsOpts {
  readonly workers: ReadonlyMap<string, TrackedWorker>
  readonly durationEstimator: DurationEstimator
  /** Says whether a run that is stopped may be replaced by another one. */
  readonly limiter: Pick<StartLimiter, 'mayAdd'>
  /** The worker's clock as its report shows it. */
  readonly clockMs: number
  /** Time of the injected clock. */
  readonly now: number
  stop (run: Run, reason: string): void
}

/**
 * Stops the runs on a worker that would end sooner on another one that has room, and lets a slow worker rest.
 * @param worker - the worker, with its report applied
 * @param opts - workers, durations, times and stops
 */
export function restartSlowRuns (worker: TrackedWorker, opts: SlowRunsOpts): void {
  const { workerIsSlow, toRestart } = findStragglers(worker, opts.durationEstimator, opts.clockMs)
  if (workerIsSlow) worker.cooldownUntil = Math.max(worker.cooldownUntil, opts.now + SLOW_WORKER_COOLDOWN_MS)
  for (const run of toRestart) {
    if (!canRunElsewhere(run.task.step, worker, opts)) continue
    run.task.slowRestarts += 1
    opts.stop(run, 'slow')
  }
}

function canRunElsewhere (step: TrackedStep, worker: TrackedWorker, { workers, limiter, now }: SlowRunsOpts): boolean {
  return limiter.mayAdd(step, 0) && [...workers.values()].some(other => other !== worker && other.takesStarts(now) && canPlace(step, other))
}
