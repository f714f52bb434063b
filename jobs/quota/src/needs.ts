import type { Resources } from '@wisteriaslip/jobs.model'
import type { Scheduler, TrackedStep } from '@wisteriaslip/jobs.scheduler'
import { unitOf, type QuotaLimiter } from './limiter.ts'
import { hasRoomFor, least, most, nothing, plus, times } from './resources.ts'
import { OpenRoom } from './open-room.ts'

/** What tasks of an account wait for. */
export interface WaitingWork {
  /** Demand of the tasks that wait and for which a worker has room now, no more than all workers have room for. */
  readonly demand: Resources
  /** Demand of all tasks that wait. */
  readonly all: Resources
  /** Largest task, or gang, that has room now; nothing if none has. */
  readonly atOnce: Resources
  /** Smallest task, or gang, in each resource, of those that have room now. */
  readonly smallest: Resources
  /** Demand of the long-running tasks that ran before and are to run again: their part is kept for them. */
  readonly returning: Resources
}

interface Sums {
  readonly plain: Resources
  readonly backfill: Resources
  readonly all: Resources
  readonly atOnce: Resources
  readonly smallest: Resources | undefined
  readonly returning: Resources
}

const noSums: Sums = { plain: nothing, backfill: nothing, all: nothing, atOnce: nothing, smallest: undefined, returning: nothing }

/**
 * Adds up what the accounts with a quota wait for. Tasks that are larger than the quota are left out. Those without room claim
 * nothing: a part that is kept for them is of no use, and the account could start others elsewhere.
 * @param scheduler - scheduler of the service
 * @param limiter - quotas of the accounts
 * @param now - time of the injected clock
 * @returns the work by account
 */
export function collectWaiting (scheduler: Scheduler, limiter: QuotaLimiter, now: number): Map<string, WaitingWork> {
  const found = new Map<string, Sums>()
  const room = new OpenRoom(scheduler, now)
  for (const step of scheduler.table.ready) {
    const name = step.job.job.account
    if (name === undefined || step.waiting === 0) continue
    const inForce = limiter.quota(name)
    if (typeof inForce === 'string' || !hasRoomFor(nothing, unitOf(step), inForce.limits)) continue
    found.set(name, addStep(found.get(name) ?? noSums, step, { hasRoom: room.takes(step) }))
  }
  return new Map([...found].map(([name, { plain, backfill, all, atOnce, smallest, returning }]) => [name, { demand: plus(least(plain, room.total()), backfill), all, atOnce, smallest: smallest ?? nothing, returning }]))
}

function addStep (before: Sums, step: TrackedStep, { hasRoom }: { hasRoom: boolean }): Sums {
  const demand = times(step.spec.demand, step.waiting)
  const all = plus(before.all, demand)
  const returning = step.spec.lasting ? plus(before.returning, returningDemand(step)) : before.returning
  if (!hasRoom) return { ...before, all, returning }
  const unit = unitOf(step)
  const sums = step.spec.backfill ? { plain: before.plain, backfill: plus(before.backfill, demand) } : { plain: plus(before.plain, demand), backfill: before.backfill }
  return { ...sums, all, returning, atOnce: most(before.atOnce, unit), smallest: least(before.smallest ?? unit, unit) }
}

function returningDemand ({ tasks, spec }: TrackedStep): Resources {
  return times(spec.demand, tasks.filter(task => !task.done && task.runs.length === 0 && task.idleSince !== undefined).length)
}
