import { needsIsolation } from './crash.ts'
import type { stepHolds } from './holds.ts'
import { needsPermit } from './permits.ts'
import { canPlace } from './placement.ts'
import type { Scheduler } from './scheduler.ts'
import type { QueueLookup } from './step-priority.ts'
import type { TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** Reason why tasks of a ready step are not started. */
export type WaitReason = keyof typeof stepHolds

/**
 * @param scheduler - scheduler of the service
 * @param step - a ready step
 * @param opts - `queue`: looks up queues; `now`: time of the injected clock
 * @returns why tasks of the step are not started
 */
export function waitReasonOf (scheduler: Scheduler, step: TrackedStep, opts: { queue: QueueLookup, now: number }): WaitReason {
  if (scheduler.mayHaveUnknownRuns() && !step.job.acceptedThisTerm) return 'EARLIER_LEADERS_WORKERS_SILENT'
  if (scheduler.limiter.whyNot(step) !== undefined) return 'ACCOUNT_QUOTA'
  const usable = [...scheduler.workers.values()].filter(worker => worker.takesStarts(opts.now))
  if (!usable.some(worker => canPlace(step, worker)) && withdrawnWithRoom(scheduler, step, opts.now).length > 0) return 'ONLY_WITHDRAWN_ROOM'
  if (usable.length === 0) return 'NO_USABLE_WORKER'
  const labelled = usable.filter(worker => step.spec.label === '' || worker.registration.labels.includes(step.spec.label))
  if (labelled.length === 0) return 'NO_WORKER_WITH_LABEL'
  const withCapacity = labelled.filter(worker => canPlace(step, worker))
  if (withCapacity.length === 0) return 'NO_ROOM'
  if (needsPermit(step, opts.queue) && !withCapacity.some(worker => step.permits.permitFor(worker, opts.now) !== undefined)) return 'NO_PERMIT'
  const waiting = step.tasks.filter(task => !task.done && task.runs.length === 0)
  return waiting.length > 0 && waiting.every(needsIsolation) ? 'SUSPECTED_OF_CRASHES' : 'UNSETTLED_OR_RESTING'
}

/**
 * @param scheduler - scheduler of the service
 * @param step - a step
 * @param now - time of the injected clock
 * @returns withdrawn workers that could take a task of the step now
 */
export function withdrawnWithRoom (scheduler: Scheduler, step: TrackedStep, now: number): TrackedWorker[] {
  return [...scheduler.workers.values()].filter(worker => worker.withdrawn && worker.isReadyForStarts(now) && canPlace(step, worker))
}
