import { err, ok, delay, type Result } from '@wisteriaslip/core.result'
import type { EndedRun, RunOutcome, Resources, ActiveRun, StartCommand, WorkerClient, WorkerRegistration, WorkerError, WorkerReport, WorkerEndpoint } from '@wisteriaslip/jobs.model'

/** What happens to the next start or stop: the order or its answer is lost, or it is carried out after a while without an answer. */
export type OrderFault = 'fine' | 'lose-order' | 'lose-answer' | 'late'

const LATE_MS = 150
const POLL_MS = 5
const STOP_MS = 10

/** One run as the workers saw it. */
export interface SeenRun {
  readonly worker: string
  readonly task: string
  readonly attempt: number
  /** By the site's clock. */
  readonly begunAt: number
  endedAt?: number
  how?: RunOutcome
}

interface Run {
  readonly seen: SeenRun
  readonly demand: Resources
  timer?: NodeJS.Timeout
}

/** Decides what becomes of a run. */
export interface TaskPlan {
  readonly ms: number
  readonly how: RunOutcome
  readonly demand: Resources
  /** Members of the gang that it belongs to; 1 for none. */
  readonly members: number
}

class MemoryWorker {
  readonly entry: WorkerRegistration
  readonly runs = new Map<string, Run>()
  readonly ended: EndedRun[] = []
  /** Highest attempt of each task that was stopped or has ended. */
  readonly barred = new Map<string, number>()
  token = 0
  leaseUntilMs = 0
  seq = 0
  up = true

  constructor (entry: WorkerRegistration) {
    this.entry = entry
  }
}

/** Workers in memory. What they run, and when, is kept for the tests to judge. */
export class JobWorkers implements WorkerClient {
  /** Fates of the next starts, in order; then all go well. */
  readonly startFaults: OrderFault[] = []
  readonly seen: SeenRun[] = []
  private readonly workers = new Map<string, MemoryWorker>()
  private readonly now: () => number
  private readonly plan: (task: string, attempt: number) => TaskPlan

  /**
   * @param now - clock of all workers, in milliseconds
   * @param plan - what becomes of each run
   */
  constructor (now: () => number, plan: (task: string, attempt: number) => TaskPlan) {
    this.now = now
    this.plan = plan
  }

  /** @param entry - of a worker that begins its life */
  add (entry: WorkerRegistration): void {
    this.workers.set(entry.id, new MemoryWorker(entry))
  }

  /** @param id - of a worker that answers nothing any more, and runs nothing */
  lose (id: string): void {
    const worker = this.worker(id)
    worker.up = false
    for (const run of [...worker.runs.values()]) this.end(worker, run, 'lapsed')
  }

  /** @returns entries of the workers that live */
  entries (): WorkerRegistration[] {
    return [...this.workers.values()].filter(worker => worker.up).map(worker => worker.entry)
  }

  /** Ends all timers. */
  close (): void {
    for (const worker of this.workers.values()) for (const run of worker.runs.values()) clearTimeout(run.timer)
  }

  async start (target: WorkerEndpoint, order: StartCommand): Promise<Result<number, WorkerError>> {
    const fault = this.startFaults.shift() ?? 'fine'
    if (fault === 'lose-order') return lost('order lost')
    if (fault === 'late') {
      setTimeout(() => { this.begin(target, order) }, LATE_MS)
      return lost('no answer')
    }
    const begun = this.begin(target, order)
    return fault === 'lose-answer' ? lost('answer lost') : begun
  }

  async stop (target: WorkerEndpoint, order: { task: string, attempt: number }): Promise<Result<number, WorkerError>> {
    const worker = this.admitted(target)
    if ('kind' in worker) return err(worker)
    this.bar(worker, order.task, order.attempt)
    const run = worker.runs.get(keyOf(order))
    if (run !== undefined) setTimeout(() => this.end(worker, run, 'stopped'), STOP_MS)
    return ok(this.now())
  }

  async setSpeed (): Promise<Result<number, WorkerError>> {
    return ok(this.now())
  }

