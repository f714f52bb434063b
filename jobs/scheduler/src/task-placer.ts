import type { CompanyCost } from './company.ts'
import type { Reservations } from './reservations.ts'
import type { Run } from './run.ts'
import type { AccountShares } from './account-shares.ts'
import { canPlace, chooseReservedWorker, chooseWorker, FreeCapacity, rankWorkers } from './placement.ts'
import { needsIsolation } from './crash.ts'
import { needsPermit } from './permits.ts'
import type { StartLimiter } from './start-limiter.ts'
import { StepOrder } from './step-order.ts'
import type { QueueLookup } from './step-priority.ts'
import { isStartable, mayStart, type Task, type TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** Attempt numbers reserved per term, so that a term numbers its attempts above all that earlier terms may have used. */
const ATTEMPT_NUMBERS_PER_TERM = 10_000

/** Options of {@link TaskPlacer}. */
export interface TaskPlacerOpts {
  readonly queue: QueueLookup
  /** Number of this term. */
  readonly term: number
  /** Gets the workers that are kept for long-running tasks. */
  readonly reservations: Reservations
  /** Use of the client accounts; undefined where there are none. */
  readonly shares?: AccountShares | undefined
  /** Says which tasks may be started whatever room there is. */
  readonly limiter: StartLimiter
  /** What the company on a worker costs a task; undefined if that makes no difference. */
  readonly company?: CompanyCost | undefined
  /** Creates a run and reserves its capacity. */
  addRun (task: Task, worker: TrackedWorker, attempt: number): Run
  /** Undoes {@link TaskPlacerOpts.addRun}. */
  releaseRun (run: Run): void
}

/** Options of one pass. */
export interface PlacementOpts {
  /** Time of the injected clock. */
  readonly now: number
  /** Number of runs after which no further step is begun. */
  readonly maxRuns: number
  /** A worker that only long-running tasks may use. */
  readonly reserved?: TrackedWorker | undefined
}

/** Chooses workers for ready tasks, in the order of their priority. */
export class TaskPlacer {
  private readonly opts: TaskPlacerOpts
  private readonly stepOrder: StepOrder

  constructor (opts: TaskPlacerOpts) {
    this.opts = opts
    this.stepOrder = new StepOrder(opts.queue)
  }

  /**
   * Places tasks.
   * @param steps - steps with tasks to start
   * @param workers - workers that accept starts
   * @param opts - time and limits of the pass
   * @returns runs to start
   */
  place (steps: readonly TrackedStep[], workers: readonly TrackedWorker[], opts: PlacementOpts): Run[] {
    if (workers.length === 0 || opts.maxRuns <= 0) return []
    this.opts.shares?.beginPass(workers)
    const { now, maxRuns, reserved } = opts
    let usable = reserved === undefined ? workers : workers.filter(worker => worker !== reserved)
    let freeCapacity = new FreeCapacity(usable)
    const runs: Run[] = []
    const mayFit = (step: TrackedStep): boolean => freeCapacity.mayFit(step) && this.isAllowed(step)
    for (const { step, maxTasks } of this.stepOrder.turns(steps, now, { shares: this.opts.shares, mayFit })) {
      if ((!freeCapacity.mayFit(step) && !step.spec.lasting) || !this.isAllowed(step)) continue
      // What is reserved for a long-running task is room to the others: none has to wait for the work that keeps it from there.
      const open = step.spec.lasting ? workers : usable
      runs.push(...step.spec.gang ? this.placeUnsuspectedGang(step, open, now) : this.placeTasks(step, open, now, Math.min(maxTasks, maxRuns - runs.length)))
      if (runs.length >= maxRuns) break
      if (mayStart(step)) freeCapacity.update()
      if (step.spec.lasting && step.tasks.some(task => isStartable(task, now) && !needsIsolation(task)) && this.isAllowed(step)) {
        const reservedWorker = chooseReservedWorker(step, this.allowedWorkers(step, usable))
        if (reservedWorker !== undefined) this.opts.reservations.reserve(reservedWorker, step, { fromAll: false })
        usable = usable.filter(worker => worker !== reservedWorker)
        freeCapacity = new FreeCapacity(usable)
      }
    }
    return runs
  }

  /**
   * @param step - a step
   * @returns whether a task of it, or the gang that it is, may be started whatever room there is
   */
  isAllowed (step: TrackedStep): boolean {
    return this.opts.limiter.mayAdd(step, step.spec.gang ? step.tasks.length : 1)
  }

  /**
   * @param step - a step
   * @param workers - workers that accept starts
   * @param now - time of the injected clock
   * @returns those that the policy of the step's queue allows
   */
  permittedWorkers (step: TrackedStep, workers: readonly TrackedWorker[], now: number): readonly TrackedWorker[] {
    return needsPermit(step, this.opts.queue) ? workers.filter(worker => step.permits.permitFor(worker, now) !== undefined) : workers
  }

  /** Returns the workers that the policy of the step's queue allows, including those whose permits have expired for the moment. */
  private allowedWorkers (step: TrackedStep, workers: readonly TrackedWorker[]): readonly TrackedWorker[] {
    return needsPermit(step, this.opts.queue) ? workers.filter(worker => step.permits.allows(worker)) : workers
  }

  private placeTasks (step: TrackedStep, workers: readonly TrackedWorker[], now: number, maxRuns: number): Run[] {
    const runs: Run[] = []
    const permitted = this.permittedWorkers(step, workers, now)
    const { company } = this.opts
    const ranked = rankWorkers(step, permitted, { company })
    let next = 0
    for (const task of step.tasks) {
      if (runs.length >= maxRuns) break
      if (!isStartable(task, now) || needsIsolation(task)) continue
      while (ranked[next] !== undefined && !canPlace(step, ranked[next] as TrackedWorker)) next += 1
      const worker = task.failedOn.size === 0 ? ranked[next] : chooseWorker(step, permitted, { avoid: task.failedOn, company })
      if (worker === undefined || !this.isAllowed(step)) break
      runs.push(this.placeOn(task, worker))
    }
    return runs
  }

  /**
   * Starts a task on a worker.
   * @param task - a task that may be started
   * @param worker - a worker on which it can be placed
   * @returns the run to start
   */
  placeOn (task: Task, worker: TrackedWorker): Run {
    return this.opts.addRun(task, worker, this.nextAttempt([task]))
  }

  private placeUnsuspectedGang (step: TrackedStep, workers: readonly TrackedWorker[], now: number): Run[] {
    return step.suspects > 0 ? [] : this.placeGang(step, workers, now)
  }

  /**
   * Places all tasks of a gang or none.
   * @param step - a gang
   * @param workers - workers that accept starts
   * @param now - time of the injected clock
   * @returns runs to start
   */
  placeGang (step: TrackedStep, workers: readonly TrackedWorker[], now: number): Run[] {
    if (!step.tasks.every(task => isStartable(task, now)) || !this.isAllowed(step)) return []
    const attempt = this.nextAttempt(step.tasks)
    const permitted = this.permittedWorkers(step, workers, now)
    const racks = step.spec.oneRack ? [...new Set(permitted.map(worker => worker.registration.rack))] : [undefined]
    for (const rack of racks) {
      const runs: Run[] = []
      for (const task of step.tasks) {
        const worker = chooseWorker(step, permitted, { avoid: task.failedOn, company: this.opts.company, ...(rack === undefined ? {} : { rack }) })
        if (worker === undefined) break
        runs.push(this.opts.addRun(task, worker, attempt))
      }
      if (runs.length === step.tasks.length) return runs
      for (const run of runs) this.opts.releaseRun(run)
    }
    return []
  }

  private nextAttempt (tasks: readonly Task[]): number {
    const last = Math.max(...tasks.map(task => task.lastAttempt))
    return Math.max(last, this.opts.term * ATTEMPT_NUMBERS_PER_TERM) + 1
  }
}
