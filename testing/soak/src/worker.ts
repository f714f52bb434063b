import type { Server } from 'node:http'
import { delay, linkAbort } from '@wisteriaslip/core.result'
import type { Addresses } from './addresses.ts'
import { createJsonServer, type JsonCall, type JsonReply } from './http.ts'
import type { RunEnd, RunLog, RunRecord, Size, WorkerLife } from './run-log.ts'

const MAX_STOP_MS = 400
const MAX_WAIT_MS = 2_000
const MAX_LISTED_ENDS = 500
/** A worker's clock is slow by at most this share. */
const MAX_CLOCK_SLOWNESS = 0.02

/** What a task does; callers send it as the job's `spec`. */
export interface TaskPlan extends Size {
  /** Duration in milliseconds; 0 for a run that lasts until it is stopped. */
  readonly runMs: number
  /** Share of the runs that end as failed. */
  readonly failShare: number
}

interface ActiveRun { readonly record: RunRecord, readonly plan: TaskPlan, timer?: NodeJS.Timeout, stopping: boolean }
interface ListedEnd { readonly seq: number, readonly record: RunRecord }

/** Options of {@link Worker}. */
export interface WorkerOpts {
  readonly id: string
  readonly service: string
  readonly capacity: Size
  readonly longestLeaseMs: number
  readonly addresses: Addresses
  readonly log: RunLog
  readonly random: () => number
}

/** One incarnation of a worker. Its clock and its lists begin with it. */
export class Worker {
  readonly id: string
  /** Unix time of its start in milliseconds. */
  readonly born = Date.now()
  readonly server: Server
  private readonly opts: WorkerOpts
  private readonly startedAt = performance.now()
  private readonly clockRate: number
  private token = 0
  private leaseUntilMs = 0
  private leaseTimer: NodeJS.Timeout | undefined
  private seq = 0
  private up = true
  private readonly active = new Map<string, ActiveRun>()
  private readonly blocked = new Map<string, number>()
  private ends: ListedEnd[] = []
  private ended = new AbortController()
  private readonly life: WorkerLife

  /** @param opts - identity, capacity, and the log of runs */
  constructor (opts: WorkerOpts) {
    this.opts = opts
    this.id = opts.id
    this.life = { worker: opts.id, born: this.born, service: opts.service, capacity: opts.capacity, startedAt: opts.log.now() }
    opts.log.lives.push(this.life)
    this.clockRate = 1 - opts.random() * MAX_CLOCK_SLOWNESS
    this.server = createJsonServer(async call => await this.handle(call))
  }

  /**
   * Ends the incarnation: nothing runs there any more, and nobody learns how it ended.
   * @param how - whether that was planned
   */
  terminate (how: 'crashed' | 'left'): void {
    this.up = false
    this.life.endedAt ??= this.opts.log.now()
    clearTimeout(this.leaseTimer)
    for (const run of this.active.values()) this.endRecord(run, how)
    this.active.clear()
    this.ended.abort()
  }

  /** Notes that the worker has announced that it will leave. */
  noteDraining (): void {
    this.life.drainingAt ??= this.opts.log.now()
  }

  /** @returns whether it has announced that it will leave */
  isDraining (): boolean {
    return this.life.drainingAt !== undefined
  }

  private clockMs (): number {
    return Math.floor((performance.now() - this.startedAt) * this.clockRate)
  }

  private async handle (call: JsonCall): Promise<JsonReply> {
    if (!this.up) return 'lost'
    const target = call.headers['wisteriaslip-target-instance']
    if (target !== undefined && target !== this.id) return { status: 421 }
    const token = Number(call.body.fence ?? 0)
    if (token < this.token) return this.refuse('fence')
    this.token = token
    const entry = this.opts.addresses.viewerOf(call.source)
    if (call.path === '/-/run-start') return this.start(call.body, { entry, token })
    if (call.path === '/-/run-stop') return this.stop(String(call.body.task), Number(call.body.attempt))
    if (call.path === '/-/hold') return await this.poll(call, { entry, token })
    return call.path === '/-/pace' ? this.confirm() : { status: 400 }
  }

  private start (body: JsonCall['body'], from: { entry: number | undefined, token: number }): JsonReply {
    const [task, attempt, spec] = [String(body.task), Number(body.attempt), String(body.spec)]
    this.extendLease(body.deadlineMs)
    if (this.active.has(runKey(task, attempt))) return this.confirm()
    if (attempt <= (this.blocked.get(task) ?? 0)) return this.refuse('old')
    if (Number(body.deadlineMs ?? 0) <= this.clockMs()) return this.refuse('late')
    const plan = JSON.parse(spec) as TaskPlan
    if (!this.hasRoom(plan)) return this.refuse('room')
    const { log, random } = this.opts
    const record: RunRecord = { task, attempt, spec, worker: this.id, born: this.born, ...from, startedAt: log.now() }
    const run: ActiveRun = { record, plan, stopping: false }
    log.runs.push(record)
    this.active.set(runKey(task, attempt), run)
    if (plan.runMs > 0) run.timer = setTimeout(() => this.end(run, random() < plan.failShare ? 'failed' : 'done'), plan.runMs)
    return this.confirm()
  }

