import type { Resources } from '@wisteriaslip/jobs.model'
import { canPlace } from './placement.ts'
import type { TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

interface Promised {
  readonly demands: Resources[]
  readonly steps: Map<TrackedStep, number>
}

/** Free capacity of workers, less what has been promised of it, so that several tasks do not count on the same room. */
export class Room {
  private readonly workers: readonly TrackedWorker[]
  private readonly promised = new Map<TrackedWorker, Promised>()

  /** @param workers - workers that accept starts */
  constructor (workers: readonly TrackedWorker[]) {
    this.workers = workers
  }

  /**
   * Promises room to one more task of a step.
   * @param step - the step
   * @param mayTake - whether the policy of the step's queue allows a worker; by default it allows all
   * @returns whether there is room for it beside all that has been promised
   */
  promise (step: TrackedStep, mayTake?: (worker: TrackedWorker) => boolean): boolean {
    return this.take(step, mayTake) !== undefined
  }

  /**
   * Promises room to one more task of a step.
   * @param step - the step
   * @param mayTake - whether the policy of the step's queue allows a worker; by default it allows all
   * @returns the worker with the room, undefined if there is none beside all that has been promised
   */
  take (step: TrackedStep, mayTake: (worker: TrackedWorker) => boolean = () => true): TrackedWorker | undefined {
    const worker = this.workers.find(each => mayTake(each) && canPlace(step, each) && this.hasRoomLeft(step, each))
    if (worker === undefined) return undefined
    const promised = this.promised.get(worker) ?? { demands: [], steps: new Map<TrackedStep, number>() }
    promised.demands.push(step.spec.demand)
    promised.steps.set(step, (promised.steps.get(step) ?? 0) + 1)
    this.promised.set(worker, promised)
    return worker
  }

  private hasRoomLeft (step: TrackedStep, worker: TrackedWorker): boolean {
    const promised = this.promised.get(worker)
    if (promised === undefined) return true
    const { demand, backfill, perWorker } = step.spec
    const total = { ...demand }
    for (const { cpu, memMb, accelerators } of promised.demands) {
      total.cpu += cpu
      total.memMb += memMb
      total.accelerators += accelerators
    }
    return worker.fits(total, { backfill }) && (perWorker === 0 || worker.runsOf(step) + (promised.steps.get(step) ?? 0) < perWorker)
  }
}
