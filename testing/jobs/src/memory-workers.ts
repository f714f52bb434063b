import { err, ok, delay, type Result } from '@wisteriaslip/core.result'
import type { EndedRun, RunOutcome, Resources, ActiveRun, AddressedWorkerCalls, StartCommand, WorkerChannel, WorkerClient, WorkerRegistration, WorkerError, WorkerReport, WorkerEndpoint } from '@wisteriaslip/jobs.model'
import { StandInChannel } from './stand-in-channel.ts'

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
  readonly record: RecordedRun
  readonly demand: Resources
  timer?: NodeJS.Timeout
}

/** Planned outcome of a run. */
export interface RunPlan {
  /** Duration in milliseconds. */
  readonly runMs: number
  readonly how: RunOutcome
  readonly demand: Resources
  /** Size of the gang that the task belongs to; 1 for none. */
  readonly members: number
  /** When the run crashes its worker, in milliseconds from its start; undefined if it does not. */
  readonly crashAfterMs?: number | undefined
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
  /** Calls get no response, and connections stay open. */
  silent = false
  /** Registration of the previous incarnation under the same id, as long as this one has not registered. */
  listedAs: WorkerRegistration | undefined
  /** Reading of the clock that all workers share when the clock of this one started. */
  readonly startedAt: number

  constructor (registration: WorkerRegistration, startedAt = 0) {
    this.registration = registration
    this.startedAt = startedAt
  }
}

/** In-memory workers. They record every run, so that tests can check what ran and when. */
export class InMemoryWorkers implements WorkerClient, AddressedWorkerCalls {
  /** Faults of the next starts, in order; later starts have none. */
  readonly startFaults: StartFault[] = []
  /** All runs that have started, in order. */
  readonly recordedRuns: RecordedRun[] = []
  /** How many completions a poll lists at most. */
  maxListedEnds = 500
  /** Figure that a poll reports for a run of a task, beside the tasks on its worker. */
  loadOf: (task: string, tasks: readonly string[]) => number = () => 0
  /** Checkpoint that a poll reports for a run of a task. */
  checkpointOf: (task: string) => string = () => ''
  /** Number of polls that the caller ended early. */
  endedPolls = 0
  /** Called with the id of a worker that a run crashes. */
  onCrash: (id: string) => void = id => this.crash(id)
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

  /**
   * Crashes a worker and starts it again under its id at once. Polls in progress get no response.
   * @param id - id of the worker
   * @param registersAfterMs - when the next incarnation registers, in milliseconds
   */
  restart (id: string, registersAfterMs: number): void {
    const previous = this.worker(id)
    previous.silent = true
    this.crash(id)
    const { registration } = previous
    const next = new MemoryWorker({ ...registration, born: registration.born + 1 }, this.now())
    next.listedAs = registration
    setTimeout(() => { next.listedAs = undefined }, registersAfterMs)
    this.workers.set(id, next)
  }

  /**
   * @param id - id of a worker
   * @returns id of its VM
   */
  vmOf (id: string): string {
    return this.worker(id).registration.vm
  }

  /** @returns registrations of the workers that have not crashed */
  registrations (): WorkerRegistration[] {
    return [...this.workers.values()].filter(worker => worker.up).map(worker => worker.listedAs ?? worker.registration)
  }

  /** Clears the timers of all runs. */
  close (): void {
    for (const worker of this.workers.values()) for (const run of worker.runs.values()) clearTimeout(run.timer)
  }

  async start (endpoint: WorkerEndpoint, command: StartCommand): Promise<Result<number, WorkerError>> {
    const fault = this.startFaults.shift() ?? 'fine'
    if (fault === 'lose-command') return noReply('command lost')
    if (fault === 'late') {
      const called = this.workers.get(endpoint.id)
      setTimeout(() => { if (this.workers.get(endpoint.id) === called) this.startRun(endpoint, command) }, LATE_START_DELAY_MS)
      return noReply('no response')
    }
    const started = this.startRun(endpoint, command)
    return fault === 'lose-response' ? noReply('response lost') : started
  }

  async stop (endpoint: WorkerEndpoint, command: { task: string, attempt: number }): Promise<Result<number, WorkerError>> {
    const worker = this.admit(endpoint)
    if ('kind' in worker) return err(worker)
    this.blockAttempt(worker, command.task, command.attempt)
    const run = worker.runs.get(runKey(command))
    if (run !== undefined) setTimeout(() => this.end(worker, run, 'stopped'), STOP_DELAY_MS)
    return ok(this.clockOf(worker))
  }

  async setSpeed (): Promise<Result<number, WorkerError>> {
    return ok(this.now())
  }

