import { InterferenceModel, type KnownPair, type ObservedRun, type PairChange } from '@wisteriaslip/jobs.interference'
import { SERVING_PERCENT } from './availability.ts'
import type { Run } from './run.ts'
import type { TrackedStep } from './tracked-job.ts'
import { runKey, type TrackedWorker } from './tracked-worker.ts'

/** Ratios of a tail latency to its objective up to which, and from which on, a disturbance costs least and most. */
const CALM_RATIO = 0.5
const NEAR_OBJECTIVE_RATIO = 0.9
const MIN_COST = 0.1
const MAX_EXPLAINED_PAIRS = 20

/** What it costs to place a task beside those that already run on a worker. */
export interface CompanyCost {
  /**
   * @param step - a step
   * @returns false if no task is known to disturb its tasks or to be disturbed by them, so that all workers cost the same
   */
  concerns (step: TrackedStep): boolean
  /**
   * @param step - a step
   * @param worker - a worker
   * @returns how much a task of the step and those on the worker would disturb each other: 0 for not at all, to 1. Runs of the step's own image
   * make no difference.
   */
  costOf (step: TrackedStep, worker: TrackedWorker): number
}

/** Learns from reports which tasks slow each other down, and tells what a worker's company costs a task. */
export class Company implements CompanyCost {
  private readonly model = new InterferenceModel()

  /**
   * Learns from a worker's report, once it is applied to its runs.
   * @param worker - the worker
   * @param now - when the report was received, by the injected clock
   */
  observe (worker: TrackedWorker, now: number): void {
    const runs = [...worker.runs.values()]
    if (!runs.some(run => servesWithImage(run))) return
    const observed = runs.filter(isAtWork).map(toObserved)
    this.model.observe(worker.registration.id, observed, now, { slow: now < worker.cooldownUntil })
  }

  concerns (step: TrackedStep): boolean {
    return this.model.concerns(step.spec.image)
  }

  costOf (step: TrackedStep, worker: TrackedWorker): number {
    let cost = 0
    for (const run of worker.runs.values()) {
      if (run.stopReason === undefined) cost = Math.max(cost, this.costBeside(step, run))
    }
    return cost
  }

  /** @returns the pairs that are kept apart, the strongest first */
  pairs (): readonly KnownPair[] {
    return this.model.known()
  }

  /**
   * @param worker - a worker
   * @returns the pairs that are kept apart of which it runs one, the strongest first
   */
  pairsOf (worker: TrackedWorker): readonly KnownPair[] {
    if (!this.model.knowsAny()) return []
    const images = new Set([...worker.runs.values()].map(({ task }) => task.step.spec.image))
    return this.model.known().filter(({ image, on }) => images.has(image) || images.has(on)).slice(0, MAX_EXPLAINED_PAIRS)
  }

  /** @returns the pairs that were found or dropped since the previous call */
  takeChanges (): readonly PairChange[] {
    return this.model.takeChanges()
  }

  private costBeside (step: TrackedStep, run: Run): number {
    const { spec } = step
    const other = run.task.step.spec
    if (other.image === spec.image) return 0
    const onOther = other.latencyTargetMs > 0 ? this.model.effectOf(spec.image, other.image) : undefined
    const onOwn = spec.latencyTargetMs > 0 ? this.model.effectOf(other.image, spec.image) : undefined
    const costOnOther = onOther === undefined ? 0 : costOfRatio(run.load / other.latencyTargetMs * (1 + onOther.rise))
    // Where the task's own figure will be isn't known before it serves.
    return Math.max(costOnOther, onOwn === undefined ? 0 : atLeastMin(onOwn.rise))
  }
}

function servesWithImage ({ task: { step: { spec } } }: Run): boolean {
  return spec.latencyTargetMs > 0 && spec.image !== ''
}

function isAtWork (run: Run): boolean {
  return run.phase === 'running' && run.task.step.spec.image !== ''
}

function toObserved (run: Run): ObservedRun {
  const { step, name } = run.task
  const isServing = servesWithImage(run) && run.percent >= SERVING_PERCENT
  return {
    key: runKey(name, run.attempt),
    image: step.spec.image,
    group: `${step.job.job.id}.${step.occurrence.number}.${step.number}`,
    tailMs: isServing ? run.load : 0,
    activity: step.spec.latencyTargetMs > 0 ? 1 : activityOf(run)
  }
}

/** Share of its cpu demand that a run uses: one that gets no idle time, or is throttled, disturbs less. */
function activityOf ({ load, speedPercent, task: { step: { spec: { demand } } } }: Run): number {
  if (demand.cpu > 0) return Math.min(1, load / demand.cpu)
  return Number.isNaN(speedPercent) ? 1 : speedPercent / 100
}

/** Returns what a tail latency in this ratio to its objective costs. */
function costOfRatio (ratio: number): number {
  return atLeastMin((ratio - CALM_RATIO) / (NEAR_OBJECTIVE_RATIO - CALM_RATIO))
}

function atLeastMin (cost: number): number {
  return Math.max(MIN_COST, Math.min(1, cost))
}
