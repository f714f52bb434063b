import { err, ok, delay, type Result } from '@wisteriaslip/core.result'
import type { EndedRun, RunOutcome, Resources, ActiveRun, StartCommand, WorkerClient, WorkerRegistration, WorkerError, WorkerReport, WorkerEndpoint } from '@wisteriaslip/jobs.model'

/** Fault of a start: the command or its response is lost, or the command is executed late and without a response. */
export type StartFault = 'fine' | 'lose-command' | 'lose-response' | 'late'

const LATE_START_DELAY_MS = 150
const POLL_INTERVAL_MS = 5
const STOP_DELAY_MS = 10

/** One run as the workers recorded it. */
export interface RecordedRun {
  readonly worker: string
  readonly task: string
  readonly attempt: number
  /** By the workers' clock, in milliseconds; so is `endedAt`. */
  readonly startedAt: number
  endedAt?: number
  how?: RunOutcome
}

interface Run {
  readonly seen: RecordedRun
  readonly demand: Resources
  timer?: NodeJS.Timeout
}

/** Planned outcome of a run. */
export interface RunPlan {
  /** Duration in milliseconds. */
  readonly ms: number
  readonly how: RunOutcome
  readonly demand: Resources
  /** Size of the gang that the task belongs to; 1 for none. */
  readonly members: number
}

class MemoryWorker {
  readonly registration: WorkerRegistration
  readonly runs = new Map<string, Run>()
  readonly ended: EndedRun[] = []
  /** Highest stopped or ended attempt of each task; it and earlier attempts may not start. */
  readonly blockedAttempts = new Map<string, number>()
  token = 0
  leaseUntilMs = 0
  seq = 0
  up = true

  constructor (registration: WorkerRegistration) {
    this.registration = registration
  }
}

/** In-memory workers. They record every run, so that tests can check what ran and when. */
export class InMemoryWorkers implements WorkerClient {
  /** Faults of the next starts, in order; later starts have none. */
  readonly startFaults: StartFault[] = []
  /** All runs that have started, in order. */
  readonly seen: RecordedRun[] = []
  private readonly workers = new Map<string, MemoryWorker>()
  private readonly now: () => number
  private readonly plan: (task: string, attempt: number) => RunPlan

  /**
   * @param now - clock shared by all workers, in milliseconds
   * @param plan - planned outcome of each run
   */
  constructor (now: () => number, plan: (task: string, attempt: number) => RunPlan) {
    this.now = now
    this.plan = plan
  }

  /** @param registration - registration of a worker that starts */
  add (registration: WorkerRegistration): void {
    this.workers.set(registration.id, new MemoryWorker(registration))
  }

  /** @param id - id of a worker whose runs end and that no longer responds */
  crash (id: string): void {
    const worker = this.worker(id)
    worker.up = false
    for (const run of [...worker.runs.values()]) this.end(worker, run, 'lapsed')
  }

  /** @returns registrations of the workers that have not crashed */
  registrations (): WorkerRegistration[] {
    return [...this.workers.values()].filter(worker => worker.up).map(worker => worker.registration)
  }

  /** Clears the timers of all runs. */
  close (): void {
    for (const worker of this.workers.values()) for (const run of worker.runs.values()) clearTimeout(run.timer)
  }

  async start (target: WorkerEndpoint, order: StartCommand): Promise<Result<number, WorkerError>> {
    const fault = this.startFaults.shift() ?? 'fine'
    if (fault === 'lose-command') return noReply('command lost')
    if (fault === 'late') {
      setTimeout(() => { this.startRun(target, order) }, LATE_START_DELAY_MS)
      return noReply('no response')
    }
    const begun = this.startRun(target, order)
    return fault === 'lose-response' ? noReply('response lost') : begun
  }

  async stop (target: WorkerEndpoint, order: { task: string, attempt: number }): Promise<Result<number, WorkerError>> {
    const worker = this.admit(target)
    if ('kind' in worker) return err(worker)
    this.blockAttempt(worker, order.task, order.attempt)
    const run = worker.runs.get(runKey(order))
    if (run !== undefined) setTimeout(() => this.end(worker, run, 'stopped'), STOP_DELAY_MS)
    return ok(this.now())
  }

  async setSpeed (): Promise<Result<number, WorkerError>> {
    return ok(this.now())
  }

