import { needsIsolation } from './crash.ts'
import { holds, longestMsOf, stepHolds, type HoldCode, type HoldOwner } from './holds.ts'
import { leftOutReasonOf, type LeftOutReason } from './left-out.ts'
import { placesIn } from './placement.ts'
import type { Run } from './run.ts'
import type { Scheduler } from './scheduler.ts'
import type { LimitFigures } from './start-limiter.ts'
import type { QueueLookup } from './step-priority.ts'
import type { Task } from './tracked-job.ts'
import { WITHDRAWAL_TTL_MS, type TrackedWorker } from './tracked-worker.ts'
import { waitReasonOf, type WaitReason } from './wait-reason.ts'

/** Options of {@link findHolds}. */
export interface HoldOpts {
  /** Looks up queues. */
  readonly queue: QueueLookup
  /** Time of the injected clock. */
  readonly now: number
  /** What the term may do now: whether its leadership is confirmed, and how many starts it may send. Left out if that isn't asked. */
  readonly pass?: { readonly mayAct: boolean, readonly freeStarts: number } | undefined
}

/** A hold that keeps a task now. */
export interface FoundHold {
  readonly code: HoldCode
  readonly owner: HoldOwner
  /** The task, step, job or worker that it belongs to; empty for the term. */
  readonly name: string
  /** Since when it is known to last, by the injected clock; undefined if that is unknown. */
  readonly since: number | undefined
  /** When it ends at the latest, by the injected clock; undefined if there is no such time, or `since` is unknown. */
  readonly until: number | undefined
}

/** Holds with one code, as the log and `explain` show them. */
export interface Hold {
  readonly code: HoldCode
  readonly owner: HoldOwner
  /** Of holds of workers: the one that has lasted longest. */
  readonly worker?: string
  /** Of holds of workers: how many have it. */
  readonly workers?: number
  /** For how long it has lasted, as far as this term knows. */
  readonly forMs?: number
  /** When it ends at the latest; negative if it has lasted longer than it may. Left out if it has no longest time. */
  readonly endsInMs?: number
}

/** What keeps a task from running. */
export interface TaskHolds {
  /** Why it is not started; undefined while it has runs that may be in progress. */
  readonly waitsFor: WaitReason | undefined
  /** Its account's quota, if it waits for that. */
  readonly quota?: LimitFigures | undefined
  /** For how long it still waits after a failed or refused start. */
  readonly restsMs?: number
  /** It may have crashed its workers: for how long its job's suspected tasks have waited, and whether the crashes are stored. */
  readonly isolation?: { readonly crashes: number, readonly waitedMs: number | undefined, readonly stored: boolean }
  /** All of these holds and those of its runs and workers. */
  readonly holds: readonly Hold[]
}

interface KnownTimes {
  readonly since?: number | undefined
  readonly until?: number | undefined
}

/** Finds the holds of one task. */
class HoldFinder {
  private readonly scheduler: Scheduler
  private readonly task: Task
  private readonly opts: HoldOpts
  private readonly found: FoundHold[] = []

  constructor (scheduler: Scheduler, task: Task, opts: HoldOpts) {
    this.scheduler = scheduler
    this.task = task
    this.opts = opts
  }

  find (): FoundHold[] {
    this.findOwn()
    if (this.task.runs.length > 0) {
      for (const run of this.task.runs) this.findOfRun(run)
      return this.found
    }
    this.findOfStep()
    this.findOfTerm()
    for (const worker of this.scheduler.workers.values()) this.findOfWorker(worker)
    return this.found
  }

  private findOwn (): void {
    const { task, opts: { now } } = this
    if (task.retryAt > now) this.add('TASK_RESTS', task.name, { until: task.retryAt })
    if (needsIsolation(task) && !task.step.job.areCrashesDurable()) this.add('CRASHES_NOT_STORED', task.step.job.job.id)
  }

  private findOfRun (run: Run): void {
    const { worker } = run
    const { id } = worker.registration
    if (worker.ended) this.add('RUN_OF_ENDED_INCARNATION', id, { until: worker.unknownRunsUntil })
    else if (worker.lastResponseAt === undefined) this.add('RUN_OF_ENDED_INCARNATION', id)
    else if (!worker.reachable) this.add('RUN_ON_SILENT_WORKER', id, { since: worker.lastResponseAt })
    else if (run.phase === 'sending') this.add('START_IN_PROGRESS', this.task.name, { since: run.startedAt })
    else if (run.phase === 'unsettled') this.add('START_UNANSWERED', this.task.name, { since: run.startedAt })
    else if (run.stopReason !== undefined) this.add('RUN_BEING_STOPPED', this.task.name)
  }

  private findOfStep (): void {
    const { scheduler, task: { step }, opts } = this
    const reason = waitReasonOf(scheduler, step, opts)
    this.add(reason, this.nameOf(holds[reason].owner), this.timesOf(reason))
    const quota = reason === 'ACCOUNT_QUOTA' ? scheduler.limiter.whyNot(step) : undefined
    if (quota === undefined) return
    if (!quota.isRead) this.add('QUOTA_NOT_READ', '')
    if (quota.quota === undefined) this.add('QUOTA_NOT_KNOWN', this.nameOf('step'))
    if (quota.mayHaveMore) this.add('QUOTA_OF_SILENT_WORKERS', '')
  }

