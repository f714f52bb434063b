import { delay, Wakeup, withTimeout } from '@wisteriaslip/core.result'
import type { WorkerError, WorkerEndpoint } from '@wisteriaslip/jobs.model'
import { chooseBackfillSpeeds, type OrphanedRun, type Run, type Scheduler, type TrackedWorker } from '@wisteriaslip/jobs.scheduler'
import type { ServiceTermOpts } from './ports.ts'

/** Length of a worker's lease. It outlives the change of a leader, and frees the tasks of a lost worker after it. */
export const LEASE_MS = 4_000
/** A look waits this long for an end; progress of runs is only worth a look while some will end. */
const LOOK_WAIT_MS = 500
const LOOK_WAIT_LASTING_MS = 1_000
const LOOK_WAIT_EMPTY_MS = 2_000
/** Two looks at a worker are at least this far apart for each worker that the leader has, so that many do not swamp it. */
const LOOK_GAP_MS_PER_WORKER = 0.4
const LOOK_SLACK_MS = 700
const ORDER_TIMEOUT_MS = 800
const RETRY_MS = 150
/** A worker that has been silent for this long gets no longer lease until it answers. */
const SILENT_MS = 1_500
/** After a look that brought ends the next one waits this long for their records. */
const RECORD_WAIT_MS = 120

/** What a session tells its term. */
export interface SessionEvents {
  /** Something changed that may allow starts. */
  onNews (): void
  /** A worker refused the term's token: there is a newer leader. */
  onFenced (): void
  /** Jobs that the scheduler does not know; resolved once it knows them or that there are none. */
  lookUp (jobs: readonly string[]): Promise<void>
}

/** Talks to one life of a worker: renews its lease, takes in what it lists, sends orders. */
export class WorkerSession {
  readonly worker: TrackedWorker
  private readonly opts: ServiceTermOpts
  private readonly scheduler: Scheduler
  private readonly events: SessionEvents
  private readonly recorded = new Wakeup()

  constructor (worker: TrackedWorker, scheduler: Scheduler, opts: ServiceTermOpts, events: SessionEvents) {
    this.worker = worker
    this.scheduler = scheduler
    this.opts = opts
    this.events = events
  }

  /** Runs until the signal aborts, or the life has ended. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.isOver()) await this.look(signal)
    if (!signal.aborted) this.opts.workerClient.closeConnections(this.worker.registration)
  }

  /** Tells that ends of this worker have become durable. */
  noteRecorded (): void {
    if (this.worker.pendingEnds.size === 0) this.recorded.wake()
  }

  /**
   * Sends a start.
   * @param run - placed by the scheduler
   */
  async start (run: Run, permit: string, signal: AbortSignal): Promise<void> {
    const { task, attempt } = run
    const leaseUntilMs = this.worker.extendLease(this.opts.clock.now(), LEASE_MS)
    const order = { task: task.name, attempt, payload: task.step.job.job.payload, leaseUntilMs, checkpoint: task.checkpoint, permit }
    const sentAt = this.opts.clock.now()
    const answer = await withTimeout(ORDER_TIMEOUT_MS, signal, async inner => await this.opts.workerClient.start(this.target(), order, inner))
    this.opts.metrics.observe('worker_start_us', { service: this.opts.service }, this.opts.clock.now() - sentAt)
    if (answer.ok) this.worker.recordClock(answer.value, this.opts.clock.now())
    else this.noteError(answer.error, 'start', task.name)
    this.scheduler.handleStartResponse(run, answer.ok ? undefined : answer.error)
    if (!answer.ok) this.events.onNews()
  }

  /**
   * Sends a stop.
   * @param run - to be stopped
   */
  async stop (run: Run, signal: AbortSignal): Promise<void> {
    const answered = await this.sendStop(run.task.name, run.attempt, signal)
    this.scheduler.handleStopResponse(run, answered)
    this.opts.logger.info({ task: run.task.name, attempt: run.attempt, worker: this.worker.registration.id, reason: run.stopReason, answered }, 'stop sent')
  }

  private async sendStop (task: string, attempt: number, signal: AbortSignal): Promise<boolean> {
    const answer = await withTimeout(ORDER_TIMEOUT_MS, signal, async inner => await this.opts.workerClient.stop(this.target(), { task, attempt }, inner))
    if (!answer.ok) this.noteError(answer.error, 'stop', task)
    return answer.ok
  }