  async poll (target: WorkerEndpoint, opts: { leaseUntilMs?: number | undefined, seenSeq: number, waitMs: number }, signal: AbortSignal): Promise<Result<WorkerReport, WorkerError>> {
    const worker = this.admit(target)
    if ('kind' in worker) return err(worker)
    this.expireRuns(worker)
    worker.leaseUntilMs = Math.max(worker.leaseUntilMs, opts.leaseUntilMs ?? 0)
    while (worker.ended[0] !== undefined && worker.ended[0].seq <= opts.seenSeq) worker.ended.shift()
    const pollUntil = this.now() + opts.waitMs
    while (worker.ended.length === 0 && this.now() < pollUntil) {
      if (!await delay(POLL_INTERVAL_MS, signal)) return noReply('aborted')
    }
    if (!worker.up) return noReply('worker crashed')
    const running: ActiveRun[] = [...worker.runs.values()].map(({ seen }) => ({ task: seen.task, attempt: seen.attempt, checkpoint: '', percent: 100, load: 0 }))
    return ok({ clockMs: this.now(), born: worker.registration.born, running, ended: [...worker.ended] })
  }

  closeConnections (): void {}

  private startRun (target: WorkerEndpoint, order: StartCommand): Result<number, WorkerError> {
    const worker = this.admit(target)
    if ('kind' in worker) return err(worker)
    this.expireRuns(worker)
    worker.leaseUntilMs = Math.max(worker.leaseUntilMs, order.leaseUntilMs)
    if (worker.runs.has(runKey(order))) return ok(this.now())
    if (order.attempt <= (worker.blockedAttempts.get(order.task) ?? 0)) return refused('old')
    if (order.leaseUntilMs <= this.now()) return refused('late')
    const plan = this.plan(order.task, order.attempt)
    const used = [...worker.runs.values()].reduce((sum, run) => sum + run.demand.cpu, 0)
    if (used + plan.demand.cpu > worker.registration.capacity.cpu) return refused('room')
    const run: Run = { seen: { worker: worker.registration.id, task: order.task, attempt: order.attempt, startedAt: this.now() }, demand: plan.demand }
    worker.runs.set(runKey(order), run)
    this.seen.push(run.seen)
    if (plan.members === 1) run.timer = setTimeout(() => this.end(worker, run, plan.how), plan.ms)
    else this.startCompleteGang(order, plan)
    return ok(this.now())
  }

  /** Starts the timers of a gang once all members of one attempt are present; they share the last member's plan. */
  private startCompleteGang (order: StartCommand, plan: RunPlan): void {
    const step = stepOfTask(order.task)
    const present = [...this.workers.values()].flatMap(worker => [...worker.runs.values()].filter(({ seen }) => stepOfTask(seen.task) === step && seen.attempt === order.attempt).map(run => ({ worker, run })))
    if (present.length < plan.members) return
    for (const { worker, run } of present) run.timer = setTimeout(() => this.end(worker, run, plan.how), plan.ms)
  }

  private end (worker: MemoryWorker, run: Run, how: RunOutcome): void {
    clearTimeout(run.timer)
    if (!worker.runs.delete(runKey(run.seen))) return
    run.seen.endedAt = this.now()
    run.seen.how = how
    this.blockAttempt(worker, run.seen.task, run.seen.attempt)
    worker.seq += 1
    worker.ended.push({ seq: worker.seq, task: run.seen.task, attempt: run.seen.attempt, how, checkpoint: '' })
  }

  private blockAttempt (worker: MemoryWorker, task: string, attempt: number): void {
    worker.blockedAttempts.set(task, Math.max(worker.blockedAttempts.get(task) ?? 0, attempt))
  }

  private expireRuns (worker: MemoryWorker): void {
    if (worker.leaseUntilMs > this.now()) return
    for (const run of [...worker.runs.values()]) this.end(worker, run, 'lapsed')
  }

  private admit (target: WorkerEndpoint): MemoryWorker | WorkerError {
    const worker = this.workers.get(target.id)
    if (worker === undefined || !worker.up) return { kind: 'unknown', message: 'no response' }
    if (target.token < worker.token) return { kind: 'refused', reason: 'fence' }
    worker.token = target.token
    return worker
  }

  private worker (id: string): MemoryWorker {
    const worker = this.workers.get(id)
    if (worker === undefined) throw new Error(`no worker ${id}`)
    return worker
  }
}

function noReply (message: string): Result<never, WorkerError> {
  return err({ kind: 'unknown', message })
}

function refused (reason: 'old' | 'late' | 'room'): Result<never, WorkerError> {
  return err({ kind: 'refused', reason })
}

function runKey (run: { task: string, attempt: number }): string {
  return `${run.task}#${run.attempt}`
}

function stepOfTask (task: string): string {
  return task.slice(0, task.lastIndexOf('.'))
}
