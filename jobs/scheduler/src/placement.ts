import type { Resources } from '@wisteriaslip/jobs.model'
import type { CompanyCost } from './company.ts'
import type { TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** Exceeds all bonuses of a score together. */
const AVOID_PENALTY = 100
/** Exceeds what packing is worth, and is below the bonus of the rack that holds the data. */
const COMPANY_PENALTY = 3

/** Options of {@link rankWorkers}. */
export interface RankOpts {
  /** What a worker's company costs the task; undefined if that makes no difference. */
  readonly company?: CompanyCost | undefined
}

/** Options of {@link chooseWorker}. */
export interface ChoiceOpts extends RankOpts {
  /** The only rack to consider. */
  readonly rack?: string
  /** Ids of workers to use only if there is no other. */
  readonly avoid?: ReadonlySet<string>
}

/**
 * Chooses a worker for one more task of a step. Tasks are packed onto workers that are already in use, so that others
 * stay empty and their VMs can be moved to other pools. Long-running tasks, which pin a worker, are packed together.
 * @param step - the step
 * @param workers - workers that accept starts
 * @param opts - which workers to consider or avoid, and for which reasons
 * @returns the worker, undefined when none has enough free capacity
 */
export function chooseWorker (step: TrackedStep, workers: readonly TrackedWorker[], opts: ChoiceOpts = {}): TrackedWorker | undefined {
  const company = companyThatCounts(step, opts)
  let best: TrackedWorker | undefined
  let bestScore = Number.NEGATIVE_INFINITY
  for (const worker of workers) {
    if (opts.rack !== undefined && worker.registration.rack !== opts.rack) continue
    if (!canPlace(step, worker)) continue
    const score = scoreOf(step, worker, company) - (opts.avoid?.has(worker.registration.id) === true ? AVOID_PENALTY : 0)
    if (score > bestScore) {
      best = worker
      bestScore = score
    }
  }
  return best
}

/**
 * Ranks the workers on which a task of a step can be placed. As a task that is placed on a worker only raises the worker's
 * score, its next tasks belong on the same worker until none fits there: ranking once gives the same placements as
 * choosing a worker for each task. What its company costs doesn't change with it, as runs of the step's own image make no difference.
 * @param step - the step
 * @param workers - workers that accept starts
 * @param opts - what counts beside room
 * @returns the workers, best first
 */
export function rankWorkers (step: TrackedStep, workers: readonly TrackedWorker[], opts: RankOpts = {}): TrackedWorker[] {
  const company = companyThatCounts(step, opts)
  const ranked: Array<{ worker: TrackedWorker, score: number }> = []
  for (const worker of workers) {
    if (canPlace(step, worker)) ranked.push({ worker, score: scoreOf(step, worker, company) })
  }
  return ranked.sort((a, b) => b.score - a.score).map(({ worker }) => worker)
}

/** The largest free capacity of any worker, to see without a look at each worker that a task fits nowhere. */
export class FreeCapacity {
  private readonly workers: readonly TrackedWorker[]
  private cpu = 0
  private memMb = 0
  private accelerators = 0

  /** @param workers - workers that accept starts */
  constructor (workers: readonly TrackedWorker[]) {
    this.workers = workers
    this.update()
  }

  /** Takes account of tasks that were placed. Until then the capacity may be less than assumed, never more. */
  update (): void {
    this.cpu = this.memMb = this.accelerators = 0
    for (const worker of this.workers) {
      const free = worker.free()
      this.cpu = Math.max(this.cpu, free.cpu)
      this.memMb = Math.max(this.memMb, free.memMb)
      this.accelerators = Math.max(this.accelerators, free.accelerators)
    }
  }

  /**
   * @param step - a step
   * @returns false if a task of it certainly fits nowhere
   */
  mayFit (step: TrackedStep): boolean {
    const { demand, backfill } = step.spec
    return (backfill || demand.cpu <= this.cpu) && demand.memMb <= this.memMb && demand.accelerators <= this.accelerators
  }
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
  return spec.perWorker === 0 || worker.runsOf(step) < spec.perWorker
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
  for (const worker of step.spec.gang ? workersThatFitGang(step, workers) : workers) {
    if (!couldFitEventually(step, worker)) continue
    const requiredShare = requiredCapacityShare(step, worker)
    if (requiredShare < least) {
      best = worker
      least = requiredShare
    }
  }
  return best
}

/**
 * @param step - a step
 * @param worker - a worker
 * @returns whether a task of the step fits on the worker once all runs that are not long-running have ended
 */
export function couldFitEventually (step: TrackedStep, worker: TrackedWorker): boolean {
  const { spec } = step
  const { capacity, labels } = worker.registration
  if (spec.label !== '' && !labels.includes(spec.label)) return false
  if (spec.perWorker > 0 && worker.runsOf(step) >= spec.perWorker) return false
  const { demand } = spec
  const held = lastingDemand(worker)
  if (held.memMb + demand.memMb > capacity.memMb || held.accelerators + demand.accelerators > capacity.accelerators) return false
  return spec.backfill || held.cpu + demand.cpu <= capacity.cpu
}

/** Returns the workers, of those of its rack if it needs one rack, that could take a gang together once all runs that are not long-running have ended. */
function workersThatFitGang (step: TrackedStep, workers: readonly TrackedWorker[]): readonly TrackedWorker[] {
  const groups = new Map<string, TrackedWorker[]>()
  for (const worker of workers) {
    const name = step.spec.oneRack ? worker.registration.rack : ''
    groups.set(name, [...groups.get(name) ?? [], worker])
  }
  const fitting = [...groups.values()].filter(group => group.reduce((sum, worker) => sum + eventualPlaces(step, worker), 0) >= step.tasks.length)
  return fitting.flat()
}

/** Returns how many tasks of a step the worker could take once all runs that are not long-running have ended. */
function eventualPlaces (step: TrackedStep, worker: TrackedWorker): number {
  const { perWorker } = step.spec
  if (!couldFitEventually(step, worker)) return 0
  const { capacity } = worker.registration
  const held = lastingDemand(worker)
  const free = { cpu: capacity.cpu - held.cpu, memMb: capacity.memMb - held.memMb, accelerators: capacity.accelerators - held.accelerators }
  return Math.min(perWorker > 0 ? perWorker - worker.runsOf(step) : Infinity, placesIn(step, free))
}

/**
 * @param step - a step
 * @param free - free capacity
 * @returns how many of its tasks fit into the capacity
 */
export function placesIn (step: TrackedStep, free: Resources): number {
  const { demand, backfill } = step.spec
  const places = [
    backfill || demand.cpu === 0 ? Infinity : free.cpu / demand.cpu,
    demand.memMb === 0 ? Infinity : free.memMb / demand.memMb,
    demand.accelerators === 0 ? Infinity : free.accelerators / demand.accelerators
  ]
  return Math.max(0, Math.floor(Math.min(...places)))
}

/** Returns what the long-running tasks on a worker take. */
function lastingDemand (worker: TrackedWorker): Resources {
  const total = { cpu: 0, memMb: 0, accelerators: 0 }
  for (const { task: { step: { spec } } } of worker.runs.values()) {
    if (!spec.lasting) continue
    total.cpu += spec.backfill ? 0 : spec.demand.cpu
    total.memMb += spec.demand.memMb
    total.accelerators += spec.demand.accelerators
  }
  return total
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

function companyThatCounts (step: TrackedStep, { company }: RankOpts): CompanyCost | undefined {
  return company?.concerns(step) === true ? company : undefined
}

/** Returns what the company on a worker takes off its score. Failures come first: a worker with any is no better than the worst company. */
function companyPenalty (step: TrackedStep, worker: TrackedWorker, company: CompanyCost | undefined): number {
  if (company === undefined) return 0
  return COMPANY_PENALTY * (worker.failuresInARow > 0 ? 1 : company.costOf(step, worker))
}

function scoreOf (step: TrackedStep, worker: TrackedWorker, company: CompanyCost | undefined): number {
  const localityBonus = step.spec.dataRack !== '' && step.spec.dataRack === worker.registration.rack ? 10 : 0
  const share = worker.cpuShare()
  const failurePenalty = worker.failuresInARow
  const packingBonus = step.spec.lasting && worker.lastingRuns() > 0 ? 1 : 0
  return localityBonus + packingBonus + share - failurePenalty - companyPenalty(step, worker, company)
}
