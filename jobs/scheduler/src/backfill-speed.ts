import type { Run } from './run.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/**
 * Ratios of a serving task's tail latency to its objective above which the backfill runs beside it are throttled or
 * paused, and below which they are sped up again.
 */
const THROTTLE_ABOVE_RATIO = 0.9
const PAUSE_ABOVE_RATIO = 1.1
const SPEED_UP_BELOW_RATIO = 0.7
const THROTTLE_FACTOR = 0.5
const MIN_SPEED_PERCENT = 5
const SPEED_UP_STEP_PERCENT = 10
const FULL_SPEED_PERCENT = 100

/** A change of the speed of a run, in percent of full speed. */
export interface SpeedChange {
  readonly run: Run
  readonly percent: number
}

/**
 * Chooses the speed of the backfill runs on a worker by the tail latencies of the serving tasks beside them. Must be
 * called once per report of the worker.
 * @param worker - the worker, with its last report applied
 * @returns speeds to change
 */
export function chooseBackfillSpeeds (worker: TrackedWorker): SpeedChange[] {
  const runs = [...worker.runs.values()].filter(run => run.phase === 'running' && run.stopReason === undefined)
  const backfillRuns = runs.filter(run => run.task.step.spec.backfill)
  if (backfillRuns.length === 0) return []
  const latencyRatio = Math.max(0, ...runs.map(latencyRatioOf))
  const changes: SpeedChange[] = []
  for (const run of backfillRuns) {
    const percent = nextSpeedPercent(run.speedPercent, latencyRatio)
    if (percent !== run.speedPercent) changes.push({ run, percent })
  }
  return changes
}

/** Ratio of a serving task's tail latency to its objective; 0 for other tasks. */
function latencyRatioOf (run: Run): number {
  const latencyTargetMs = run.task.step.spec.latencyTargetMs
  return latencyTargetMs > 0 ? run.load / latencyTargetMs : 0
}

function nextSpeedPercent (speedPercent: number, latencyRatio: number): number {
  const currentPercent = Number.isNaN(speedPercent) ? FULL_SPEED_PERCENT : speedPercent
  if (latencyRatio > PAUSE_ABOVE_RATIO) return 0
  if (latencyRatio > THROTTLE_ABOVE_RATIO) {
    const throttledPercent = Math.floor(currentPercent * THROTTLE_FACTOR)
    return throttledPercent < MIN_SPEED_PERCENT ? 0 : throttledPercent
  }
  if (latencyRatio < SPEED_UP_BELOW_RATIO) return Math.min(FULL_SPEED_PERCENT, currentPercent + SPEED_UP_STEP_PERCENT)
  return currentPercent
}
