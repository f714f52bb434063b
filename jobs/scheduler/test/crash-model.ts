import type { ActiveRun, EndedRun, Job, WorkerRegistration } from '@wisteriaslip/jobs.model'
import { Scheduler, toProgress, type JobProgress, type Run, type TrackedWorker } from '@wisteriaslip/jobs.scheduler'
import { limits, worker } from './harness.ts'

const STEP_MS = 10
const POLL_INTERVAL_MS = 100
const RUN_MS = 500
const LEASE_MS = 4_000
const DEFAULT_DETECTION_MS = 900
const RESTART_MS = 3_000

/** What the model decides about runs. */
export interface CrashModelOpts {
  /** How long a run of the task lasts until it crashes its worker, in milliseconds; undefined if it never does. */
  readonly fuseMs: (task: string) => number | undefined
  readonly workers: number
  /** Time from a crash until the leader knows of it, in milliseconds. */
  readonly detectionMs?: number
  /** The start that crashes its worker gets no response. */
  readonly unanswered?: boolean
  /** Rack of each worker, by its number. */
  readonly rack?: (number: number) => string
}

interface ModelRun {
  readonly task: string
  readonly attempt: number
  readonly startedAt: number
  readonly lasting: boolean
  /** Job, occurrence and step of a gang; undefined for other tasks. */
  readonly gang: string | undefined
}

interface ModelWorker {
  readonly registration: WorkerRegistration
  readonly running: Map<string, ModelRun>
  ended: EndedRun[]
  seq: number
  crashedAt: number | undefined
}

/** A service whose workers crash under certain tasks, with a clock in steps of 10 ms and a leader that may be replaced. */
export class CrashModel {
  now = 100_000
  /** While false, nothing can be stored. */
  storeUp = true
  scheduler: Scheduler
  /** Tasks that were running on a crashed worker, by crash. */
  readonly crashes: string[][] = []
  /** Number of starts by task. */
  readonly starts = new Map<string, number>()
  readonly jobs: Job[] = []
  private readonly opts: CrashModelOpts
  private readonly records = new Map<string, JobProgress>()
  private readonly workers = new Map<string, ModelWorker>()
  private term = 0
  private workersStarted = 0

  constructor (opts: CrashModelOpts) {
    this.opts = opts
    this.scheduler = this.createScheduler()
    for (let number = 0; number < opts.workers; number++) this.startWorker(`vm${number}`)
    this.refreshWorkers()
  }

  /** @param job - job to accept */
  addJob (job: Job): void {
    this.jobs.push(job)
    this.scheduler.table.addJob(job, { acceptedThisTerm: true })
  }

  /** Replaces the leader, whose memory is lost. */
  replaceLeader (): void {
    this.term += 1
    this.scheduler = this.createScheduler()
    for (const job of this.jobs) this.scheduler.table.addJob(job, { acceptedThisTerm: false, progress: this.records.get(job.id) })
    this.refreshWorkers()
  }

  /** Crashes all workers of a rack at once. */
  crashRack (rack: string): void {
    for (const each of this.workers.values()) if (each.registration.rack === rack && each.crashedAt === undefined) this.crash(each)
  }

  /** Crashes the workers on which a task runs. */
  crashWorkersWith (task: string): void {
    for (const each of this.workers.values()) if (each.running.has(task)) this.crash(each)
  }

  /** @returns whether a task runs on some worker */
  isRunning (task: string): boolean {
    return [...this.workers.values()].some(each => each.running.has(task))
  }

  /** Lets time pass, in milliseconds. */
  run (ms: number): void {
    for (const until = this.now + ms; this.now < until; this.now += STEP_MS) this.step()
  }

  /** @returns stored outcome of a job, undefined while there is none */
  outcome (id: string): JobProgress['outcome'] {
    return this.records.get(id)?.outcome
  }

  /** @returns number of crashes that a task was part of */
  crashesOf (task: string): number {
    return this.crashes.filter(tasks => tasks.includes(task)).length
  }

  private createScheduler (): Scheduler {
    const queue = { name: 'q', host: 'h', pathPrefix: '/', service: 's', priority: 0, attempts: 4, stretch: 2, objectiveMs: 600, timeoutMs: 0, needsPermit: false }
    return new Scheduler({ clock: { now: () => this.now }, wallClock: () => this.now, limits, queue: () => queue, term: this.term, leadershipConfirmedAt: () => Infinity, maxEarlierLeaseMs: limits.longestLeaseMs })
  }

  private startWorker (vm: string): void {
    const number = Number(vm.slice(2))
    const rack = this.opts.rack?.(number) ?? `r${number}`
    const registration = worker(`w${this.workersStarted}`, { vm, rack, born: this.now, capacity: { cpu: 8_000, memMb: 8_000, accelerators: 0 } })
    this.workersStarted += 1
    this.workers.set(vm, { registration, running: new Map(), ended: [], seq: 0, crashedAt: undefined })
  }