  private stop (task: string, attempt: number): JsonReply {
    this.block(task, attempt)
    const run = this.active.get(runKey(task, attempt))
    if (run !== undefined && !run.stopping) {
      run.stopping = true
      clearTimeout(run.timer)
      run.timer = setTimeout(() => this.end(run, 'stopped'), this.opts.random() * MAX_STOP_MS)
    }
    return this.confirm()
  }

  private async poll ({ body, signal }: JsonCall, from: { entry: number | undefined, token: number }): Promise<JsonReply> {
    this.extendLease(body.deadlineMs)
    this.forget(Number(body.lastSeen ?? 0), from)
    const until = performance.now() + Math.min(MAX_WAIT_MS, Number(body.waitMs ?? 0))
    while (this.ends.length === 0 && !signal.aborted && this.up) {
      const leftMs = until - performance.now()
      if (leftMs <= 0 || !await this.nextEnd(leftMs, signal)) break
    }
    if (!this.up) return 'lost'
    const running = [...this.active.values()].map(run => [run.record.task, run.record.attempt, '', this.percent(run), 0])
    const finished = this.ends.slice(0, MAX_LISTED_ENDS).map(({ seq, record }) => [seq, record.task, record.attempt, record.how, ''])
    return { status: 200, body: { clockMs: this.clockMs(), born: this.born, running, finished } }
  }

  /** @returns false when the time has passed */
  private async nextEnd (withinMs: number, signal: AbortSignal): Promise<boolean> {
    const wait = linkAbort(signal)
    const stop = (): void => wait.abort()
    const ended = this.ended.signal
    ended.addEventListener('abort', stop)
    const passed = await delay(withinMs, wait.signal)
    ended.removeEventListener('abort', stop)
    wait.release()
    return !passed
  }

  private extendLease (deadlineMs: unknown): void {
    if (typeof deadlineMs !== 'number') return
    const until = Math.min(deadlineMs, this.clockMs() + this.opts.longestLeaseMs)
    if (until <= this.leaseUntilMs) return
    this.noteLapse()
    this.leaseUntilMs = until
    this.awaitLapse()
  }

  private awaitLapse (): void {
    clearTimeout(this.leaseTimer)
    this.leaseTimer = setTimeout(() => {
      if (this.clockMs() < this.leaseUntilMs) this.awaitLapse()
      else this.noteLapse()
    }, (this.leaseUntilMs - this.clockMs()) / this.clockRate)
  }

  private noteLapse (): void {
    if (this.leaseUntilMs === 0 || this.clockMs() < this.leaseUntilMs) return
    this.leaseUntilMs = 0
    for (const run of [...this.active.values()]) this.end(run, 'lapsed')
    for (const { record } of this.ends) record.lapsedBeforeNoted = true
  }

  private forget (lastSeen: number, notedBy: { entry: number | undefined, token: number }): void {
    this.noteLapse()
    for (const { record } of this.ends.filter(({ seq }) => seq <= lastSeen)) Object.assign(record, { notedAt: this.opts.log.now(), notedBy })
    this.ends = this.ends.filter(({ seq }) => seq > lastSeen)
  }

  private end (run: ActiveRun, how: RunEnd): void {
    if (!this.active.delete(runKey(run.record.task, run.record.attempt))) return
    this.endRecord(run, how)
    this.block(run.record.task, run.record.attempt)
    this.seq += 1
    this.ends.push({ seq: this.seq, record: run.record })
    this.ended.abort()
    this.ended = new AbortController()
  }

  private endRecord ({ record, timer }: ActiveRun, how: RunEnd): void {
    clearTimeout(timer)
    record.endedAt = this.opts.log.now()
    record.how = how
  }

  private block (task: string, attempt: number): void {
    this.blocked.set(task, Math.max(attempt, this.blocked.get(task) ?? 0))
  }

  private hasRoom (plan: TaskPlan): boolean {
    const plans = [plan, ...[...this.active.values()].map(run => run.plan)]
    const used = (field: keyof Size): number => plans.reduce((sum, each) => sum + each[field], 0)
    return used('cpu') <= this.opts.capacity.cpu && used('memMb') <= this.opts.capacity.memMb
  }

  private percent ({ record, plan }: ActiveRun): number {
    return plan.runMs === 0 ? 100 : Math.min(99, Math.floor((this.opts.log.now() - record.startedAt) * 100 / plan.runMs))
  }

  private confirm (): JsonReply {
    return { status: 200, body: { clockMs: this.clockMs(), born: this.born } }
  }

  private refuse (reason: 'fence' | 'old' | 'late' | 'room'): JsonReply {
    return { status: 409, body: { clockMs: this.clockMs(), born: this.born, reason } }
  }
}

function runKey (task: string, attempt: number): string {
  return `${task}#${attempt}`
}
