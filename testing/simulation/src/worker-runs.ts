import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { EndedRun, StartCommand, WorkerError, WorkerReport } from '@wisteriaslip/jobs.model'
import type { VirtualProcess } from '@wisteriaslip/testing.jobs'
import type { Draw } from './draw.ts'
import { RunHistory } from './run-history.ts'
import type { Incarnation } from './worker-machine.ts'

/** Longest lease that a worker accepts, in milliseconds. */
export const LONGEST_LEASE_MS = 10_000
const SERVING_AFTER_MS = 300
const MAX_STOP_MS = 200
/** How many ends of runs a response to a poll lists. */
const MAX_LISTED_ENDS = 4

/** What a task needs, and how long a run of it takes; infinite for tasks that last. */
export interface TaskDemand {
  readonly cpu: number
  /** Nothing by default. */
  readonly memMb?: number
  readonly runMs: number
}

/** Carries out what workers are told: runs, leases and lists of ends. */
export class WorkerRuns {
  readonly history: RunHistory
  private readonly process: VirtualProcess
  private readonly draw: Draw
  private readonly demandOf: (task: string) => TaskDemand

  /**
   * @param process - gives the time
   * @param opts - `draw` decides how long a stop takes; `demandOf` tells what a task needs
   */
  constructor (process: VirtualProcess, opts: { readonly draw: Draw, readonly demandOf: (task: string) => TaskDemand }) {
    this.process = process
    this.draw = opts.draw
    this.demandOf = opts.demandOf
    this.history = new RunHistory(() => process.now())
  }

  /** @returns reading of the worker's clock in milliseconds, which may be slow */
  clockOf ({ bornAt, clockRate }: Incarnation): number {
    return Math.floor((this.process.now() - bornAt) * clockRate) + 1
  }

  /** Starts a run, unless the worker has to refuse it. */
  start (worker: Incarnation, { task, attempt, leaseUntilMs }: StartCommand): Result<number, WorkerError> {
    if (worker.runs.get(task)?.attempt === attempt) return ok(this.clockOf(worker))
    if (leaseUntilMs <= this.clockOf(worker)) return err({ kind: 'refused', reason: 'late' })
    this.extendLease(worker, leaseUntilMs)
    if (worker.runs.has(task) || attempt <= (worker.blockedAttempts.get(task) ?? 0)) return err({ kind: 'refused', reason: 'old' })
    const { cpu, memMb = 0, runMs } = this.demandOf(task)
    if (cpu > worker.freeCpu() || memMb > worker.freeMemMb()) return err({ kind: 'refused', reason: 'room' })
    this.history.start(worker, { task, attempt })
    worker.runs.set(task, { attempt, startedAt: this.process.now(), cpu, memMb })
    if (runMs !== Infinity) this.process.outsideAfter(runMs, () => this.end(worker, task, 'done', attempt))
    return ok(this.clockOf(worker))
  }

  /** Stops a run a little later, and refuses it and earlier ones from now on. */
  stop (worker: Incarnation, { task, attempt }: { task: string, attempt: number }): Result<number, WorkerError> {
    this.block(worker, task, attempt)
    if (worker.runs.get(task)?.attempt === attempt) this.process.outsideAfter(this.draw(MAX_STOP_MS), () => this.end(worker, task, 'stopped', attempt))
    return ok(this.clockOf(worker))
  }

  /** Responds to a poll, once a run ends or its time has passed. */
  poll (worker: Incarnation, opts: { leaseUntilMs?: number | undefined, seenSeq: number, waitMs: number }, respond: (response: Result<WorkerReport, WorkerError>) => void): void {
    if (opts.leaseUntilMs !== undefined) this.extendLease(worker, opts.leaseUntilMs)
    this.history.note(worker, worker.ended.filter(({ seq }) => seq <= opts.seenSeq))
    worker.ended = worker.ended.filter(({ seq }) => seq > opts.seenSeq)
    const answer = (): void => {
      if (!worker.waitingPolls.delete(answer) || !worker.alive) return
      const running = [...worker.runs].map(([task, { attempt, startedAt }]) => ({ task, attempt, checkpoint: '', percent: this.process.now() - startedAt >= SERVING_AFTER_MS ? 100 : 0, load: 0 }))
      respond(ok({ clockMs: this.clockOf(worker), born: worker.registration.born, running, ended: worker.ended.slice(0, MAX_LISTED_ENDS), moreEnded: worker.ended.length > MAX_LISTED_ENDS }))
    }
    worker.waitingPolls.add(answer)
    if (worker.ended.length > 0 || opts.waitMs === 0) answer()
    else this.process.outsideAfter(opts.waitMs, answer)
  }

  /**
   * Ends a run.
   * @param only - attempt that may end, any by default
   */
  end (worker: Incarnation, task: string, how: EndedRun['how'], only?: number): void {
    const attempt = worker.runs.get(task)?.attempt
    if (attempt === undefined || (only !== undefined && attempt !== only)) return
    worker.runs.delete(task)
    this.block(worker, task, attempt)
    worker.seq += 1
    worker.ended.push({ seq: worker.seq, task, attempt, how, checkpoint: '' })
    this.history.end(worker, { task, attempt, how })
    for (const answer of [...worker.waitingPolls]) answer()
  }

  /** Ends an incarnation with all that runs there; nobody learns of that from it. */
  crash (worker: Incarnation): void {
    worker.alive = false
    this.history.crash(worker)
  }

  private extendLease (worker: Incarnation, untilMs: number): void {
    const isWatched = worker.leaseUntilMs > this.clockOf(worker)
    worker.leaseUntilMs = Math.max(worker.leaseUntilMs, Math.min(untilMs, this.clockOf(worker) + LONGEST_LEASE_MS))
    if (!isWatched) this.expireLease(worker)
  }

  /** Ends the runs of a worker once its lease has expired. */
  private expireLease (worker: Incarnation): void {
    const leftMs = worker.leaseUntilMs - this.clockOf(worker)
    if (!worker.alive) return
    if (leftMs > 0) this.process.outsideAfter(leftMs / worker.clockRate, () => this.expireLease(worker))
    else this.endLeased(worker)
  }

  private endLeased (worker: Incarnation): void {
    for (const task of [...worker.runs.keys()]) this.end(worker, task, 'lapsed')
    this.history.lapse(worker)
  }

  private block (worker: Incarnation, task: string, attempt: number): void {
    worker.blockedAttempts.set(task, Math.max(worker.blockedAttempts.get(task) ?? 0, attempt))
  }
}