  private timesOf (reason: WaitReason): KnownTimes {
    const { scheduler, task: { step }, opts: { now } } = this
    if (reason === 'EARLIER_LEADERS_WORKERS_SILENT') return { until: scheduler.earlierRuns.until }
    if (reason !== 'SUSPECTED_OF_CRASHES') return {}
    const waitedMs = scheduler.isolation.waitOf(step.job, now)
    return { since: waitedMs === undefined ? undefined : now - waitedMs }
  }

  private findOfTerm (): void {
    const { pass } = this.opts
    if (pass?.mayAct === false) this.add('LEADERSHIP_NOT_CONFIRMED', '')
    else if (pass !== undefined && pass.freeStarts <= 0) this.add('NO_FREE_STARTS', '')
  }

  private findOfWorker (worker: TrackedWorker): void {
    const { scheduler, task, opts } = this
    if (placesIn(task.step, worker.free()) < 1) return
    const reason = leftOutReasonOf(scheduler, worker, task, opts)
    if (reason !== undefined) this.add(reason, worker.registration.id, this.timesOfWorker(worker, reason))
  }

  private timesOfWorker (worker: TrackedWorker, reason: LeftOutReason): KnownTimes {
    const { now } = this.opts
    const withdrawal = worker.withdrawalAges(now)
    if (reason === 'NO_ANSWER') return { since: worker.unreachableSince }
    if (reason === 'RESTS') return { until: worker.cooldownUntil }
    if (reason === 'BEING_EMPTIED' && withdrawal !== undefined) return { since: now - withdrawal.withdrawnMs, until: now - withdrawal.askedMsAgo + WITHDRAWAL_TTL_MS }
    return {}
  }

  private nameOf (owner: HoldOwner): string {
    const { step } = this.task
    if (owner === 'step') return `${step.job.job.id}.${step.occurrence.number}.${step.number}`
    return owner === 'job' ? step.job.job.id : ''
  }

  private add (code: HoldCode, name: string, known: KnownTimes = {}): void {
    const { owner } = holds[code]
    const since = known.since ?? this.scheduler.holdAges.sinceOf(keyOf({ code, name }))
    const longestMs = longestMsOf(code, { times: this.scheduler.holdTimes(), isLasting: this.task.step.spec.lasting })
    const until = known.until ?? (since === undefined || longestMs === undefined ? undefined : since + longestMs)
    this.found.push({ code, owner, name, since, until })
  }
}

/**
 * @param scheduler - scheduler of the service
 * @param task - a task of a ready step that no worker in touch runs
 * @param opts - time, and what else the holds depend on
 * @returns the holds that keep it now, one for each worker with room
 */
export function findHolds (scheduler: Scheduler, task: Task, opts: HoldOpts): FoundHold[] {
  return new HoldFinder(scheduler, task, opts).find()
}

/**
 * @param hold - a hold
 * @returns a text that identifies it among all of a service
 */
export function keyOf ({ code, name }: Pick<FoundHold, 'code' | 'name'>): string {
  return `${code} ${name}`
}

/**
 * @param scheduler - scheduler of the service
 * @param task - a task of a ready step that no worker in touch runs
 * @param opts - time, and what else the holds depend on
 * @returns what keeps it from running, for the log and `explain`
 */
export function describeHolds (scheduler: Scheduler, task: Task, opts: HoldOpts): TaskHolds {
  const { now } = opts
  const { job } = task.step
  const found = findHolds(scheduler, task, opts)
  const waits = task.runs.length === 0
  const quota = waits ? scheduler.limiter.whyNot(task.step) : undefined
  return {
    ...(task.retryAt > now ? { restsMs: Math.round(task.retryAt - now) } : {}),
    ...(needsIsolation(task) ? { isolation: { crashes: task.crashes.length, waitedMs: scheduler.isolation.waitOf(job, now), stored: job.areCrashesDurable() } } : {}),
    ...(quota === undefined ? {} : { quota }),
    waitsFor: found.map(({ code }) => code).find(isWaitReason),
    holds: groupHolds(found, now)
  }
}

function isWaitReason (code: HoldCode): code is WaitReason {
  return Object.hasOwn(stepHolds, code)
}

/** Returns one entry for each code. */
function groupHolds (found: readonly FoundHold[], now: number): Hold[] {
  const groups = new Map<HoldCode, FoundHold[]>()
  for (const hold of found) {
    const group = groups.get(hold.code)
    if (group === undefined) groups.set(hold.code, [hold])
    else group.push(hold)
  }
  return [...groups].map(([code, group]) => describeGroup(code, group, now))
}

function describeGroup (code: HoldCode, group: readonly FoundHold[], now: number): Hold {
  const { owner } = holds[code]
  const oldest = group.reduce((first, each) => (each.since ?? Infinity) < (first.since ?? Infinity) ? each : first)
  return {
    code,
    owner,
    ...(owner === 'worker' ? { worker: oldest.name, workers: group.length } : {}),
    ...(oldest.since === undefined ? {} : { forMs: Math.round(now - oldest.since) }),
    ...(oldest.until === undefined ? {} : { endsInMs: Math.round(oldest.until - now) })
  }
}
