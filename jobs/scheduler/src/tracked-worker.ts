import { incarnationKey, type Resources, type WorkerRegistration } from '@wisteriaslip/jobs.model'
import type { Run } from './run.ts'
import type { TrackedStep } from './tracked-job.ts'

/** Slowest rate of a worker's monotonic clock that is allowed for, relative to the local clock. */
export const MIN_CLOCK_RATE = 0.98
/** Readings are whole milliseconds. */
const CLOCK_ROUNDING_MS = 2
/** How long a withdrawal holds after it was last asked for: a pass of the fleet's leader takes less, also if its calls are slow. */
export const WITHDRAWAL_TTL_MS = 5_000

/** A worker's clock as a response to a command shows it. */
export interface ClockReading {
  readonly clockMs: number
  /** When the command was sent, by the injected clock. */
  readonly sentAt: number
}

/** The leader's state of one incarnation of a worker. */
export class TrackedWorker {
  registration: WorkerRegistration
  /** Runs that may be in progress, by {@link runKey}. */
  readonly runs = new Map<string, Run>()
  /**
   * A report was applied completely in this term: its runs are tracked, or stopped as orphans, and the worker rejects
   * commands of earlier leaders.
   */
  fenced = false
  /** The last report may not have listed all completions, so that a run that it does not show may have ended. */
  hasUnlistedCompletions = false
  /** The last report listed runs that are not tracked here, so that their demand is not known. */
  hasUntrackedRuns = false
  /** The worker is no longer registered. */
  deregistered = false
  /** It may be granted leases: the term's record does not tell the next leader that it holds none. */
  mayGetLeases = true
  /** The incarnation has ended: nothing runs there. */
  ended = false
  /**
   * Since when the worker is being drained without a break, and when the fleet's leader last asked for that, by the injected
   * clock; undefined while it isn't.
   */
  private withdrawal: { readonly since: number, readonly askedAt: number } | undefined
  /** When the fleet's leader was last told that nothing runs on the VM, by the injected clock. */
  private calledDrainedAt = Number.NEGATIVE_INFINITY
  /** No starts before this time, by the injected clock. */
  cooldownUntil = 0
  /** Number of consecutive failed runs. */
  failuresInARow = 0
  /** Sequence numbers of completions that were applied and are not durable yet. */
  readonly pendingCompletions = new Set<number>()
  /** Highest sequence number of the applied completions. */
  highestCompletionSeq = 0
  /** The last poll succeeded. */
  reachable = false
  /** Commands reach it: there is a connection on which this incarnation has responded. */
  takesCommands = true
  /** When polls began to fail, by the injected clock; undefined while the worker responds, or has never responded. */
  unreachableSince: number | undefined
  /** Runs that were released when the lease expired: it is not known yet whether the worker has crashed. */
  expiredRuns: readonly Run[] = []
  /** Until when `expiredRuns` are kept, by the injected clock. */
  expiredRunsUntil = 0
  /** When the first poll of this term was sent, by the injected clock; undefined before. */
  polledSince: number | undefined
  /** Time of the last response to a poll, by the injected clock. */
  lastResponseAt: number | undefined
  /**
   * Until this time of the injected clock, runs of earlier leaders may be in progress without being tracked here, and
   * starts that were sent to an ended incarnation may still arrive.
   */
  unknownRunsUntil: number
  /** Until this time of the injected clock, starts that were sent to the previous incarnation may still arrive. */
  private readonly lateStartsUntil: number
  /** When a report first showed the worker without runs, by the injected clock; undefined while there is no such report. */
  emptySince: number | undefined
  private clockMs = 0
  private clockReadAt = Number.NEGATIVE_INFINITY
  /** Expiry of the lease that this leader has granted, on the worker's clock. */
  private leaseUntilMs = Number.NEGATIVE_INFINITY
  /** Expiry of leases that may have been granted without its knowledge. */
  private unknownLeaseUntilMs = Number.NEGATIVE_INFINITY
  private cpu = 0
  private memMb = 0
  private accelerators = 0
  private lasting = 0
  private readonly runsByStep = new Map<TrackedStep, number>()

