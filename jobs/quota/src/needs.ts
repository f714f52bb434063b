import type { Resources } from '@wisteriaslip/jobs.model'
import type { Scheduler, TrackedStep } from '@wisteriaslip/jobs.scheduler'
import { unitOf, type QuotaLimiter } from './limiter.ts'
import { hasRoomFor, least, most, nothing, plus, times } from './resources.ts'

/** What tasks of an account wait for. */
export interface WaitingWork {
  /** Demand of the tasks that wait, no more than the workers have room for, but at least that of the largest. */
  readonly demand: Resources
  /** Demand of all tasks that wait. */
  readonly all: Resources
  /** Largest task, or gang. */
  readonly atOnce: Resources
  /** Smallest task, or gang, in each resource. */
  readonly smallest: Resources
  /** Demand of the long-running tasks that ran before and are to run again: their part is kept for them. */
  readonly returning: Resources
}

/**
 * Adds up what the accounts with a quota wait for. Tasks that are larger than the quota are left out.
 * @param scheduler - scheduler of the service
 * @param limiter - quotas of the accounts
 * @param now - time of the injected clock
 * @returns the work by account
 */
export function collectWaiting (scheduler: Scheduler, limiter: QuotaLimiter, now: number): Map<string, WaitingWork> {
  const found = new Map<string, { plain: Resources, backfill: Resources, atOnce: Resources, smallest: Resources, returning: Resources }>()
  for (const step of scheduler.table.ready) {
    const name = step.job.job.account
    if (name === undefined || step.waiting === 0) continue
    const inForce = limiter.quota(name)
    const unit = unitOf(step)
    if (typeof inForce === 'string' || !hasRoomFor(nothing, unit, inForce.limits)) continue
    const before = found.get(name) ?? { plain: nothing, backfill: nothing, atOnce: nothing, smallest: unit, returning: nothing }
    const demand = times(step.spec.demand, step.waiting)
    const sums = step.spec.backfill ? { plain: before.plain, backfill: plus(before.backfill, demand) } : { plain: plus(before.plain, demand), backfill: before.backfill }
    found.set(name, { ...sums, atOnce: most(before.atOnce, unit), smallest: least(before.smallest, unit), returning: step.spec.lasting ? plus(before.returning, returningDemand(step)) : before.returning })
  }
  if (found.size === 0) return new Map()
  const free = freeCapacity(scheduler, now)
  return new Map([...found].map(([name, { plain, backfill, atOnce, smallest, returning }]) => [name, { demand: plus(least(plain, most(free, atOnce)), backfill), all: plus(plain, backfill), atOnce, smallest, returning }]))
}

function returningDemand ({ tasks, spec }: TrackedStep): Resources {
  return times(spec.demand, tasks.filter(task => !task.done && task.runs.length === 0 && task.idleSince !== undefined).length)
}

function freeCapacity (scheduler: Scheduler, now: number): Resources {
  let free = nothing
  for (const worker of scheduler.workers.values()) if (worker.takesStarts(now)) free = plus(free, most(nothing, worker.free()))
  return free
}
