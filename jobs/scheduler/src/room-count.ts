import { leftOutReasonOf, type LeftOutReason } from './left-out.ts'
import { placesIn } from './placement.ts'
import type { Scheduler } from './scheduler.ts'
import type { QueueLookup } from './step-priority.ts'
import type { Task } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** How many workers have free capacity for a task, by the runs known there, and why they don't get it. */
export interface RoomCount {
  /** Workers of the service that are tracked. */
  readonly workers: number
  /** Those with free capacity for the task. */
  readonly withRoom: number
  /** How often it fits on these in all. */
  readonly places: number
  /** Those that nothing known here keeps it from. */
  readonly open: number
  /** If it must be in one rack with the others of its gang: how often it fits on open workers, by rack, the three with most. */
  readonly openPlacesByRack?: Readonly<Record<string, number>>
  /** The others by the first reason, with a few of their ids. */
  readonly leftOut: Readonly<Partial<Record<LeftOutReason, { readonly workers: number, readonly first: readonly string[] }>>>
}

const MAX_LISTED_WORKERS = 3
const MAX_LISTED_RACKS = 3

/**
 * Counts the room that the service has for a task. Visits every worker: for tasks that have waited for long, and for questions.
 * @param scheduler - scheduler of the service
 * @param task - a task that waits
 * @param opts - `queue`: looks up queues; `now`: time of the injected clock
 * @returns the counts
 */
export function countRoom (scheduler: Scheduler, task: Task, opts: { queue: QueueLookup, now: number }): RoomCount {
  const { step } = task
  const withRoom = [...scheduler.workers.values()].map(worker => ({ worker, places: placesIn(step, worker.free()) })).filter(({ places }) => places >= 1)
  const leftOut: Partial<Record<LeftOutReason, { workers: number, first: string[] }>> = {}
  const open: Array<{ worker: TrackedWorker, places: number }> = []
  for (const each of withRoom) {
    const reason = leftOutReasonOf(scheduler, each.worker, task, opts)
    if (reason === undefined) {
      open.push(each)
      continue
    }
    const count = leftOut[reason] ??= { workers: 0, first: [] }
    count.workers += 1
    if (count.first.length < MAX_LISTED_WORKERS) count.first.push(each.worker.registration.id)
  }
  return {
    workers: scheduler.workers.size,
    withRoom: withRoom.length,
    places: total(withRoom),
    open: open.length,
    ...(step.spec.gang && step.spec.oneRack ? { openPlacesByRack: placesByRack(open) } : {}),
    leftOut
  }
}

function total (counted: ReadonlyArray<{ readonly places: number }>): number {
  return Math.min(Number.MAX_SAFE_INTEGER, counted.reduce((sum, { places }) => sum + places, 0))
}

function placesByRack (open: ReadonlyArray<{ readonly worker: TrackedWorker, readonly places: number }>): Record<string, number> {
  const racks = new Map<string, number>()
  for (const { worker: { registration: { rack } }, places } of open) racks.set(rack, (racks.get(rack) ?? 0) + places)
  return Object.fromEntries([...racks].sort(([, a], [, b]) => b - a).slice(0, MAX_LISTED_RACKS))
}
