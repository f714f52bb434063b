import type { Task, TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

interface Reservation {
  readonly owner: Task | TrackedStep
  readonly fromAll: boolean
}

/** Workers that the latest pass has kept from tasks that would fit there: for the log, no decision rests on them. */
export class Reservations {
  private readonly reserved = new Map<TrackedWorker, Reservation>()
  private readonly closed = new Set<TrackedWorker>()

  /** Forgets those of the pass before. */
  clear (): void {
    this.reserved.clear()
    this.closed.clear()
  }

  /**
   * @param worker - a worker that is kept until a task fits there
   * @param owner - that task, or the step of which any task may have it
   * @param opts - `fromAll`: it is also kept from other long-running tasks
   */
  reserve (worker: TrackedWorker, owner: Task | TrackedStep, opts: { fromAll: boolean }): void {
    this.reserved.set(worker, { owner, ...opts })
  }

  /** @param worker - a worker that gets no other starts because of an isolated run */
  close (worker: TrackedWorker): void {
    this.closed.add(worker)
  }

  /**
   * @param worker - a worker
   * @returns whether it gets no other starts because of an isolated run
   */
  isClosed (worker: TrackedWorker): boolean {
    return this.closed.has(worker)
  }

  /**
   * @param worker - a worker
   * @param task - a task
   * @returns whether the worker is kept from the task, for another one
   */
  isForAnother (worker: TrackedWorker, task: Task): boolean {
    const reservation = this.reserved.get(worker)
    if (reservation === undefined || reservation.owner === task || reservation.owner === task.step) return false
    return reservation.fromAll || !task.step.spec.lasting
  }
}
