import { countUnavailableTasks } from './availability.ts'
import { Room } from './room.ts'
import type { Run } from './run.ts'
import type { TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

const STOP_REASON = 'worker withdrawn'

/** What the stops of long-running tasks depend on. */
export interface MoveOpts {
  /** Other workers that accept starts. */
  readonly others: readonly TrackedWorker[]
  readonly ready: Iterable<TrackedStep>
  /** Runs that are being stopped. */
  readonly stopping: Iterable<Run>
  /** @returns whether the policy of the step's queue allows the worker */
  mayTake (step: TrackedStep, worker: TrackedWorker): boolean
  stop (run: Run, reason: string): void
}

/**
 * Stops long-running tasks on a withdrawn worker, as many as their steps' `mayMiss` allows now and only for room elsewhere that no
 * other long-running task needs.
 * @param worker - the withdrawn worker
 * @param opts - other workers, tasks and stops
 */
export function moveLongRunningTasks (worker: TrackedWorker, opts: MoveOpts): void {
  let room: Room | undefined
  for (const run of worker.runs.values()) {
    const { step } = run.task
    if (!step.spec.lasting || run.stopReason !== undefined || run.phase !== 'running') continue
    if (countUnavailableTasks(step) >= step.spec.mayMiss) continue
    room ??= unclaimedRoom(opts)
    if (room.promise(step, other => opts.mayTake(step, other))) opts.stop(run, STOP_REASON)
  }
}

/** Returns the room on the other workers that no long-running task needs which waits, or is being stopped to move there. */
function unclaimedRoom ({ others, ready, stopping, mayTake }: MoveOpts): Room {
  const room = new Room(others)
  for (const step of ready) {
    for (let claimed = 0; step.spec.lasting && claimed < step.waiting && room.promise(step, worker => mayTake(step, worker));) claimed += 1
  }
  for (const run of stopping) {
    if (run.stopReason === STOP_REASON && run.task.step.spec.lasting) room.promise(run.task.step, worker => mayTake(run.task.step, worker))
  }
  return room
}
