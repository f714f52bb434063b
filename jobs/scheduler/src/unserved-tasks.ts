import { countRoom, type RoomCount } from './room-count.ts'
import type { Scheduler } from './scheduler.ts'
import { describeHolds, type HoldOpts, type TaskHolds } from './task-holds.ts'
import type { Task } from './tracked-job.ts'
import { withdrawnWithRoom } from './wait-reason.ts'

/** A long-running task that no worker is known to run, and what keeps it from running. */
export interface UnservedTask extends TaskHolds {
  readonly task: string
  /** How long ago its job was accepted, or its occurrence became due, if that was later. */
  readonly acceptedMsAgo: number
  /** A run of it was known in this term: without one it may have been without a run since before the term. */
  readonly ranInThisTerm: boolean
  /** Runs that may be in progress. */
  readonly runs: ReadonlyArray<{ readonly worker: string, readonly attempt: number, readonly phase: string, readonly stopReason: string | undefined, readonly startedMsAgo: number, readonly stopAcknowledged: boolean }>
  /** Room that the service has for it, and why it isn't used; undefined while it has runs that may be in progress. */
  readonly room: RoomCount | undefined
  /** Withdrawn workers with room for it: since when they are withdrawn, and when the fleet's leader last asked for that. */
  readonly withdrawnWithRoom: ReadonlyArray<{ readonly worker: string, readonly withdrawnMs?: number, readonly askedMsAgo?: number }>
}

const MAX_LISTED_WORKERS = 5

/**
 * @param scheduler - scheduler of a service
 * @returns the ready long-running tasks without a run that a worker in touch has shown
 */
export function findUnserved (scheduler: Scheduler): Task[] {
  const lasting = [...scheduler.table.ready].filter(step => step.spec.lasting)
  return lasting.flatMap(step => step.tasks.filter(task => !task.done && !task.runs.some(run => run.phase === 'running' && run.worker.reachable)))
}

/**
 * @param scheduler - scheduler of the service
 * @param task - a task without a run that a worker in touch has shown
 * @param opts - as for {@link describeHolds}
 * @returns what keeps it from running
 */
export function describeUnserved (scheduler: Scheduler, task: Task, opts: HoldOpts): UnservedTask {
  const withRoom = withdrawnWithRoom(scheduler, task.step, opts.now)
  const waits = task.runs.length === 0
  return {
    task: task.name,
    acceptedMsAgo: scheduler.table.acceptedMsAgo(task.step),
    ranInThisTerm: task.runs.length > 0 || task.idleSince !== undefined,
    ...describeHolds(scheduler, task, opts),
    room: waits ? countRoom(scheduler, task, opts) : undefined,
    runs: task.runs.map(({ worker, attempt, phase, stopReason, startedAt, stopAcknowledgedAt }) => ({ worker: worker.registration.id, attempt, phase, stopReason, startedMsAgo: Math.round(opts.now - startedAt), stopAcknowledged: stopAcknowledgedAt !== undefined })),
    withdrawnWithRoom: withRoom.slice(0, MAX_LISTED_WORKERS).map(worker => ({ worker: worker.registration.id, ...worker.withdrawalAges(opts.now) }))
  }
}
