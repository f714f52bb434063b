import type { Run } from './run.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** A run this many times slower than runs of its queue usually are, against their estimates, is slow. */
const SLOW_FACTOR = 3
/** A run is not judged before this share of its expected time, nor before this many milliseconds. */
const JUDGED_AFTER_SHARE = 0.5
const JUDGED_AFTER_MS = 300
/** A run without any progress for this long, or for this share of its expected time, stands still. */
const STILL_MS = 700
const STILL_SHARE = 0.6
/** A restart must be this much quicker than to wait. */
const RESTART_GAIN = 1.2
const RESTART_MS = 200
/** Slow runs of that many jobs make a worker suspect. */
const JOBS_TO_SUSPECT = 2
const MOST_RESTARTS = 1
const LEARNING_RATE = 0.05
const FIRST_RATIO = 1

/** Learns how long runs of each queue take against their estimates. */
export class DurationBook {
  private readonly ratios = new Map<string, number>()

  /**
   * Takes in a run that was done.
   * @param run - that ended now
   * @param now - of the injected clock
   */
  noteDone (run: Run, now: number): void {
    const { estimateMs } = run.task.step.spec
    if (estimateMs <= 0) return
    const { queue } = run.task.step.job.job
    const before = this.ratios.get(queue) ?? FIRST_RATIO
    this.ratios.set(queue, before + LEARNING_RATE * ((now - run.startedAt) / estimateMs - before))
  }

  /**
   * @param run - a run
   * @returns milliseconds that it is expected to take from its beginning
   */
  expectedMs (run: Run): number {
    const { spec, job } = run.task.step
    return spec.estimateMs * this.factor(job.job.queue)
  }

  /**
   * @param queue - name of a queue
   * @returns time that its runs take, against their estimates
   */
  factor (queue: string): number {
    return this.ratios.get(queue) ?? FIRST_RATIO
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
 * @param book - usual durations
 * @param clockMs - reading of the worker's clock at the report
 * @returns what is slow
 */
export function findStragglers (worker: TrackedWorker, book: DurationBook, clockMs: number): Stragglers {
  const slow: Run[] = []
  const toRestart: Run[] = []
  for (const run of worker.runs.values()) {
    if (run.phase !== 'running' || run.stopReason !== undefined || run.task.step.spec.lasting) continue
    const leftMs = timeLeftMs(run, book.expectedMs(run), clockMs)
    if (leftMs === undefined) continue
    slow.push(run)
    const restartMs = book.expectedMs(run) + RESTART_MS
    if (leftMs > restartMs * RESTART_GAIN && run.task.slowRestarts < MOST_RESTARTS) toRestart.push(run)
  }
  const jobs = new Set(slow.map(run => run.task.step.job))
  return { suspect: jobs.size >= JOBS_TO_SUSPECT, toRestart }
}

/** Milliseconds that a slow run still needs; undefined for one that is not slow. */
function timeLeftMs (run: Run, expectedMs: number, clockMs: number): number | undefined {
  const age = clockMs - (run.begunClockMs ?? clockMs)
  if (expectedMs <= 0 || age < Math.max(JUDGED_AFTER_MS, expectedMs * JUDGED_AFTER_SHARE)) return undefined
  if (clockMs - run.advancedClockMs >= Math.max(STILL_MS, expectedMs * STILL_SHARE)) return Number.POSITIVE_INFINITY
  if (run.percent <= 0) return undefined
  const totalMs = age * 100 / run.percent
  return totalMs > SLOW_FACTOR * expectedMs ? totalMs - age : undefined
}
