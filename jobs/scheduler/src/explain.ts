import type { KnownPair } from '@wisteriaslip/jobs.interference'
import { orderSteps, priorityOf, type QueueLookup } from './step-priority.ts'
import { takeTurns } from './share-turns.ts'
import { needsIsolation } from './crash.ts'
import { unavailableReasonOf } from './left-out.ts'
import { needsPermit } from './permits.ts'
import { canPlace } from './placement.ts'
import { countRoom } from './room-count.ts'
import type { Scheduler } from './scheduler.ts'
import { isWaiting, type Task, type TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** Reason why tasks of a ready step are not started. */
export type WaitReason = 'EARLIER_LEADERS_WORKERS_SILENT' | 'ACCOUNT_QUOTA' | 'NO_USABLE_WORKER' | 'NO_WORKER_WITH_LABEL' | 'ONLY_WITHDRAWN_ROOM' | 'NO_ROOM' | 'NO_PERMIT' | 'SUSPECTED_OF_CRASHES' | 'UNSETTLED_OR_RESTING'

const MAX_LISTED_TASKS = 50

/**
 * Describes the state of a job and what it waits for, from the data that its leader bases its decisions on.
 * @param scheduler - scheduler of the job's service
 * @param id - id of the job
 * @param opts - `queue`: looks up queues; `now`: time of the injected clock
 * @returns the description, undefined when the job is not tracked
 */
export function explainJob (scheduler: Scheduler, id: string, opts: { queue: QueueLookup, now: number }): Record<string, unknown> | undefined {
  const tracked = scheduler.table.jobs.get(id)
  if (tracked === undefined) return undefined
  const sortedSteps = [...takeTurns(orderSteps(scheduler.table.ready, opts), { priorityOf: step => priorityOf(step, opts), shares: scheduler.table.shares })].map(({ step }) => step)
  const occurrences = [...tracked.occurrences.values()].map(occurrence => ({
    number: occurrence.number,
    steps: occurrence.steps.map(step => explainStep(scheduler, step, sortedSteps, opts))
  }))
  return {
    id,
    queue: tracked.job.queue,
    state: scheduler.table.stateOf(id),
    failure: tracked.failure,
    outcomeWaitsForStore: tracked.outcome !== tracked.durableOutcome,
    heardMsAgo: Math.round(opts.now - tracked.firstSeenAt),
    waitedMs: tracked.waitedMs,
    ...(tracked.job.account === undefined ? {} : { share: scheduler.table.shares?.explain(tracked) }),
    acceptedInThisTerm: tracked.acceptedThisTerm,
    occurrences
  }
}

/**
 * Describes the state of a worker.
 * @param scheduler - scheduler of its service
 * @param name - id of the worker or of its VM
 * @param now - time of the injected clock
 * @returns the description, undefined when there is no such worker
 */
export function explainWorker (scheduler: Scheduler, name: string, now: number): Record<string, unknown> | undefined {
  const worker = [...scheduler.workers.values()].find(({ registration }) => registration.id === name || registration.vm === name)
  if (worker === undefined) return undefined
  return {
    id: worker.registration.id,
    vm: worker.registration.vm,
    takesStarts: worker.takesStarts(now),
    why: unavailableReasonOf(worker, now),
    lastAnswerMsAgo: worker.lastResponseAt === undefined ? undefined : Math.round(now - worker.lastResponseAt),
    failuresInARow: worker.failuresInARow,
    used: worker.used(),
    capacity: worker.registration.capacity,
    endsNotDurable: worker.pendingCompletions.size,
    runs: [...worker.runs.values()].slice(0, MAX_LISTED_TASKS).map(({ task, attempt, phase, percent, stopReason }) => ({ task: task.name, attempt, phase, percent, stopReason })),
    ...explainCompany(scheduler, worker)
  }
}

/** Describes the pairs of images that are kept apart of which the worker runs one, and the figures of its serving tasks; nothing if there is none. */
function explainCompany (scheduler: Scheduler, worker: TrackedWorker): Record<string, unknown> {
  const pairs = scheduler.company.pairsOf(worker)
  if (pairs.length === 0) return {}
  const serving = [...worker.runs.values()].filter(({ task }) => task.step.spec.latencyTargetMs > 0)
  return {
    keptApart: pairs.map(explainPair),
    serving: serving.slice(0, MAX_LISTED_TASKS).map(({ task, load }) => ({ task: task.name, image: task.step.spec.image, tailMs: load, objectiveMs: task.step.spec.latencyTargetMs }))
  }
}

/**
 * @param pair - two images of which one slows the other down
 * @returns its description, with figures in whole numbers
 */
export function explainPair ({ image, on, rise, confidence, workers, ageMs }: KnownPair): Record<string, unknown> {
  return { image, slowsDown: on, byPercent: Math.round(100 * rise), surePercent: Math.round(100 * confidence), seenOnWorkers: workers, ageMs: Math.round(ageMs) }
}

function explainStep (scheduler: Scheduler, step: TrackedStep, sortedSteps: readonly TrackedStep[], opts: { queue: QueueLookup, now: number }): Record<string, unknown> {
  const position = sortedSteps.indexOf(step)
  const waiting = position < 0 ? undefined : step.tasks.find(isWaiting)
  const quota = waiting === undefined ? undefined : scheduler.limiter.whyNot(step)
  return {
    number: step.number,
    tasks: step.tasks.length,
    left: step.left,
    after: step.spec.after,
    ...(position < 0 ? {} : { placeInOrder: position }),
    ...(waiting === undefined ? {} : { waitsFor: waitReasonOf(scheduler, step, opts), room: countRoom(scheduler, waiting, opts) }),
    ...(quota === undefined ? {} : { quota }),
    underWay: step.tasks.filter(task => !task.done && (task.runs.length > 0 || task.failedAttempts.length > 0 || task.crashes.length > 0)).slice(0, MAX_LISTED_TASKS).map(task => explainTask(scheduler, task, opts.now))
  }
}

function explainTask (scheduler: Scheduler, task: Task, now: number): Record<string, unknown> {
  return {
    task: task.name,
    ...explainHold(scheduler, task, now),
    failedAttempts: task.failedAttempts,
    crashes: task.crashes,
    runs: task.runs.map(({ worker, attempt, phase, percent, stopReason }) => ({ worker: worker.registration.id, attempt, phase, percent, stopReason }))
  }
}

/** A delay of a task's own, beside its runs. */
export interface TaskHold {
  /** For how long it still waits after a failed or refused start. */
  readonly restsMs?: number
  /** It may have crashed its workers: for how long its job's suspected tasks have waited, and whether the crashes are stored. */
  readonly isolation?: { readonly crashes: number, readonly waitedMs: number | undefined, readonly stored: boolean }
}

/**
 * @param scheduler - scheduler of the service
 * @param task - a task
 * @param now - time of the injected clock
 * @returns what keeps the task from being started anywhere
 */
export function explainHold (scheduler: Scheduler, task: Task, now: number): TaskHold {
  const { job } = task.step
  return {
    ...(task.retryAt > now ? { restsMs: Math.round(task.retryAt - now) } : {}),
    ...(needsIsolation(task) ? { isolation: { crashes: task.crashes.length, waitedMs: scheduler.isolation.waitOf(job, now), stored: job.areCrashesDurable() } } : {})
  }
}

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
