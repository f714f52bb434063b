import type { TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

const AVOID_PENALTY = 100

/**
 * Chooses a worker for one more task of a step. Tasks fill workers that are already in use, so that others stay empty
 * and can be given away; lasting tasks, which pin a worker, go where others of their kind are.
 * @param step - the step
 * @param workers - workers that take starts
 * @param opts - the only rack to look at; workers to be taken only if there are no others
 * @returns the worker, undefined when none has room
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
 * @param worker - a worker that takes starts
 * @returns whether one more task of the step may be placed there
 */
export function canPlace (step: TrackedStep, worker: TrackedWorker): boolean {
  const { spec } = step
  if (spec.label !== '' && !worker.registration.labels.includes(spec.label)) return false
  if (!worker.fits(spec.demand, { backfill: spec.backfill })) return false
  return spec.perWorker === 0 || countTasksOn(step, worker) < spec.perWorker
}

/**
 * Chooses a worker that is to take nothing else until a lasting task finds room there: small tasks would take each bit
 * that frees.
 * @param step - a lasting step with a task that fits nowhere now
 * @param workers - workers that take starts
 * @returns the worker that lacks least room, undefined when none could have it without stopping lasting tasks
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

/** Whether the step may run there once all that ends by itself has ended. */
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

/** Largest share of its capacity that a worker lacks for a task of the step. */
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