  private async look (signal: AbortSignal): Promise<void> {
    const { worker } = this
    const sentAt = this.opts.clock.now()
    const waitMs = worker.fenced && worker.reachable ? this.lookWaitMs() : 0
    const leaseUntilMs = this.mayExtend(sentAt) ? worker.extendLease(sentAt, LEASE_MS) : undefined
    const answer = await withTimeout(waitMs + LOOK_SLACK_MS, signal, async inner => await this.opts.workerClient.poll(this.target(), { leaseUntilMs, seenSeq: worker.seenSeq(), waitMs }, inner))
    if (signal.aborted) return
    if (!answer.ok) {
      this.noteUnreachable(answer.error)
      await delay(RETRY_MS, signal)
      return
    }
    const report = answer.value
    if (report.born !== undefined && worker.registration.born !== 0 && report.born !== worker.registration.born) {
      this.opts.logger.info({ worker: worker.registration.id, born: report.born }, 'worker restarted')
      this.scheduler.endIncarnation(worker)
      this.events.onNews()
      return
    }
    const wasFenced = worker.fenced
    if (!wasFenced) this.opts.logger.info({ worker: worker.registration.id, running: report.running.length, ended: report.ended.length, born: report.born, listed: worker.registration.born }, 'worker met')
    const receivedAt = this.opts.clock.now()
    const found = this.scheduler.applyReport(worker, report, { sentAt, receivedAt })
    if (found.unknownJobs.length > 0) await this.events.lookUp(found.unknownJobs)
    this.stopOrphans(found.orphans, signal)
    this.pace(signal)
    if (report.ended.length > 0 || !wasFenced) this.events.onNews()
    if (report.ended.length === 0) return
    if (worker.pendingEnds.size > 0) await this.recorded.sleep(RECORD_WAIT_MS, signal)
    await delay(LOOK_GAP_MS_PER_WORKER * this.scheduler.workers.size - (this.opts.clock.now() - receivedAt), signal)
  }

  private pace (signal: AbortSignal): void {
    for (const { run, percent } of chooseBackfillSpeeds(this.worker)) {
      run.speedPercent = percent
      this.sendPace(run, percent, signal).catch(() => {})
    }
  }

  private async sendPace (run: Run, percent: number, signal: AbortSignal): Promise<void> {
    const order = { task: run.task.name, attempt: run.attempt, percent }
    const answer = await withTimeout(ORDER_TIMEOUT_MS, signal, async inner => await this.opts.workerClient.setSpeed(this.target(), order, inner))
    if (!answer.ok) run.speedPercent = Number.NaN
  }

  private stopOrphans (orphans: readonly OrphanedRun[], signal: AbortSignal): void {
    for (const orphan of orphans) {
      this.opts.logger.warn({ task: orphan.task, attempt: orphan.attempt, worker: this.worker.registration.id }, 'stopping a run of a job that is not stored')
      this.sendStop(orphan.task, orphan.attempt, signal).catch(() => {})
    }
  }

  private lookWaitMs (): number {
    const { runs } = this.worker
    if (runs.size === 0) return LOOK_WAIT_EMPTY_MS
    for (const { task: { step: { spec } } } of runs.values()) {
      if (!spec.lasting || spec.latencyTargetMs > 0 || spec.backfill) return LOOK_WAIT_MS
    }
    return LOOK_WAIT_LASTING_MS
  }

  private mayExtend (now: number): boolean {
    const { worker } = this
    if (!worker.hasClock() || worker.lastResponseAt === undefined) return false
    return now - worker.lastResponseAt < SILENT_MS
  }

  private noteUnreachable (error: WorkerError): void {
    if (this.worker.reachable) this.opts.logger.info({ worker: this.worker.registration.id, error }, 'worker does not answer')
    this.worker.reachable = false
    this.noteError(error, 'look', '')
  }

  private noteError (error: WorkerError, order: string, task: string): void {
    if (error.kind === 'other-life') this.scheduler.endIncarnation(this.worker)
    if (error.kind === 'refused' && error.reason === 'fence') this.events.onFenced()
    this.opts.metrics.count('worker_errors_total', { order, kind: error.kind === 'refused' ? error.reason : error.kind })
    if (order !== 'look') this.opts.logger.info({ worker: this.worker.registration.id, order, task, error }, 'order not carried out')
  }

  private isOver (): boolean {
    return this.worker.ended || this.scheduler.workers.get(this.worker.registration.id) !== this.worker
  }

  private target (): WorkerEndpoint {
    const { id, host, port } = this.worker.registration
    return { id, host, port, token: this.opts.token }
  }
}