  async poll (target: WorkerEndpoint, opts: { leaseUntilMs?: number | undefined, seenSeq: number, waitMs: number }, signal: AbortSignal): Promise<Result<WorkerReport, WorkerError>> {
    const worker = this.admitted(target)
    if ('kind' in worker) return err(worker)
    this.lapse(worker)
    worker.leaseUntilMs = Math.max(worker.leaseUntilMs, opts.leaseUntilMs ?? 0)
    while (worker.ended[0] !== undefined && worker.ended[0].seq <= opts.seenSeq) worker.ended.shift()
    const until = this.now() + opts.waitMs
    while (worker.ended.length === 0 && this.now() < until) {
      if (!await delay(POLL_MS, signal)) return lost('aborted')
    }
    if (!worker.up) return lost('gone')
    const running: ActiveRun[] = [...worker.runs.values()].map(({ seen }) => ({ task: seen.task, attempt: seen.attempt, checkpoint: '', percent: 100, load: 0 }))
    return ok({ clockMs: this.now(), born: worker.entry.born, running, ended: [...worker.ended] })
  }

  closeConnections (): void {}

  private begin (target: WorkerEndpoint, order: StartCommand): Result<number, WorkerError> {
    const worker = this.admitted(target)
    if ('kind' in worker) return err(worker)
    this.lapse(worker)
    worker.leaseUntilMs = Math.max(worker.leaseUntilMs, order.leaseUntilMs)
    if (worker.runs.has(keyOf(order))) return ok(this.now())
    if (order.attempt <= (worker.barred.get(order.task) ?? 0)) return refused('old')
    if (order.leaseUntilMs <= this.now()) return refused('late')
    const plan = this.plan(order.task, order.attempt)
    const used = [...worker.runs.values()].reduce((sum, run) => sum + run.demand.cpu, 0)
    if (used + plan.demand.cpu > worker.entry.capacity.cpu) return refused('room')
    const run: Run = { seen: { worker: worker.entry.id, task: order.task, attempt: order.attempt, begunAt: this.now() }, demand: plan.demand }
    worker.runs.set(keyOf(order), run)
    this.seen.push(run.seen)
    if (plan.members === 1) run.timer = setTimeout(() => this.end(worker, run, plan.how), plan.ms)
    else this.beginGang(order, plan)
    return ok(this.now())
  }

  /** Members of a gang work from when all of one attempt are there; one of their ends stands for all. */
  private beginGang (order: StartCommand, plan: TaskPlan): void {
    const step = stepOf(order.task)
    const present = [...this.workers.values()].flatMap(worker => [...worker.runs.values()].filter(({ seen }) => stepOf(seen.task) === step && seen.attempt === order.attempt).map(run => ({ worker, run })))
    if (present.length < plan.members) return
    for (const { worker, run } of present) run.timer = setTimeout(() => this.end(worker, run, plan.how), plan.ms)
  }

  private end (worker: MemoryWorker, run: Run, how: RunOutcome): void {
    clearTimeout(run.timer)
    if (!worker.runs.delete(keyOf(run.seen))) return
    run.seen.endedAt = this.now()
    run.seen.how = how
    this.bar(worker, run.seen.task, run.seen.attempt)
    worker.seq += 1
    worker.ended.push({ seq: worker.seq, task: run.seen.task, attempt: run.seen.attempt, how, checkpoint: '' })
  }

  private bar (worker: MemoryWorker, task: string, attempt: number): void {
    worker.barred.set(task, Math.max(worker.barred.get(task) ?? 0, attempt))
  }

  private lapse (worker: MemoryWorker): void {
    if (worker.leaseUntilMs > this.now()) return
    for (const run of [...worker.runs.values()]) this.end(worker, run, 'lapsed')
  }

  private admitted (target: WorkerEndpoint): MemoryWorker | WorkerError {
    const worker = this.workers.get(target.id)
    if (worker === undefined || !worker.up) return { kind: 'unknown', message: 'no answer' }
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

function lost (message: string): Result<never, WorkerError> {
  return err({ kind: 'unknown', message })
}

function refused (reason: 'old' | 'late' | 'room'): Result<never, WorkerError> {
  return err({ kind: 'refused', reason })
}

function keyOf (run: { task: string, attempt: number }): string {
  return `${run.task}#${run.attempt}`
}

function stepOf (task: string): string {
  return task.slice(0, task.lastIndexOf('.'))
}
