import type { VirtualProcess } from '@wisteriaslip/testing.jobs'
import type { Disturbances } from './disturbances.ts'
import type { LeaderLog } from './leader-log.ts'
import type { WatchedJob } from './lost-watch.ts'
import { roomFor } from './room.ts'
import type { RunHistory } from './run-history.ts'
import type { Incarnation } from './worker-machine.ts'

const SAMPLE_MS = 100
/** The workers' room must be enough for as many runs of the task. */
const ROOM_FOR_RUNS = 2
const FLEET = 'fleet'

/** A time in which a long-running task of an accepted job had no run. Times are virtual, in milliseconds. */
export interface RunGap {
  readonly task: string
  /** When its last run ended, or its job was accepted. */
  readonly from: number
  /** When the next one began, or the latest look at it. */
  to: number
  /** How much of it there was room for the task twice over, while the store and some process of an entry were up. */
  roomMs: number
  /** How much of that time the recorded leader of its service was up, in touch with the store and not held up. */
  ledMs: number
  /** How much of it nothing was disturbed. */
  calmMs: number
  /** Changes of leader that fell into it, of its service and of the fleet. */
  changes: number
  fleetChanges: number
  /** Times at which the store went away in it. */
  outages: number
}

/** What a site is like while tasks are without a run. */
export interface GapConditions {
  /** @returns sound workers that each entry reaches */
  readonly usableWorkers: () => readonly Incarnation[]
  /** @returns whether the store answers */
  readonly isStoreUp: () => boolean
  /** @returns whether some process of an entry is up */
  readonly isAnyEntryUp: () => boolean
  /** @returns whether this entry has been up as one process since a time, is in touch with the store, and not held up */
  readonly canAct: (entry: string, since: number) => boolean
}

/** Options of {@link RunGaps}. */
export interface RunGapsOpts extends GapConditions {
  /** @returns the accepted jobs */
  readonly jobs: () => Iterable<WatchedJob>
  readonly history: RunHistory
  readonly leaders: LeaderLog
  readonly disturbances: Disturbances
}

interface Sample {
  readonly now: number
  readonly workers: readonly Incarnation[]
  readonly isServable: boolean
  readonly isCalm: boolean
}

/** Measures from outside how long long-running tasks have no run, over all terms of their leaders. */
export class RunGaps {
  /** Gaps that have ended. */
  private readonly ended: RunGap[] = []
  private readonly open = new Map<string, RunGap>()
  private readonly outagesAt: number[] = []
  private wasStoreUp = true
  private readonly process: VirtualProcess
  private readonly opts: RunGapsOpts

  /**
   * @param process - gives the time
   * @param opts - what to watch
   */
  constructor (process: VirtualProcess, opts: RunGapsOpts) {
    this.process = process
    this.opts = opts
  }

  /** Begins to measure. */
  start (): void {
    this.process.outsideAfter(SAMPLE_MS, () => {
      this.sample()
      this.start()
    })
  }

  /** @returns all gaps, also those that have not ended */
  all (): RunGap[] {
    return [...this.ended, ...this.open.values()]
  }

  private sample (): void {
    const { opts } = this
    const now = this.process.now()
    const isStoreUp = opts.isStoreUp()
    if (this.wasStoreUp && !isStoreUp) this.outagesAt.push(now)
    this.wasStoreUp = isStoreUp
    const sample = { now, workers: opts.usableWorkers(), isServable: isStoreUp && opts.isAnyEntryUp(), isCalm: opts.disturbances.calmMs() > 0 }
    for (const job of opts.jobs()) if (job.lasting) this.sampleJob(job, sample)
  }

  private sampleJob (job: WatchedJob, sample: Sample): void {
    const isCancelled = (job.cancelledAt ?? Infinity) <= sample.now
    for (let index = 0; index < job.tasks; index++) {
      const task = `${job.id}.0.0.${index}`
      if (isCancelled) this.open.delete(task)
      else this.sampleTask(job, task, sample)
    }
  }

  private sampleTask (job: WatchedJob, task: string, sample: Sample): void {
    const last = this.opts.history.lastRunOf(task)
    const gap = this.open.get(task)
    if (gap !== undefined && last !== undefined && last.startedAt > gap.from) this.end(job, gap, last.startedAt)
    if (last === undefined || last.endedAt <= sample.now) this.measure(job, this.open.get(task) ?? this.begin(task, Math.max(job.acceptedAt, last?.endedAt ?? 0)), sample)
  }

  private begin (task: string, from: number): RunGap {
    const gap = { task, from, to: from, roomMs: 0, ledMs: 0, calmMs: 0, changes: 0, fleetChanges: 0, outages: 0 }
    this.open.set(task, gap)
    return gap
  }

  private measure (job: WatchedJob, gap: RunGap, { now, workers, isServable, isCalm }: Sample): void {
    const ms = now - gap.to
    this.reach(job, gap, now)
    if (isCalm) gap.calmMs += ms
    if (!isServable || roomFor(workers, job) < ROOM_FOR_RUNS) return
    gap.roomMs += ms
    const term = this.opts.leaders.lastingTerm(resourceOf(job))
    if (term !== undefined && this.opts.canAct(term.entry, term.from)) gap.ledMs += ms
  }

  private end (job: WatchedJob, gap: RunGap, at: number): void {
    this.reach(job, gap, at)
    this.open.delete(gap.task)
    this.ended.push(gap)
  }

  private reach (job: WatchedJob, gap: RunGap, to: number): void {
    gap.to = to
    gap.changes = this.opts.leaders.changes(resourceOf(job), gap.from, to)
    gap.fleetChanges = this.opts.leaders.changes(FLEET, gap.from, to)
    gap.outages = this.outagesAt.filter(at => at >= gap.from && at <= to).length
  }
}

function resourceOf ({ service }: WatchedJob): string {
  return `service/${service}`
}