  constructor (registration: WorkerRegistration, opts: { unknownRunsUntil: number, lateStartsUntil?: number }) {
    this.registration = registration
    this.unknownRunsUntil = opts.unknownRunsUntil
    this.lateStartsUntil = opts.lateStartsUntil ?? 0
  }

  /** @returns a text that identifies the incarnation */
  incarnation (): string {
    return incarnationKey(this.registration)
  }

  /**
   * Being drained so that its VM can be maintained or moved: gets no new runs but those of long-running tasks that fit nowhere
   * else, and long-running ones are stopped as far as `mayMiss` allows and another worker can take them.
   */
  get withdrawn (): boolean {
    return this.withdrawal !== undefined
  }

  /**
   * Withdraws the worker for {@link WITHDRAWAL_TTL_MS}: the leader of the fleet that asks for it may be gone before it takes it back.
   * @param now - time of the injected clock
   */
  withdraw (now: number): void {
    this.withdrawal = { since: this.withdrawal?.since ?? now, askedAt: now }
  }

  /** Lets the worker take runs again. */
  endWithdrawal (): void {
    this.withdrawal = undefined
  }

  /**
   * Lets the worker take runs again if nobody has asked for the withdrawal for long.
   * @param now - time of the injected clock
   * @returns whether its withdrawal has ended so
   */
  endOldWithdrawal (now: number): boolean {
    if (this.withdrawal === undefined || now - this.withdrawal.askedAt < WITHDRAWAL_TTL_MS) return false
    this.withdrawal = undefined
    return true
  }

  /**
   * @param now - time of the injected clock
   * @returns for how long it has been withdrawn, and how long ago the fleet's leader last asked for that, in milliseconds; undefined
   * if it is not withdrawn
   */
  withdrawalAges (now: number): { readonly withdrawnMs: number, readonly askedMsAgo: number } | undefined {
    if (this.withdrawal === undefined) return undefined
    return { withdrawnMs: Math.round(now - this.withdrawal.since), askedMsAgo: Math.round(now - this.withdrawal.askedAt) }
  }

  /**
   * Notes that the fleet's leader is told that nothing runs on the VM, so that it may be maintained or moved.
   * @param now - time of the injected clock
   */
  noteCalledDrained (now: number): void {
    this.calledDrainedAt = now
  }

  /**
   * @param ms - time in milliseconds
   * @param now - time of the injected clock
   * @returns whether the fleet's leader was told within that time that nothing runs on the VM
   */
  wasCalledDrainedWithin (ms: number, now: number): boolean {
    return now - this.calledDrainedAt < ms
  }

  /**
   * Notes that a poll has succeeded.
   * @param at - when its response arrived, by the injected clock
   */
  markReachable (at: number): void {
    this.reachable = true
    this.unreachableSince = undefined
    this.expiredRuns = []
    this.lastResponseAt = at
  }

  /**
   * Notes that a poll has failed.
   * @param now - time of the injected clock
   */
  markUnreachable (now: number): void {
    if (this.reachable) this.unreachableSince = now
    this.reachable = false
  }

  /**
   * Keeps the runs that are about to be released, as the lease has expired, to find out whether the worker has crashed.
   * @param until - time of the injected clock
   */
  keepExpiredRuns (until: number): void {
    this.expiredRuns = [...this.runs.values()]
    this.expiredRunsUntil = until
  }

  /**
   * @param now - time of the injected clock
   * @returns whether runs of earlier leaders may be in progress, or have ended, that are not known here
   */
  mayHaveUnknownRuns (now: number): boolean {
    if (this.fenced || this.ended) return false
    return now < this.unknownRunsUntil || (this.hasUnlistedCompletions && !this.haveLeasesExpired(now))
  }

  /**
   * Runs that its last report listed and that are not tracked here end with their leases, as all others do, if it falls silent: this leader's,
   * and those of earlier ones.
   * @param now - time of the injected clock for which it is known which leases it holds
   * @returns whether such runs may be in progress
   */
  mayHaveUntrackedRuns (now: number): boolean {
    if (!this.hasUntrackedRuns || this.ended) return false
    return this.reachable || now < this.unknownRunsUntil || !this.haveLeasesExpired(now)
  }

