import type { Run } from './run.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** A run this many times slower than runs of its queue usually are, against their estimates, is slow. */
const SLOW_DURATION_FACTOR = 3
/** A run is not judged before this share of its expected time, nor before this many milliseconds. */
const MIN_EVALUATION_AGE_SHARE = 0.5
const MIN_EVALUATION_AGE_MS = 300
/** A run without any progress for this long, or for this share of its expected time, stands still. */
const STALLED_AFTER_MS = 700
const STALLED_AFTER_SHARE = 0.6
/** A restart must be this much quicker than to wait. */
const MIN_RESTART_GAIN = 1.2
const RESTART_OVERHEAD_MS = 200
/** Slow runs of that many jobs make a worker suspect. */
const MIN_SLOW_JOBS = 2
const MAX_SLOW_RESTARTS = 1
const LEARNING_RATE = 0.05
const INITIAL_DURATION_FACTOR = 1

/** Learns how long runs of each queue take against their estimates. */
export class DurationEstimator {
  private readonly factors = new Map<string, number>()

  /**
   * Takes in a run that was done.
   * @param run - that ended now
   * @param now - of the injected clock
   */
  recordCompletion (run: Run, now: number): void {
    const { estimateMs } = run.task.step.spec
    if (estimateMs <= 0) return
    const { queue } = run.task.step.job.job
    const before = this.factors.get(queue) ?? INITIAL_DURATION_FACTOR
    this.factors.set(queue, before + LEARNING_RATE * ((now - run.startedAt) / estimateMs - before))
  }

  /**
   * @param run - a run
   * @returns milliseconds that it is expected to take from its beginning
   */
  expectedMs (run: Run): number {
    const { spec, job } = run.task.step
    return spec.estimateMs * this.durationFactor(job.job.queue)
  }

  /**
   * @param queue - name of a queue
   * @returns time that its runs take, against their estimates
   */
  durationFactor (queue: string): number {
    return this.factors.get(queue) ?? INITIAL_DURATION_FACTOR
  }
}

/** What a report tells about slow runs of a worker. */
export interface Stragglers {
  /** The worker should get nothing new for a while. */
  readonly suspect: boolean
  /** Runs that would end sooner elsewhere. */
  readonly toRestart: readonly Run[]
}

/**
 * Judges the runs of a worker by their progress.
 * @param worker - with what it last reported
 * @param durationEstimator - usual durations
 * @param clockMs - reading of the worker's clock at the report
 * @returns what is slow
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
  return { suspect: jobs.size >= MIN_SLOW_JOBS, toRestart }
}

/** Milliseconds that a slow run still needs; undefined for one that is not slow. */
function estimateRemainingMs (run: Run, expectedMs: number, clockMs: number): number | undefined {
  const age = clockMs - (run.startedWorkerClockMs ?? clockMs)
  if (expectedMs <= 0 || age < Math.max(MIN_EVALUATION_AGE_MS, expectedMs * MIN_EVALUATION_AGE_SHARE)) return undefined
  if (clockMs - run.progressedWorkerClockMs >= Math.max(STALLED_AFTER_MS, expectedMs * STALLED_AFTER_SHARE)) return Number.POSITIVE_INFINITY
  if (run.percent <= 0) return undefined
  const totalMs = age * 100 / run.percent
  return totalMs > SLOW_DURATION_FACTOR * expectedMs ? totalMs - age : undefined
}
