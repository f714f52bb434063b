import type { KnownPair } from '@wisteriaslip/jobs.interference'
import { orderSteps, priorityOf, type QueueLookup } from './step-priority.ts'
import { takeTurns } from './share-turns.ts'
import { unavailableReasonOf } from './left-out.ts'
import { countRoom } from './room-count.ts'
import type { Scheduler } from './scheduler.ts'
import { describeHolds } from './task-holds.ts'
import { isWaiting, type Task, type TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

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
  return {
    number: step.number,
    tasks: step.tasks.length,
    left: step.left,
    after: step.spec.after,
    ...(position < 0 ? {} : { placeInOrder: position }),
    ...(waiting === undefined ? {} : explainWait(scheduler, waiting, opts)),
    underWay: step.tasks.filter(task => !task.done && (task.runs.length > 0 || task.failedAttempts.length > 0 || task.crashes.length > 0)).slice(0, MAX_LISTED_TASKS).map(task => explainTask(scheduler, task, opts))
  }
}

function explainWait (scheduler: Scheduler, task: Task, opts: { queue: QueueLookup, now: number }): Record<string, unknown> {
  const { waitsFor, holds, quota } = describeHolds(scheduler, task, opts)
  return { waitsFor, room: countRoom(scheduler, task, opts), holds, ...(quota === undefined ? {} : { quota }) }
}

function explainTask (scheduler: Scheduler, task: Task, opts: { queue: QueueLookup, now: number }): Record<string, unknown> {
  const { restsMs, isolation, holds } = describeHolds(scheduler, task, opts)
  return {
    task: task.name,
    ...(restsMs === undefined ? {} : { restsMs }),
    ...(isolation === undefined ? {} : { isolation }),
    ...(holds.length === 0 ? {} : { holds }),
    failedAttempts: task.failedAttempts,
    crashes: task.crashes,
    runs: task.runs.map(({ worker, attempt, phase, percent, stopReason }) => ({ worker: worker.registration.id, attempt, phase, percent, stopReason }))
  }
}