  async poll (endpoint: WorkerEndpoint, opts: { leaseUntilMs?: number | undefined, seenSeq: number, waitMs: number }, signal: AbortSignal): Promise<Result<WorkerReport, WorkerError>> {
    const worker = this.admit(endpoint)
    if ('kind' in worker) return err(worker)
    this.expireRuns(worker)
    worker.leaseUntilMs = Math.max(worker.leaseUntilMs, opts.leaseUntilMs ?? 0)
    while (worker.ended[0] !== undefined && worker.ended[0].seq <= opts.seenSeq) worker.ended.shift()
    const pollUntil = this.now() + opts.waitMs
    while (worker.silent || (worker.ended.length === 0 && this.now() < pollUntil)) {
      if (await delay(POLL_INTERVAL_MS, signal)) continue
      this.endedPolls += 1
      return noReply('aborted')
    }
    if (!worker.up) return noReply('worker crashed')
    const tasks = [...worker.runs.values()].map(({ record }) => record.task)
    const running: ActiveRun[] = [...worker.runs.values()].map(({ record: { task, attempt } }) => ({ task, attempt, checkpoint: this.checkpointOf(task), percent: 100, load: this.loadOf(task, tasks) }))
    return ok({ clockMs: this.clockOf(worker), born: worker.registration.born, running, ended: worker.ended.slice(0, this.maxListedEnds), moreEnded: worker.ended.length > this.maxListedEnds })
  }

  connect (endpoint: WorkerEndpoint): WorkerChannel {
    return new StandInChannel<MemoryWorker>(endpoint, {
      start: async (channel, command) => this.breaks(channel) ?? await this.start(endpoint, command),
      stop: async (channel, command) => this.breaks(channel) ?? await this.stop(endpoint, command),
      poll: async (channel, opts, signal) => this.breaks(channel) ?? await this.poll(endpoint, opts, signal),
      setSpeed: async channel => this.breaks(channel) ?? await this.setSpeed()
    })
  }

  /** Returns the error of a call on a channel that another incarnation has accepted. */
  private breaks (channel: StandInChannel<MemoryWorker>): Result<never, WorkerError> | undefined {
    const worker = this.workers.get(channel.endpoint.id)
    return worker === undefined || channel.reaches(worker) ? undefined : noReply('connection reset')
  }

  private startRun (endpoint: WorkerEndpoint, command: StartCommand): Result<number, WorkerError> {
    const worker = this.admit(endpoint)
    if ('kind' in worker) return err(worker)
    this.expireRuns(worker)
    worker.leaseUntilMs = Math.max(worker.leaseUntilMs, command.leaseUntilMs)
    if (worker.runs.has(runKey(command))) return ok(this.clockOf(worker))
    if (command.attempt <= (worker.blockedAttempts.get(command.task) ?? 0)) return refused('old')
    if (command.leaseUntilMs <= this.clockOf(worker)) return refused('late')
    const plan = this.plan(command.task, command.attempt)
    const used = [...worker.runs.values()].reduce((sum, run) => sum + run.demand.cpu, 0)
    if (used + plan.demand.cpu > worker.registration.capacity.cpu) return refused('room')
    const run: Run = { record: { worker: worker.registration.id, task: command.task, attempt: command.attempt, startedAt: this.now() }, demand: plan.demand }
    worker.runs.set(runKey(command), run)
    this.recordedRuns.push(run.record)
    const { crashAfterMs } = plan
    if (crashAfterMs !== undefined) run.timer = setTimeout(() => this.onCrash(worker.registration.id), crashAfterMs)
    else if (plan.members === 1) run.timer = setTimeout(() => this.end(worker, run, plan.how), plan.runMs)
    else this.startCompleteGang(command, plan)
    return ok(this.clockOf(worker))
  }

  /** Starts the timers of a gang once all members of one attempt are present; they share the last member's plan. */
  private startCompleteGang (command: StartCommand, plan: RunPlan): void {
    const step = stepOfTask(command.task)
    const gangRuns = [...this.workers.values()].flatMap(worker => [...worker.runs.values()].filter(({ record }) => stepOfTask(record.task) === step && record.attempt === command.attempt).map(run => ({ worker, run })))
    if (gangRuns.length < plan.members) return
    for (const { worker, run } of gangRuns) run.timer = setTimeout(() => this.end(worker, run, plan.how), plan.runMs)
  }

  private end (worker: MemoryWorker, run: Run, how: RunOutcome): void {
    clearTimeout(run.timer)
    if (!worker.runs.delete(runKey(run.record))) return
    run.record.endedAt = this.now()
    run.record.how = how
    this.blockAttempt(worker, run.record.task, run.record.attempt)
    worker.seq += 1
    worker.ended.push({ seq: worker.seq, task: run.record.task, attempt: run.record.attempt, how, checkpoint: '' })
  }

  private blockAttempt (worker: MemoryWorker, task: string, attempt: number): void {
    worker.blockedAttempts.set(task, Math.max(worker.blockedAttempts.get(task) ?? 0, attempt))
  }

  private expireRuns (worker: MemoryWorker): void {
    if (worker.leaseUntilMs > this.clockOf(worker)) return
    for (const run of [...worker.runs.values()]) this.end(worker, run, 'lapsed')
  }

  /** Reads the clock of a worker, which started with its incarnation. */
  private clockOf (worker: MemoryWorker): number {
    return this.now() - worker.startedAt
  }

  private admit (endpoint: WorkerEndpoint): MemoryWorker | WorkerError {
    const worker = this.workers.get(endpoint.id)
    if (worker === undefined || !worker.up) return { kind: 'unknown', message: 'no response' }
    if (endpoint.token < worker.token) return { kind: 'refused', reason: 'fence' }
    worker.token = endpoint.token
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