  /**
   * @param now - time of the injected clock for which it is known which leases it holds
   * @returns for how long runs may still be in progress there, in milliseconds, if this term has granted it no lease, or none that
   * has not expired; undefined if it responds, or holds a lease, or may hold one
   */
  unknownRunsMs (now: number): number | undefined {
    if (this.ended || this.reachable || this.runs.size > 0 || this.pendingCompletions.size > 0) return undefined
    if (this.lastResponseAt !== undefined) return this.haveLeasesExpired(now) ? 0 : undefined
    return Math.max(0, Math.ceil(this.unknownRunsUntil - now))
  }

  /**
   * @param now - time of the injected clock
   * @returns whether starts may be sent to the worker
   */
  takesStarts (now: number): boolean {
    return !this.withdrawn && this.isReadyForStarts(now)
  }

  /**
   * @param now - time of the injected clock
   * @returns whether starts may be sent to the worker unless it is withdrawn
   */
  isReadyForStarts (now: number): boolean {
    return this.isUsable() && now >= this.cooldownUntil
  }

  /** @returns whether starts may be sent to the worker unless it is withdrawn or in cooldown */
  isUsable (): boolean {
    return this.fenced && this.reachable && this.takesCommands && this.mayGetLeases && !this.hasUntrackedRuns && !this.ended && !this.deregistered && !this.registration.draining
  }

  /**
   * @param demand - demand of a task
   * @param opts - `backfill`: the cpu demand does not count
   * @returns whether the demand fits into the free capacity
   */
  fits (demand: Resources, opts: { backfill: boolean }): boolean {
    const { capacity } = this.registration
    if (this.memMb + demand.memMb > capacity.memMb) return false
    if (this.accelerators + demand.accelerators > capacity.accelerators) return false
    return opts.backfill || this.cpu + demand.cpu <= capacity.cpu
  }

  /** @returns share of the CPU capacity in use */
  cpuShare (): number {
    return this.registration.capacity.cpu === 0 ? 1 : this.cpu / this.registration.capacity.cpu
  }

  /** @returns capacity in use */
  used (): Resources {
    return { cpu: this.cpu, memMb: this.memMb, accelerators: this.accelerators }
  }

  /** @returns capacity that is not in use */
  free (): Resources {
    const { cpu, memMb, accelerators } = this.registration.capacity
    return { cpu: cpu - this.cpu, memMb: memMb - this.memMb, accelerators: accelerators - this.accelerators }
  }

  /** @returns number of runs of long-running tasks */
  lastingRuns (): number {
    return this.lasting
  }

  /**
   * @param step - a step
   * @returns number of runs of its tasks
   */
  runsOf (step: TrackedStep): number {
    return this.runsByStep.get(step) ?? 0
  }

  /**
   * Adds a run and reserves its capacity.
   * @param run - the run
   */
  add (run: Run): void {
    this.runs.set(runKey(run.task.name, run.attempt), run)
    this.count(run, 1)
  }

  /**
   * Removes a run and frees its capacity.
   * @param run - the run
   */
  remove (run: Run): void {
    if (!this.runs.delete(runKey(run.task.name, run.attempt))) return
    this.count(run, -1)
  }

  /**
   * Records a reading of the worker's clock. Ignores readings older than the latest one.
   * @param clockMs - the reading in milliseconds
   * @param readAt - when the response arrived, by the injected clock
   */
  recordClock (clockMs: number, readAt: number): void {
    if (readAt < this.clockReadAt) return
    this.clockMs = clockMs
    this.clockReadAt = readAt
  }

