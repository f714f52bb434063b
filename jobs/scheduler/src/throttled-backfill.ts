import type { CompanyCost } from './company.ts'
import { canPlace } from './placement.ts'
import type { Run } from './run.ts'
import type { TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** Speed up to which a run counts as throttled, in percent of full speed. */
const THROTTLED_PERCENT = 50
/** For how long a run must have been throttled without a break: what disturbs changes within seconds, and a move costs work. */
const MIN_THROTTLED_MS = 5_000
/** Gap between two moves of a service: the room that the first takes is seen by then. */
const MIN_MOVE_GAP_MS = 1_000
/** A task is moved at most this often, whether as slow or for its company. */
const MAX_MOVES = 1

/** Options of {@link ThrottledBackfill}. */
export interface ThrottledBackfillOpts {
  readonly workers: ReadonlyMap<string, TrackedWorker>
  readonly company: CompanyCost
  /** @returns whether a run of the step may be replaced by one on the worker, by its account's quota and the policy of its queue */
  mayTake (step: TrackedStep, worker: TrackedWorker, now: number): boolean
}

/** Finds backfill runs that have been throttled for long beside tasks that they are known to disturb, and that would disturb nobody elsewhere. */
export class ThrottledBackfill {
  private readonly opts: ThrottledBackfillOpts
  private readonly throttledSince = new WeakMap<Run, number>()
  private movedAt = Number.NEGATIVE_INFINITY

  /** @param opts - workers, what their company costs, and where a step may run */
  constructor (opts: ThrottledBackfillOpts) {
    this.opts = opts
  }

  /**
   * Must be called with each report of the worker.
   * @param worker - a worker
   * @param now - time of the injected clock
   * @returns a run to stop, so that its task is started elsewhere; its checkpoint saves the work. Undefined if none is to be moved now
   */
  findRunToMove (worker: TrackedWorker, now: number): Run | undefined {
    let found: Run | undefined
    for (const run of worker.runs.values()) {
      if (!run.task.step.spec.backfill || !this.noteSpeed(run, now)) continue
      if (now - this.movedAt >= MIN_MOVE_GAP_MS && mayMove(run) && this.hasBetterWorker(run, now)) found ??= run
    }
    if (found === undefined) return undefined
    this.movedAt = now
    found.task.slowRestarts += 1
    return found
  }

  /** Returns whether the run has been throttled for long. */
  private noteSpeed (run: Run, now: number): boolean {
    if (!(run.speedPercent <= THROTTLED_PERCENT)) {
      this.throttledSince.delete(run)
      return false
    }
    const since = this.throttledSince.get(run) ?? now
    this.throttledSince.set(run, since)
    return now - since >= MIN_THROTTLED_MS
  }

  private hasBetterWorker ({ task: { step }, worker }: Run, now: number): boolean {
    const { workers, company, mayTake } = this.opts
    if (!company.concerns(step) || company.costOf(step, worker) === 0) return false
    return [...workers.values()].some(other => other !== worker && other.takesStarts(now) && other.failuresInARow === 0 && canPlace(step, other) && company.costOf(step, other) === 0 && mayTake(step, other, now))
  }
}

/** Long-running tasks stay, as others count on them, and so do gangs; without a checkpoint the work would be lost. */
function mayMove ({ task, phase, stopReason }: Run): boolean {
  const { spec } = task.step
  return phase === 'running' && stopReason === undefined && spec.checkpoints && task.checkpoint !== '' && !spec.lasting && !spec.gang && task.slowRestarts < MAX_MOVES
}