  private refreshWorkers (): void {
    this.scheduler.setWorkers([...this.workers.values()].map(each => each.registration), { unknownRunsUntil: this.now })
  }

  private step (): void {
    for (const [vm, each] of this.workers) {
      this.advance(each)
      if (each.crashedAt !== undefined && this.now - each.crashedAt >= RESTART_MS) this.startWorker(vm)
    }
    this.refreshWorkers()
    for (const tracked of this.scheduler.workers.values()) this.observe(tracked)
    this.scheduler.tick()
    for (const run of this.scheduler.placeReadyTasks()) this.start(run)
    for (const run of this.scheduler.collectDueStops()) this.stop(run)
    if (this.storeUp) this.persist()
  }

  private advance (each: ModelWorker): void {
    if (each.crashedAt !== undefined) return
    for (const run of [...each.running.values()]) {
      const fuse = this.opts.fuseMs(run.task)
      if (fuse !== undefined && this.now - run.startedAt >= fuse) return this.crash(each)
      if (!run.lasting && this.now - run.startedAt >= RUN_MS) this.end(each, run, 'done')
    }
  }

  private crash (each: ModelWorker): void {
    each.crashedAt = this.now
    const lost = [...each.running.values()]
    this.crashes.push(lost.map(run => run.task))
    each.running.clear()
    for (const { gang } of lost) if (gang !== undefined) this.breakGang(gang)
  }

  /** Ends the members of a gang on other workers, because one was lost. */
  private breakGang (gang: string): void {
    for (const each of this.workers.values()) {
      for (const run of [...each.running.values()]) if (run.gang === gang) this.end(each, run, 'broken')
    }
  }

  private end (each: ModelWorker, run: ModelRun, how: EndedRun['how']): void {
    each.running.delete(run.task)
    each.seq += 1
    each.ended.push({ seq: each.seq, task: run.task, attempt: run.attempt, how, checkpoint: '' })
  }

  /** Polls a worker that is due, and finds out about its crash once that can be known. */
  private observe (tracked: TrackedWorker): void {
    const each = this.workers.get(tracked.registration.vm)
    const isCurrent = each?.registration.id === tracked.registration.id
    if (!isCurrent || each.crashedAt !== undefined) {
      tracked.markUnreachable(this.now)
      const knownAfterMs = this.opts.detectionMs ?? DEFAULT_DETECTION_MS
      if (!isCurrent || this.now - (each.crashedAt ?? 0) >= knownAfterMs) {
        this.scheduler.endIncarnation(tracked)
        if (!isCurrent) this.scheduler.releaseRuns(tracked, 'vm-replaced')
      }
      return
    }
    if (this.now % POLL_INTERVAL_MS !== 0 && each.ended.length === 0 && tracked.fenced) return
    each.ended = each.ended.filter(({ seq }) => seq > tracked.seenSeq())
    const running: ActiveRun[] = [...each.running.values()].map(({ task, attempt }) => ({ task, attempt, checkpoint: '', percent: 100, load: 0 }))
    tracked.extendLease(this.now, LEASE_MS)
    this.scheduler.applyReport(tracked, { moreEnded: false, clockMs: this.now, born: each.registration.born, running, ended: [...each.ended] }, { sentAt: this.now, receivedAt: this.now })
  }

  private start (run: Run): void {
    const each = this.workers.get(run.worker.registration.vm)
    if (each === undefined || each.crashedAt !== undefined) {
      this.scheduler.handleStartResponse(run, { kind: 'refused', reason: 'not-sent' })
      return
    }
    const { name, step } = run.task
    this.starts.set(name, (this.starts.get(name) ?? 0) + 1)
    each.running.set(name, { task: name, attempt: run.attempt, startedAt: this.now, lasting: step.spec.lasting, gang: step.spec.gang ? name.slice(0, name.lastIndexOf('.')) : undefined })
    const isUnanswered = this.opts.unanswered === true && this.opts.fuseMs(name) !== undefined
    this.scheduler.handleStartResponse(run, isUnanswered ? { kind: 'unknown', message: 'connection closed' } : undefined, { clockMs: this.now, sentAt: this.now })
  }

  private stop (run: Run): void {
    const each = this.workers.get(run.worker.registration.vm)
    const stopped = each?.running.get(run.task.name)
    const isAlive = each?.registration.id === run.worker.registration.id && each.crashedAt === undefined
    if (isAlive && stopped?.attempt === run.attempt) this.end(each, stopped, 'stopped')
    this.scheduler.handleStopResponse(run, isAlive)
  }

  private persist (): void {
    for (const { tracked, completions } of this.scheduler.table.takeDirty()) {
      const progress = toProgress(tracked)
      this.records.set(tracked.job.id, progress)
      this.scheduler.table.markDurable(tracked, progress.outcome, completions)
    }
  }
}
