import type { Resources, WorkerRegistration } from '@wisteriaslip/jobs.model'
import type { Run } from './run.ts'

/** A worker's steady clock may run slow by this share. */
const MIN_CLOCK_RATE = 0.98

/** What the leader knows of one life of a worker. */
export class TrackedWorker {
  registration: WorkerRegistration
  /** By task name and attempt. */
  readonly runs = new Map<string, Run>()
  /** The worker has answered a look of this term: it takes no orders of earlier leaders any more. */
  fenced = false
  /** Not in the registry any more. */
  deregistered = false
  /** Its life has ended: nothing runs there. */
  ended = false
  /** Told to empty itself, for maintenance or a move. */
  withdrawn = false
  /** No starts before this time of the injected clock. */
  cooldownUntil = 0
  /** Ends in a row that failed. */
  failuresInARow = 0
  /** Ends that were taken in and are not durable yet. */
  readonly pendingEnds = new Set<number>()
  /** Highest number of an end that was taken in. */
  highestEndSeq = 0
  /** The last look was answered. */
  reachable = false
  /** When the last look was answered, by the injected clock. */
  lastResponseAt: number | undefined
  /** Last moment by the injected clock at which work of earlier leaders may run without our knowing. */
  unknownRunsUntil: number
  emptySince: number | undefined
  private clockMs = 0
  private clockReadAt = Number.NEGATIVE_INFINITY
  private leaseUntilMs = Number.NEGATIVE_INFINITY
  private cpu = 0
  private memMb = 0
  private accelerators = 0

  constructor (registration: WorkerRegistration, opts: { unknownRunsUntil: number }) {
    this.registration = registration
    this.unknownRunsUntil = opts.unknownRunsUntil
  }

  /** @returns whether its life is known to the leader: what runs there is listed */
  hasKnownRuns (): boolean {
    return this.fenced || this.ended
  }

  /**
   * @param now - of the injected clock
   * @returns whether starts may be sent to it
   */
  takesStarts (now: number): boolean {
    return this.fenced && this.reachable && !this.ended && !this.deregistered && !this.withdrawn && !this.registration.draining && now >= this.cooldownUntil
  }

  /**
   * @param demand - of a task
   * @param opts - whether its cpu does not count
   * @returns whether it fits beside what may be running
   */
  fits (demand: Resources, opts: { backfill: boolean }): boolean {
    const { capacity } = this.registration
    if (this.memMb + demand.memMb > capacity.memMb) return false
    if (this.accelerators + demand.accelerators > capacity.accelerators) return false
    return opts.backfill || this.cpu + demand.cpu <= capacity.cpu
  }

  /** @returns share of the processor capacity that is taken */
  cpuShare (): number {
    return this.registration.capacity.cpu === 0 ? 1 : this.cpu / this.registration.capacity.cpu
  }

  /** @returns what is taken of its capacity */
  used (): Resources {
    return { cpu: this.cpu, memMb: this.memMb, accelerators: this.accelerators }
  }

  /** @param run - that takes room from now on */
  add (run: Run): void {
    this.runs.set(runKey(run.task.name, run.attempt), run)
    this.count(run, 1)
  }

  /** @param run - that takes no room any more */
  remove (run: Run): void {
    if (!this.runs.delete(runKey(run.task.name, run.attempt))) return
    this.count(run, -1)
  }

  /**
   * Notes a reading of the worker's clock.
   * @param clockMs - the reading
   * @param readAt - when the answer came, by the injected clock
   */
  recordClock (clockMs: number, readAt: number): void {
    if (readAt < this.clockReadAt) return
    this.clockMs = clockMs
    this.clockReadAt = readAt
  }

  /** @returns whether its clock was read at least once */
  hasClock (): boolean {
    return this.clockReadAt !== Number.NEGATIVE_INFINITY
  }

  /**
   * @param now - of the injected clock
   * @returns what the worker's clock shows, as far as the latest reading tells
   */
  clockAt (now: number): number {
    return this.clockMs + (now - this.clockReadAt)
  }

  /**
   * Chooses the end of a lease that is about to be given.
   * @param now - of the injected clock
   * @param leaseMs - length of the lease
   * @returns the end, on the worker's clock
   */
  extendLease (now: number, leaseMs: number): number {
    const until = Math.round(this.clockAt(now) + leaseMs)
    this.leaseUntilMs = Math.max(this.leaseUntilMs, until)
    return this.leaseUntilMs
  }

  /**
   * Reckons with a lease that an earlier leader gave just before the clock was read.
   * @param maxLeaseMs - longest lease that a worker grants
   */
  assumeEarlierLease (maxLeaseMs: number): void {
    this.leaseUntilMs = Math.max(this.leaseUntilMs, this.clockMs + maxLeaseMs)
  }

  /**
   * @param now - of the injected clock
   * @returns whether every lease that was ever given to it has surely ended
   */
  areLeasesExpired (now: number): boolean {
    if (this.ended) return now >= this.unknownRunsUntil
    if (now < this.unknownRunsUntil && !this.fenced) return false
    const hasLease = this.hasClock() && this.leaseUntilMs !== Number.NEGATIVE_INFINITY
    if (!hasLease) return now >= this.unknownRunsUntil
    return this.clockMs + (now - this.clockReadAt) * MIN_CLOCK_RATE > this.leaseUntilMs
  }

  /** @returns highest number of an end up to which all ends are durable */
  seenSeq (): number {
    let seen = this.highestEndSeq
    for (const seq of this.pendingEnds) seen = Math.min(seen, seq - 1)
    return seen
  }

  private count (run: Run, sign: 1 | -1): void {
    const { demand, backfill } = run.task.step.spec
    if (!backfill) this.cpu += sign * demand.cpu
    this.memMb += sign * demand.memMb
    this.accelerators += sign * demand.accelerators
  }
}

/**
 * @param task - name of a task
 * @param attempt - number of a run
 * @returns the key of the run on a worker
 */
export function runKey (task: string, attempt: number): string {
  return `${task}#${attempt}`
}
