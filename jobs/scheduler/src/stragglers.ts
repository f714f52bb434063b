import type { Run } from './run.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** A run is slow if its projected duration exceeds the expected duration by this factor. */
const SLOW_DURATION_FACTOR = 3
/** Minimum age at which a run is evaluated: this share of its expected duration, and at least this many milliseconds. */
const MIN_EVALUATION_AGE_SHARE = 0.5
const MIN_EVALUATION_AGE_MS = 300
/** A run is stalled without progress for this long, or for this share of its expected duration if that is longer. */
const STALLED_AFTER_MS = 700
const STALLED_AFTER_SHARE = 0.6
/** Minimum ratio of the remaining time of a run to the time of a restart for which it is restarted. */
const MIN_RESTART_GAIN = 1.2
const RESTART_OVERHEAD_MS = 200
/** A worker is slow if runs of at least this many jobs are slow on it. */
const MIN_SLOW_JOBS = 2
const MAX_SLOW_RESTARTS = 1
const LEARNING_RATE = 0.05
const INITIAL_DURATION_FACTOR = 1

/** Learns the actual duration of the runs of each queue, relative to their estimates. */
export class DurationEstimator {
  private readonly factors = new Map<string, number>()

  /**
   * Records the duration of a successful run.
   * @param run - the run that has just completed
   * @param now - time of the injected clock
   */
  recordSuccess (run: Run, now: number): void {
    const { estimateMs } = run.task.step.spec
    if (estimateMs <= 0) return
    const { queue } = run.task.step.job.job
    const before = this.factors.get(queue) ?? INITIAL_DURATION_FACTOR
    this.factors.set(queue, before + LEARNING_RATE * ((now - run.startedAt) / estimateMs - before))
  }

  /**
   * @param run - a run
   * @returns expected duration of the whole run in milliseconds
   */
  expectedMs (run: Run): number {
    const { spec, job } = run.task.step
    return spec.estimateMs * this.durationFactor(job.job.queue)
  }

  /**
   * @param queue - name of a queue
   * @returns actual duration of its runs relative to their estimates
   */
  durationFactor (queue: string): number {
    return this.factors.get(queue) ?? INITIAL_DURATION_FACTOR
  }
}

/** Result of the evaluation of a worker's runs. */
export interface Stragglers {
  /** The worker should get no new runs for a while. A run counts once, so that this ends although no other can take it. */
  readonly workerIsSlow: boolean
  /** Runs that would complete sooner on another worker. */
  readonly toRestart: readonly Run[]
}

/**
 * Evaluates the progress of the runs of a worker, and marks those that are found slow.
 * @param worker - the worker, with its last report applied
 * @param durationEstimator - expected durations
 * @param clockMs - reading of the worker's clock at the report, in milliseconds
 * @returns whether the worker is slow, and the runs to restart
 */
export function findStragglers (worker: TrackedWorker, durationEstimator: DurationEstimator, clockMs: number): Stragglers {
  const slow: Run[] = []
  const toRestart: Run[] = []
  for (const run of worker.runs.values()) {
    if (run.phase !== 'running' || run.stopReason !== undefined || run.task.step.spec.lasting) continue
    const remainingMs = estimateRemainingMs(run, durationEstimator.expectedMs(run), clockMs)
    if (remainingMs === undefined) continue
    slow.push(run)
    const restartMs = durationEstimator.expectedMs(run) + RESTART_OVERHEAD_MS
    if (remainingMs > restartMs * MIN_RESTART_GAIN && run.task.slowRestarts < MAX_SLOW_RESTARTS) toRestart.push(run)
  }
  const jobs = new Set(slow.map(run => run.task.step.job))
  const workerIsSlow = jobs.size >= MIN_SLOW_JOBS && slow.some(run => !run.foundSlow)
  for (const run of slow) run.foundSlow ||= jobs.size >= MIN_SLOW_JOBS
  return { workerIsSlow, toRestart }
}

/** Estimates the remaining time of a slow run in milliseconds: infinite if stalled, undefined if not slow. */
function estimateRemainingMs (run: Run, expectedMs: number, clockMs: number): number | undefined {
  const age = clockMs - (run.startedWorkerClockMs ?? clockMs)
  if (expectedMs <= 0 || age < Math.max(MIN_EVALUATION_AGE_MS, expectedMs * MIN_EVALUATION_AGE_SHARE)) return undefined
  if (clockMs - run.progressedWorkerClockMs >= Math.max(STALLED_AFTER_MS, expectedMs * STALLED_AFTER_SHARE)) return Number.POSITIVE_INFINITY
  if (run.percent <= 0) return undefined
  const totalMs = age * 100 / run.percent
  return totalMs > SLOW_DURATION_FACTOR * expectedMs ? totalMs - age : undefined
}