  /**
   * @param reading - a clock as a response to a command shows it, and when the command was sent, by the injected clock
   * @returns whether it is the clock of this incarnation: that of a later one under the same id started anew, and is behind
   */
  isOwnClock ({ clockMs, sentAt }: ClockReading): boolean {
    if (!this.hasClock()) return false
    const sentAfterMs = sentAt - this.clockReadAt
    return clockMs >= this.clockMs + Math.min(sentAfterMs, sentAfterMs * MIN_CLOCK_RATE) - CLOCK_ROUNDING_MS
  }

  /** @returns the latest reading of the worker's clock, in milliseconds */
  lastClockMs (): number {
    return this.clockMs
  }

  /** @returns whether the worker's clock has been read */
  hasClock (): boolean {
    return this.clockReadAt !== Number.NEGATIVE_INFINITY
  }

  /**
   * @param now - time of the injected clock
   * @returns the worker's clock in milliseconds, extrapolated from the latest reading
   */
  clockAt (now: number): number {
    return this.clockMs + (now - this.clockReadAt)
  }

  /**
   * Extends the lease that a call is about to grant. Never shortens it.
   * @param now - time of the injected clock
   * @param leaseMs - length of the lease in milliseconds
   * @returns expiry of the lease on the worker's clock, in milliseconds
   */
  extendLease (now: number, leaseMs: number): number {
    const until = Math.round(this.clockAt(now) + leaseMs)
    this.leaseUntilMs = Math.max(this.leaseUntilMs, until)
    return this.leaseUntilMs
  }

  /** Notes that a report was applied completely. */
  markFenced (): void {
    this.fenced = true
  }

  /**
   * Allows for a lease that may have been granted without this leader's knowledge just before the worker's clock was read.
   * @param maxLeaseMs - longest such lease in milliseconds
   */
  assumeEarlierLease (maxLeaseMs: number): void {
    this.unknownLeaseUntilMs = Math.max(this.unknownLeaseUntilMs, this.clockMs + maxLeaseMs)
  }

  /**
   * @param now - time of the injected clock
   * @returns whether all leases that were granted to the worker have certainly expired, even if its clock runs slow
   */
  haveLeasesExpired (now: number): boolean {
    if (this.ended) return now >= this.unknownRunsUntil
    const unknownUntil = Math.max(this.unknownRunsUntil, this.lateStartsUntil)
    if (now < unknownUntil && !this.fenced) return false
    const leaseUntilMs = Math.max(this.leaseUntilMs, this.unknownLeaseUntilMs)
    if (!this.hasClock() || leaseUntilMs === Number.NEGATIVE_INFINITY) return now >= unknownUntil
    return this.clockMs + (now - this.clockReadAt) * MIN_CLOCK_RATE > leaseUntilMs
  }

  /**
   * @param now - time of the injected clock
   * @returns for how long all leases granted to it have certainly expired, on its clock, in milliseconds; negative while some
   * may hold, undefined if none is known
   */
  leaseExpiredForMs (now: number): number | undefined {
    const leaseUntilMs = Math.max(this.leaseUntilMs, this.unknownLeaseUntilMs)
    if (!this.hasClock() || leaseUntilMs === Number.NEGATIVE_INFINITY) return undefined
    return Math.round(this.clockMs + (now - this.clockReadAt) * MIN_CLOCK_RATE - leaseUntilMs)
  }

  /** @returns highest sequence number up to which all completions are durable */
  seenSeq (): number {
    let seen = this.highestCompletionSeq
    for (const seq of this.pendingCompletions) seen = Math.min(seen, seq - 1)
    return seen
  }

  private count (run: Run, sign: 1 | -1): void {
    const { step } = run.task
    const { demand, backfill } = step.spec
    const runsOfStep = this.runsOf(step) + sign
    if (runsOfStep === 0) this.runsByStep.delete(step)
    else this.runsByStep.set(step, runsOfStep)
    if (step.spec.lasting) this.lasting += sign
    if (!backfill) this.cpu += sign * demand.cpu
    this.memMb += sign * demand.memMb
    this.accelerators += sign * demand.accelerators
  }
}

/**
 * @param task - name of a task
 * @param attempt - attempt number
 * @returns the key of a run on its worker
 */
export function runKey (task: string, attempt: number): string {
  return `${task}#${attempt}`
}
