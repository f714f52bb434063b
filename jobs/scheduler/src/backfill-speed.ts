import type { Run } from './run.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** Above this share of its target a serving task's neighbours are slowed, below the other they get speed back. */
const SLOW_ABOVE = 0.9
const STOP_ABOVE = 1.1
const GIVE_BACK_BELOW = 0.7
const SLOW_FACTOR = 0.5
const LEAST_PERCENT = 5
const GIVE_BACK_PERCENT = 10
const FULL_PERCENT = 100

/** A change of a run's speed. */
export interface SpeedChange {
  readonly run: Run
  readonly percent: number
}

/**
 * Chooses the speed of the tasks that use left-over processor time, from the response times of those that serve beside
 * them. Called once for each report of the worker.
 * @param worker - with what it last reported
 * @returns the changes
 */
export function chooseBackfillSpeeds (worker: TrackedWorker): SpeedChange[] {
  const runs = [...worker.runs.values()].filter(run => run.phase === 'running' && run.stopReason === undefined)
  const fillers = runs.filter(run => run.task.step.spec.backfill)
  if (fillers.length === 0) return []
  const strain = Math.max(0, ...runs.map(strainOf))
  const changes: SpeedChange[] = []
  for (const run of fillers) {
    const percent = nextPercent(run.speedPercent, strain)
    if (percent !== run.speedPercent) changes.push({ run, percent })
  }
  return changes
}

/** Share of its target that a serving task's response time takes; 0 for others. */
function strainOf (run: Run): number {
  const target = run.task.step.spec.latencyTargetMs
  return target > 0 ? run.load / target : 0
}

function nextPercent (pace: number, strain: number): number {
  const present = Number.isNaN(pace) ? FULL_PERCENT : pace
  if (strain > STOP_ABOVE) return 0
  if (strain > SLOW_ABOVE) {
    const slower = Math.floor(present * SLOW_FACTOR)
    return slower < LEAST_PERCENT ? 0 : slower
  }
  if (strain < GIVE_BACK_BELOW) return Math.min(FULL_PERCENT, present + GIVE_BACK_PERCENT)
  return present
}
