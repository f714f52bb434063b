import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { AddressedWorkerCalls, EndedRun, StartCommand, WorkerChannel, WorkerClient, WorkerEndpoint, WorkerError, WorkerRegistration, WorkerReport } from '@wisteriaslip/jobs.model'
import { StandInChannel } from './stand-in-channel.ts'
import type { VirtualProcess } from './virtual-process.ts'

const NETWORK_DELAY_MS = 1

/** Processor time that a call costs the caller, in milliseconds: to send it, and to read its response. */
export interface CallCosts {
  readonly sendMs: number
  readonly readMs: number
}

interface VirtualWorker {
  readonly id: string
  /** Attempt by task. */
  readonly running: Map<string, number>
  ended: EndedRun[]
  seq: number
  token: number
  leaseUntilMs: number
  answerPoll: (() => void) | undefined
}

/** What the workers saw. */
export interface WorkerStats {
  started: number
  done: number
  /** Runs that ended because their worker's lease expired. */
  lapsed: number
  /** Starts of a task that was running or done. */
  repeated: number
}

/** Workers on a virtual clock, outside of the process under test, whose calls to them cost it processor time. */
export class VirtualWorkers implements WorkerClient, AddressedWorkerCalls {
  readonly stats: WorkerStats = { started: 0, done: 0, lapsed: 0, repeated: 0 }
  /** When each task was first started. */
  readonly startedAt = new Map<string, number>()
  private readonly workers = new Map<string, VirtualWorker>()
  private readonly finished = new Set<string>()
  private readonly process: VirtualProcess
  private readonly opts: { costs: CallCosts, runMs: (task: string) => number }

  /**
   * @param process - process under test
   * @param opts - `costs`: of each call; `runMs`: duration of a task, infinite for tasks that do not end
   */
  constructor (process: VirtualProcess, opts: { costs: CallCosts, runMs: (task: string) => number }) {
    this.process = process
    this.opts = opts
  }

  /**
   * @param count - number of workers to add
   * @param service - their service
   * @returns their registrations
   */
  add (count: number, service: string): WorkerRegistration[] {
    return Array.from({ length: count }, (_, number) => {
      const id = `w${number}`
      this.workers.set(id, { id, running: new Map(), ended: [], seq: 0, token: 0, leaseUntilMs: 0, answerPoll: undefined })
      return { id, born: 1, service, host: 'h', port: 1, zone: 'z', vm: `vm-${id}`, draining: false, capacity: { cpu: 64_000, memMb: 128_000, accelerators: 0 }, labels: [], rack: `r${number % 4}` }
    })
  }

  async start (endpoint: WorkerEndpoint, command: StartCommand, signal: AbortSignal): Promise<Result<number, WorkerError>> {
    return await this.call(endpoint, signal, (worker, respond) => {
      worker.leaseUntilMs = Math.max(worker.leaseUntilMs, command.leaseUntilMs)
      if (worker.running.get(command.task) !== command.attempt) this.startRun(worker, command)
      respond(ok(this.process.now()))
    })
  }

  async stop (endpoint: WorkerEndpoint, command: { task: string, attempt: number }, signal: AbortSignal): Promise<Result<number, WorkerError>> {
    return await this.call(endpoint, signal, (worker, respond) => {
      this.endRun(worker, command.task, command.attempt, 'stopped')
      respond(ok(this.process.now()))
    })
  }

  async poll (endpoint: WorkerEndpoint, opts: { leaseUntilMs?: number | undefined, seenSeq: number, waitMs: number }, signal: AbortSignal): Promise<Result<WorkerReport, WorkerError>> {
    return await this.call(endpoint, signal, (worker, respond) => {
      worker.leaseUntilMs = Math.max(worker.leaseUntilMs, opts.leaseUntilMs ?? 0)
      worker.ended = worker.ended.filter(({ seq }) => seq > opts.seenSeq)
      let answered = false
      const answer = (): void => {
        if (answered) return
        answered = true
        const running = [...worker.running].map(([task, attempt]) => ({ task, attempt, checkpoint: '', percent: 100, load: 0 }))
        respond(ok({ clockMs: this.process.now(), born: 1, running, ended: [...worker.ended], moreEnded: false }))
      }
      worker.answerPoll = answer
      if (worker.ended.length > 0 || opts.waitMs === 0) answer()
      else this.process.outsideAfter(opts.waitMs, answer)
    })
  }

  async setSpeed (): Promise<Result<number, WorkerError>> {
    return ok(this.process.now())
  }

  connect (endpoint: WorkerEndpoint): WorkerChannel {
    return new StandInChannel(endpoint, {
      start: async (_channel, ...args) => await this.start(endpoint, ...args),
      stop: async (_channel, ...args) => await this.stop(endpoint, ...args),
      poll: async (_channel, ...args) => await this.poll(endpoint, ...args),
      setSpeed: async () => await this.setSpeed()
    })
  }

  /** Ends the runs of workers whose lease has expired. Call it at regular intervals. */
  expireLeases (): void {
    for (const worker of this.workers.values()) {
      if (worker.leaseUntilMs >= this.process.now()) continue
      for (const [task, attempt] of [...worker.running]) this.endRun(worker, task, attempt, 'lapsed')
    }
  }

  private async call<T> (endpoint: WorkerEndpoint, signal: AbortSignal, handle: (worker: VirtualWorker, respond: (response: Result<T, WorkerError>) => void) => void): Promise<Result<T, WorkerError>> {
    this.process.work(this.opts.costs.sendMs)
    return await new Promise(resolve => {
      const giveUp = (): void => resolve(err({ kind: 'unknown', message: 'call aborted' }))
      signal.addEventListener('abort', giveUp, { once: true })
      const respond = (response: Result<T, WorkerError>): void => this.process.outsideAfter(NETWORK_DELAY_MS, () => this.process.deliver(() => {
        this.process.work(this.opts.costs.readMs)
        signal.removeEventListener('abort', giveUp)
        resolve(response)
      }))
      this.process.outsideAfter(NETWORK_DELAY_MS, () => {
        const worker = this.workers.get(endpoint.id)
        if (worker === undefined) return
        if (endpoint.token < worker.token) return respond(err({ kind: 'refused', reason: 'fence' }))
        worker.token = endpoint.token
        handle(worker, respond)
      })
    })
  }

  private startRun (worker: VirtualWorker, { task, attempt }: StartCommand): void {
    const runsElsewhere = [...this.workers.values()].some(({ running }) => running.has(task))
    if (runsElsewhere || this.finished.has(task)) this.stats.repeated += 1
    this.stats.started += 1
    if (!this.startedAt.has(task)) this.startedAt.set(task, this.process.now())
    worker.running.set(task, attempt)
    const runMs = this.opts.runMs(task)
    if (runMs !== Infinity) this.process.outsideAfter(runMs, () => this.endRun(worker, task, attempt, 'done'))
  }

  private endRun (worker: VirtualWorker, task: string, attempt: number, how: 'done' | 'lapsed' | 'stopped'): void {
    if (worker.running.get(task) !== attempt) return
    worker.running.delete(task)
    if (how === 'done') this.finished.add(task)
    if (how === 'done') this.stats.done += 1
    if (how === 'lapsed') this.stats.lapsed += 1
    worker.seq += 1
    worker.ended.push({ seq: worker.seq, task, attempt, how, checkpoint: '' })
    worker.answerPoll?.()
  }
}
