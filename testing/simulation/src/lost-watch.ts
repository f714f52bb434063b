import type { VirtualProcess } from '@wisteriaslip/testing.jobs'
import { Disturbances } from './disturbances.ts'
import type { LeaderLog } from './leader-log.ts'
import { roomFor } from './room.ts'
import type { VirtualFleet } from './virtual-fleet.ts'

const SAMPLE_MS = 100
/** A long-running task may be without a run for less than this, if there is room for it and nothing is disturbed. */
const MAX_WAIT_MS = 3_000
/** Time after a run in which its task is not expected to run again. */
const RESTART_MS = 6_000
/** Nothing was disturbed for this long before the wait. */
const CALM_BEFORE_MS = 4_000
/** The workers' room must be enough for as many runs of the task. */
const ROOM_FOR_RUNS = 2

/** A job as its caller knows it. */
export interface WatchedJob {
  readonly id: string
  readonly service: string
  readonly tasks: number
  /** What each task needs, in thousandths of a core. */
  readonly cpu: number
  readonly memMb: number
  /** Most tasks of it on one worker; 0 for no limit. */
  readonly perWorker: number
  /** Tasks run until the job is cancelled. */
  readonly lasting: boolean
  readonly acceptedAt: number
  /** When its caller began to cancel it. */
  cancelledAt?: number
}

/** A long-running task that has waited for a run although there was room and nothing excuses that. Times are virtual, in milliseconds. */
export interface LostTask {
  readonly task: string
  readonly from: number
  /** Latest time at which it waited. */
  to: number
  /** Runs of the task, leaders of its service and disturbances, as of the time at which it counted as lost. */
  readonly runs: readonly string[]
  readonly terms: readonly string[]
  readonly disturbances: readonly string[]
}

/** Options of {@link LostWatch}. */
export interface LostWatchOpts {
  readonly fleet: VirtualFleet
  readonly leaders: LeaderLog
  /** @returns the accepted jobs */
  readonly jobs: () => Iterable<WatchedJob>
  /** @returns what has not recovered from a fault yet, undefined if all has */
  readonly unsettled?: () => string | undefined
}

interface TaskWait {
  /** When it last ran, or its job was accepted. */
  lastAt: number
  hasRun: boolean
  waitsSince: number | undefined
  lost: LostTask | undefined
}

/** Watches from outside whether long-running tasks have runs. */
export class LostWatch {
  readonly disturbances: Disturbances
  /** Tasks that were lost. */
  readonly lost: LostTask[] = []
  /** The longest wait that nothing excuses, also one that is allowed, in milliseconds. */
  longestWaitMs = 0
  /** The longest time that was calm from its beginning, in milliseconds, after which a task had no run although there was room. */
  slowestRecoveryMs = 0
  /** How long waits counted, in milliseconds. */
  calmMs = 0
  private readonly process: VirtualProcess
  private readonly opts: LostWatchOpts
  private readonly waits = new Map<string, TaskWait>()
  private settle: (() => void) | undefined

  /**
   * @param process - gives the time
   * @param opts - what to watch
   */
  constructor (process: VirtualProcess, opts: LostWatchOpts) {
    this.process = process
    this.opts = opts
    this.disturbances = new Disturbances(() => process.now())
  }

  /** Begins to watch. */
  start (): void {
    this.process.outsideAfter(SAMPLE_MS, () => {
      this.sample()
      this.start()
    })
  }

  private sample (): void {
    const now = this.process.now()
    this.opts.leaders.sample(now)
    this.noteUnsettled()
    const isCalm = this.disturbances.calmMs() >= CALM_BEFORE_MS
    if (isCalm) this.calmMs += SAMPLE_MS
    const running = new Set(this.opts.fleet.vms.flatMap(({ incarnation }) => incarnation === undefined ? [] : [...incarnation.runs.keys()]))
    for (const job of this.opts.jobs()) {
      if (!job.lasting || (job.cancelledAt ?? Infinity) <= now) continue
      for (let index = 0; index < job.tasks; index++) this.sampleTask(job, `${job.id}.0.0.${index}`, { now, running, isCalm })
    }
  }

  /** What faults have left behind counts as a disturbance of its own, as long as it lasts. */
  private noteUnsettled (): void {
    const what = this.opts.unsettled?.() ?? (this.opts.fleet.isSettled() ? undefined : 'registrations')
    if (what !== undefined) this.settle ??= this.disturbances.begin(what)
    else {
      this.settle?.()
      this.settle = undefined
    }
  }

  private sampleTask (job: WatchedJob, task: string, { now, running, isCalm }: { now: number, running: ReadonlySet<string>, isCalm: boolean }): void {
    const wait = this.waits.get(task) ?? { lastAt: job.acceptedAt, hasRun: false, waitsSince: undefined, lost: undefined }
    this.waits.set(task, wait)
    if (running.has(task)) {
      Object.assign(wait, { lastAt: now, hasRun: true, waitsSince: undefined, lost: undefined })
      return
    }
    const isDue = now - wait.lastAt >= (wait.hasRun ? RESTART_MS : 0)
    const hasRoom = roomFor(this.opts.fleet.soundWorkers(), job) >= ROOM_FOR_RUNS
    if (hasRoom) this.slowestRecoveryMs = Math.max(this.slowestRecoveryMs, Math.min(now - wait.lastAt, this.disturbances.calmMs()))
    if (!isDue || !isCalm || !hasRoom) {
      Object.assign(wait, { waitsSince: undefined, lost: undefined })
      return
    }
    wait.waitsSince ??= now
    const waitMs = now - wait.waitsSince
    this.longestWaitMs = Math.max(this.longestWaitMs, waitMs)
    if (waitMs >= MAX_WAIT_MS) this.noteLost(job, task, wait, wait.waitsSince)
  }

  private noteLost ({ service }: WatchedJob, task: string, wait: TaskWait, from: number): void {
    const now = this.process.now()
    if (wait.lost === undefined) {
      const terms = this.opts.leaders.since(`service/${service}`, wait.lastAt).map(({ entry, token, from, to }) => `${entry} under ${token}, ${Math.round(from)} to ${Math.round(to)}`)
      wait.lost = { task, from, to: now, runs: this.opts.fleet.history.runsOf(task), terms, disturbances: this.disturbances.since(wait.lastAt) }
      this.lost.push(wait.lost)
    }
    wait.lost.to = now
  }
}
