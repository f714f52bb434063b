import type { roomHolds, workerHolds } from './holds.ts'
import { needsPermit } from './permits.ts'
import type { QueueLookup } from './step-priority.ts'
import type { Scheduler } from './scheduler.ts'
import type { Task } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** Reason why a worker gets no starts at all. */
export type UnavailableReason = keyof typeof workerHolds

/** Reason why a worker with free capacity for a task doesn't get it. */
export type LeftOutReason = UnavailableReason | keyof typeof roomHolds | 'NO_PERMIT'

/**
 * @param worker - a worker
 * @param now - time of the injected clock
 * @returns why it gets no starts, the first reason of several; undefined if it does
 */
export function unavailableReasonOf (worker: TrackedWorker, now: number): UnavailableReason | undefined {
  if (worker.ended) return 'LIFE_ENDED'
  if (!worker.fenced) return 'NOT_MET'
  if (!worker.reachable) return 'NO_ANSWER'
  if (!worker.takesCommands) return 'NO_COMMAND_CHANNEL'
  if (!worker.mayGetLeases) return 'LEASE_NOT_RECORDED'
  if (worker.hasUntrackedRuns) return 'HAS_UNTRACKED_RUNS'
  if (worker.deregistered) return 'NOT_REGISTERED'
  if (worker.registration.draining) return 'DRAINING'
  if (worker.withdrawn) return 'BEING_EMPTIED'
  if (now < worker.cooldownUntil) return 'RESTS'
  if (!worker.hasClock()) return 'NO_CLOCK'
  return undefined
}

/**
 * @param scheduler - scheduler of the service
 * @param worker - a worker with free capacity for the task
 * @param task - a task that waits
 * @param opts - `queue`: looks up queues; `now`: time of the injected clock
 * @returns why the worker doesn't get the task, the first reason of several; undefined if nothing is known to keep it from it
 */
export function leftOutReasonOf (scheduler: Scheduler, worker: TrackedWorker, task: Task, opts: { queue: QueueLookup, now: number }): LeftOutReason | undefined {
  const unavailable = unavailableReasonOf(worker, opts.now)
  if (unavailable !== undefined) return unavailable === 'BEING_EMPTIED' && scheduler.withdrawnRoom.isClaimed(worker) ? 'CLAIMED' : unavailable
  const { step } = task
  const { label, perWorker } = step.spec
  if (label !== '' && !worker.registration.labels.includes(label)) return 'NO_LABEL'
  if (perWorker > 0 && worker.runsOf(step) >= perWorker) return 'PER_WORKER'
  if (needsPermit(step, opts.queue)) {
    if (step.permits.refuses(worker)) return 'REFUSED_BY_POLICY'
    if (step.permits.permitFor(worker, opts.now) === undefined) return 'NO_PERMIT'
  }
  if (scheduler.reservations.isClosed(worker)) return 'CLOSED_BY_ISOLATED_RUN'
  return scheduler.reservations.isForAnother(worker, task) ? 'RESERVED_FOR_ANOTHER' : undefined
}
