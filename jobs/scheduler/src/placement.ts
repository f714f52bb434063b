import type { TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** Exceeds all bonuses of a score together. */
const AVOID_PENALTY = 100

/**
 * Chooses a worker for one more task of a step. Tasks are packed onto workers that are already in use, so that others
 * stay empty and their VMs can be moved to other pools. Long-running tasks, which pin a worker, are packed together.
 * @param step - the step
 * @param workers - workers that accept starts
 * @param opts - `rack`: the only rack to consider; `avoid`: ids of workers to use only if there is no other
 * @returns the worker, undefined when none has enough free capacity
 */
export function chooseWorker (step: TrackedStep, workers: readonly TrackedWorker[], opts: { rack?: string, avoid?: ReadonlySet<string> } = {}): TrackedWorker | undefined {
  let best: TrackedWorker | undefined
  let bestScore = Number.NEGATIVE_INFINITY
  for (const worker of workers) {
    if (opts.rack !== undefined && worker.registration.rack !== opts.rack) continue
    if (!canPlace(step, worker)) continue
    const score = scoreOf(step, worker) - (opts.avoid?.has(worker.registration.id) === true ? AVOID_PENALTY : 0)
    if (score > bestScore) {
      best = worker
      bestScore = score
    }
  }
  return best
}

/**
 * @param step - a step
 * @param worker - a worker that accepts starts
 * @returns whether one more task of the step can be placed on the worker
 */
export function canPlace (step: TrackedStep, worker: TrackedWorker): boolean {
  const { spec } = step
  if (spec.label !== '' && !worker.registration.labels.includes(spec.label)) return false
  if (!worker.fits(spec.demand, { backfill: spec.backfill })) return false
  return spec.perWorker === 0 || countTasksOn(step, worker) < spec.perWorker
}

/**
 * Chooses a worker to reserve for a long-running task until the task fits there. Without the reservation, small tasks
 * take all capacity that becomes free.
 * @param step - a long-running step with a task that does not fit anywhere now
 * @param workers - workers that accept starts
 * @returns the worker with the smallest shortfall, undefined when none can fit it without stopping long-running tasks
 */
export function chooseReservedWorker (step: TrackedStep, workers: readonly TrackedWorker[]): TrackedWorker | undefined {
  let best: TrackedWorker | undefined
  let least = Number.POSITIVE_INFINITY
  for (const worker of workers) {
    if (!couldFitEventually(step, worker)) continue
    const requiredShare = requiredCapacityShare(step, worker)
    if (requiredShare < least) {
      best = worker
      least = requiredShare
    }
  }
  return best
}

/** Returns whether a task of the step fits on the worker once all runs that are not long-running have ended. */
function couldFitEventually (step: TrackedStep, worker: TrackedWorker): boolean {
  const { spec } = step
  const { capacity, labels } = worker.registration
  if (spec.label !== '' && !labels.includes(spec.label)) return false
  if (spec.perWorker > 0 && countTasksOn(step, worker) >= spec.perWorker) return false
  let { cpu, memMb, accelerators } = spec.demand
  for (const { task: { step: { spec: other } } } of worker.runs.values()) {
    if (!other.lasting) continue
    cpu += other.backfill ? 0 : other.demand.cpu
    memMb += other.demand.memMb
    accelerators += other.demand.accelerators
  }
  return memMb <= capacity.memMb && accelerators <= capacity.accelerators && (spec.backfill || cpu <= capacity.cpu)
}

/** Share of the worker's CPU or memory, whichever is higher, that would be in use with one more task of the step. */
function requiredCapacityShare (step: TrackedStep, worker: TrackedWorker): number {
  const { capacity } = worker.registration
  const used = worker.used()
  const { demand, backfill } = step.spec
  const cpu = backfill || capacity.cpu === 0 ? 0 : (used.cpu + demand.cpu) / capacity.cpu
  const memMb = capacity.memMb === 0 ? 0 : (used.memMb + demand.memMb) / capacity.memMb
  return Math.max(cpu, memMb)
}

function scoreOf (step: TrackedStep, worker: TrackedWorker): number {
  const localityBonus = step.spec.dataRack !== '' && step.spec.dataRack === worker.registration.rack ? 10 : 0
  const share = worker.cpuShare()
  const failurePenalty = worker.failuresInARow
  const packingBonus = step.spec.lasting && hasLongRunningRuns(worker) ? 1 : 0
  return localityBonus + packingBonus + share - failurePenalty
}

function hasLongRunningRuns (worker: TrackedWorker): boolean {
  for (const run of worker.runs.values()) {
    if (run.task.step.spec.lasting) return true
  }
  return false
}

function countTasksOn (step: TrackedStep, worker: TrackedWorker): number {
  let count = 0
  for (const run of worker.runs.values()) {
    if (run.task.step === step) count += 1
  }
  return count
}
