import { delay, linkAbort, Wakeup, withTimeout, type LinkedAbort, type Result } from '@wisteriaslip/core.result'
import { CLOCK_DRIFT_FACTOR, COMMAND_TIMEOUT_MS, MAX_RESPONSE_AGE_FOR_LEASE_MS, POLL_TIMEOUT_MARGIN_MS, POLL_WAIT_IDLE_MS, UNKNOWN_BORN, WORKER_LEASE_MS, type StartCommand, type WorkerChannel, type WorkerEndpoint, type WorkerError, type WorkerReport } from '@wisteriaslip/jobs.model'
import { chooseBackfillSpeeds, SETTLE_MS, type OrphanedRun, type Run, type Scheduler, type TrackedWorker } from '@wisteriaslip/jobs.scheduler'
import { CommandChannel } from './command-channel.ts'
import type { ServiceTermOpts } from './ports.ts'

/**
 * How long a poll waits for a completion. Frequent polls are only useful for runs that end by themselves or whose load
 * matters.
 */
const POLL_WAIT_MS = 500
const POLL_WAIT_LONG_RUNNING_MS = 1_000
/** Minimum gap after a poll with completions, per worker of the service: many workers must not overload the leader. */
const MIN_POLL_GAP_MS_PER_WORKER = 0.4
/** The gap also grows with the lag of the leader's event loop, by this factor and up to a limit that keeps leases alive. */
const POLL_GAP_PER_LAG = 4
const MAX_LAG_POLL_GAP_MS = 600
const POLL_RETRY_MS = 150
/** After a poll that returned completions, the next poll is delayed by at most this long until they are durable. */
const MAX_RECORD_WAIT_MS = 120

/** Callbacks from a session to its term. */
export interface SessionEvents {
  /** Something changed that may allow tasks to start. */
  onChange (): void
  /** A worker refused the term's fencing token: there is a newer leader. */
  onNewerLeader (): void
  /** @returns whether this term may grant leases */
  mayAct (): boolean
  /** @returns lag of the leader's event loop in milliseconds */
  lagMs (): number
  /** Loads jobs unknown to the scheduler. Resolves when they are added, or marked as not stored. */
  loadJobs (jobs: readonly string[]): Promise<void>
}

/**
 * Communication with one incarnation of a worker: renews its lease, applies its reports and sends commands. Starts, and polls that
 * grant a lease, are sent on channels on which this incarnation has responded: its id, and its address, are also those of the next.
 */
export class WorkerSession {
  readonly worker: TrackedWorker
  private readonly opts: ServiceTermOpts
  private readonly scheduler: Scheduler
  private readonly events: SessionEvents
  private readonly recorded = new Wakeup()
  private readonly commands: CommandChannel
  /** The channel for polls, and whether this incarnation has responded on it. */
  private polls: { readonly channel: WorkerChannel, identified: boolean } | undefined
  /** Birth of this incarnation as its first report says, if its registration does not say. */
  private reportedBorn: number | undefined
  private currentPoll: LinkedAbort | undefined
  private readonly starts = new Set<LinkedAbort>()
  /** The poll in progress waits for a completion. */
  private currentPollWaits = false
  /** The next poll does not. */
  private pollAtOnce = false
  private readonly logUnexpected = (error: unknown): void => {
    this.opts.logger.error({ err: error, worker: this.worker.registration.id }, 'worker command failed unexpectedly')
  }

  constructor (worker: TrackedWorker, scheduler: Scheduler, opts: ServiceTermOpts, events: SessionEvents) {
    this.worker = worker
    this.scheduler = scheduler
    this.opts = opts
    this.events = events
    worker.takesCommands = false
    this.commands = new CommandChannel({
      connect: () => this.connect(),
      identify: async (channel, signal) => await this.identify(channel, signal),
      mayOpen: () => worker.reachable && !this.hasEnded(),
      onChange: isOpen => this.noteCommandChannel(isOpen),
      onError: this.logUnexpected
    })
  }

  /**
   * Polls the worker until the signal aborts or the incarnation ends.
   * @param signal - ends the loop and cancels calls
   */
  async run (signal: AbortSignal): Promise<void> {
    try {
      while (!signal.aborted && !this.hasEnded()) await this.poll(signal)
    } finally {
      this.closeChannels()
    }
  }

  /** Ends the calls in progress, so that no later incarnation gets a start: this one has ended, or is no longer tracked. */
  end (): void {
    for (const start of this.starts) start.abort()
    this.currentPoll?.abort()
    this.closeChannels()
  }

  private closeChannels (): void {
    this.commands.close()
    this.polls?.channel.close()
  }

  private noteCommandChannel (isOpen: boolean): void {
    const { worker } = this
    worker.takesCommands = isOpen
    if (isOpen) this.events.onChange()
    else if (!this.hasEnded()) this.opts.logger.info({ worker: worker.registration.id, born: worker.registration.born }, 'connection for commands to worker ended')
  }

  /** Polls on a new channel, without a lease, and returns whether this incarnation has responded. */
  private async identify (channel: WorkerChannel, signal: AbortSignal): Promise<boolean> {
    const sentAt = this.opts.clock.now()
    const response = await withTimeout(POLL_TIMEOUT_MARGIN_MS, signal, async inner => await channel.poll({ seenSeq: 0, waitMs: 0 }, inner))
    if (signal.aborted || this.hasEnded()) return false
    if (!response.ok) {
      this.handleError(response.error, { command: 'look', task: '', endpoint: channel.endpoint })
      return false
    }
    if (this.endIfRestarted(response.value)) return false
    if (response.value.born !== undefined && this.born() !== undefined) return true
    return this.worker.isOwnClock({ clockMs: response.value.clockMs, sentAt })
  }

  private born (): number | undefined {
    const { born } = this.worker.registration
    return born === UNKNOWN_BORN ? this.reportedBorn : born
  }

  /** Returns whether another incarnation has responded, which is tracked from now on. */
  private endIfRestarted ({ born }: WorkerReport): boolean {
    const { worker } = this
    const known = this.born()
    if (born === undefined || known === undefined || born === known) return false
    this.opts.logger.info({ worker: worker.registration.id, born }, 'worker restarted')
    this.scheduler.replaceIncarnation(worker, born)
    this.end()
    this.events.onChange()
    return true
  }

  /** Replaces the poll in progress by one that does not wait for a completion. */
  pollNow (): void {
    this.pollAtOnce = true
    if (this.currentPollWaits) this.currentPoll?.abort()
  }

  /** Signals that progress records were written. The next poll need not wait if all the worker's completions are durable. */
  notifyRecorded (): void {
    if (this.worker.pendingCompletions.size === 0) this.recorded.wake()
  }

  /**
   * Sends a start command and reports the response to the scheduler.
   * @param run - run placed by the scheduler
   * @param permit - permit for the step on this worker, empty for none
   * @param signal - cancels the call
   */
  async start (run: Run, permit: string, signal: AbortSignal): Promise<void> {
    const { task, attempt } = run
    const channel = this.commands.current()
    if (channel === undefined) {
      this.scheduler.handleStartResponse(run, { kind: 'refused', reason: 'not-sent' })
      this.events.onChange()
      return
    }
    const leaseUntilMs = this.worker.extendLease(this.opts.clock.now(), WORKER_LEASE_MS)
    const command = { task: task.name, attempt, payload: task.step.job.job.payload, leaseUntilMs, checkpoint: task.checkpoint, permit }
    const sentAt = this.opts.clock.now()
    run.sentHere = true
    if (run.isolation !== undefined) this.pollOnceSettled(signal, { unless: () => run.phase === 'running' }).catch(this.logUnexpected)
    const response = await this.sendStart(channel, command, signal)
    this.opts.metrics.observe('worker_start_us', { service: this.opts.service }, this.opts.clock.now() - sentAt)
    if (!response.ok) this.handleError(response.error, { command: 'start', task: task.name, endpoint: channel.endpoint })
    else if (this.worker.isOwnClock({ clockMs: response.value, sentAt })) this.worker.recordClock(response.value, this.opts.clock.now())
    else this.checkIncarnation(task.name)
    this.scheduler.handleStartResponse(run, response.ok ? undefined : response.error, response.ok ? { clockMs: response.value, sentAt } : undefined)
    if (!response.ok) this.events.onChange()
    if (run.phase === 'unsettled' || (response.ok && run.isolation !== undefined)) this.pollOnceSettled(signal).catch(this.logUnexpected)
  }

  private async sendStart (channel: WorkerChannel, command: StartCommand, signal: AbortSignal): Promise<Result<number, WorkerError>> {
    const start = linkAbort(signal, COMMAND_TIMEOUT_MS)
    this.starts.add(start)
    try {
      return await channel.start(command, start.signal)
    } finally {
      this.starts.delete(start)
      start.release()
    }
  }

  /** The clock in a response is not that of this incarnation: a poll shows at once whether the worker has restarted. */
  private checkIncarnation (task: string): void {
    this.opts.logger.info({ worker: this.worker.registration.id, task }, 'start confirmed with another clock: the worker may have restarted')
    this.worker.markUnreachable(this.opts.clock.now())
    this.currentPoll?.abort()
  }

  /** Replaces the poll in progress by one that shows at once what a start or a stop has done: whether the run is there, and whether the worker has survived it. */
  private async pollOnceSettled (signal: AbortSignal, opts: { unless?: () => boolean } = {}): Promise<void> {
    if (!await delay(SETTLE_MS * CLOCK_DRIFT_FACTOR, signal) || opts.unless?.() === true) return
    this.pollNow()
  }

  /**
   * Sends a stop command and reports the response to the scheduler.
   * @param run - run to stop
   * @param signal - cancels the call
   */
  async stop (run: Run, signal: AbortSignal): Promise<void> {
    const acknowledged = await this.sendStop(run.task.name, run.attempt, signal)
    this.scheduler.handleStopResponse(run, acknowledged)
    if (acknowledged && run.phase === 'unsettled') this.pollOnceSettled(signal).catch(this.logUnexpected)
    this.opts.logger.info({ task: run.task.name, attempt: run.attempt, worker: this.worker.registration.id, reason: run.stopReason, answered: acknowledged }, 'stop command sent')
  }

  private async sendStop (task: string, attempt: number, signal: AbortSignal): Promise<boolean> {
    const response = await this.command(signal, async (channel, inner) => await channel.stop({ task, attempt }, inner))
    if (!response.ok) this.handleError(response.error, { command: 'stop', task, endpoint: response.endpoint })
    return response.ok
  }

  /** Sends a command once there is a channel for it. */
  private async command (signal: AbortSignal, send: (channel: WorkerChannel, signal: AbortSignal) => Promise<Result<number, WorkerError>>): Promise<{ ok: true } | { ok: false, error: WorkerError, endpoint: WorkerEndpoint }> {
    return await withTimeout(COMMAND_TIMEOUT_MS, signal, async inner => {
      const channel = await this.commands.whenOpen(inner)
      if (channel === undefined) return { ok: false, error: { kind: 'refused', reason: 'not-sent' }, endpoint: this.endpoint() }
      const response = await send(channel, inner)
      return response.ok ? { ok: true } : { ok: false, error: response.error, endpoint: channel.endpoint }
    })
  }

  private async poll (signal: AbortSignal): Promise<void> {
    const { worker } = this
    const sentAt = this.opts.clock.now()
    worker.polledSince ??= sentAt
    const polls = this.pollChannel()
    const { channel, identified } = polls
    const waitMs = identified && worker.fenced && worker.reachable && !this.pollAtOnce ? this.pollWaitMs() : 0
    this.pollAtOnce = false
    this.currentPollWaits = waitMs > 0
    const leaseUntilMs = identified && this.canExtendLease(sentAt) ? worker.extendLease(sentAt, WORKER_LEASE_MS) : undefined
    const currentPoll = linkAbort(signal)
    this.currentPoll = currentPoll
    // Another incarnation numbers its completions anew: while the worker may have restarted, none is acknowledged.
    const seenSeq = identified && worker.reachable ? worker.seenSeq() : 0
    const response = await withTimeout(waitMs + POLL_TIMEOUT_MARGIN_MS, currentPoll.signal, async inner => await channel.poll({ leaseUntilMs, seenSeq, waitMs }, inner))
    currentPoll.release()
    const wasEndedEarly = currentPoll.signal.aborted && !response.ok
    if (signal.aborted || wasEndedEarly || this.hasEnded()) return
    if (!response.ok) {
      this.markPollFailed(response.error, channel.endpoint)
      await delay(POLL_RETRY_MS, signal)
      return
    }
    const report = response.value
    if (this.endIfRestarted(report)) return
    polls.identified = true
    this.reportedBorn ??= report.born
    const wasFenced = worker.fenced
    if (!wasFenced) this.opts.logger.info({ worker: worker.registration.id, running: report.running.length, ended: report.ended.length, born: report.born, listed: worker.registration.born }, 'first response from worker in this term')
    const receivedAt = this.opts.clock.now()
    const reportResult = this.scheduler.applyReport(worker, report, { sentAt, receivedAt })
    if (reportResult.unknownJobs.length > 0) await this.events.loadJobs(reportResult.unknownJobs)
    this.commands.keepOpen(signal)
    this.stopOrphans(reportResult.orphans, signal)
    this.adjustSpeeds(signal)
    if (report.ended.length > 0 || !wasFenced || waitMs === 0) this.events.onChange()
    if (report.ended.length === 0) return
    if (worker.pendingCompletions.size > 0) await this.recorded.sleep(MAX_RECORD_WAIT_MS, signal)
    await delay(this.pollGapMs() - (this.opts.clock.now() - receivedAt), signal)
  }

  private pollGapMs (): number {
    return MIN_POLL_GAP_MS_PER_WORKER * this.scheduler.workers.size + Math.min(MAX_LAG_POLL_GAP_MS, POLL_GAP_PER_LAG * this.events.lagMs())
  }

  private adjustSpeeds (signal: AbortSignal): void {
    for (const { run, percent } of chooseBackfillSpeeds(this.worker)) {
      run.speedPercent = percent
      this.sendSpeed(run, percent, signal).catch(error => {
        run.speedPercent = Number.NaN
        this.logUnexpected(error)
      })
    }
  }

  private async sendSpeed (run: Run, percent: number, signal: AbortSignal): Promise<void> {
    const command = { task: run.task.name, attempt: run.attempt, percent }
    const response = await this.command(signal, async (channel, inner) => await channel.setSpeed(command, inner))
    if (!response.ok) run.speedPercent = Number.NaN
  }

  private stopOrphans (orphans: readonly OrphanedRun[], signal: AbortSignal): void {
    for (const orphan of orphans) {
      this.opts.logger.warn({ task: orphan.task, attempt: orphan.attempt, worker: this.worker.registration.id }, 'stopping orphaned run: its job is not stored')
      this.sendStop(orphan.task, orphan.attempt, signal).catch(this.logUnexpected)
    }
  }

  private pollWaitMs (): number {
    const { runs } = this.worker
    if (runs.size === 0) return POLL_WAIT_IDLE_MS
    for (const { task: { step: { spec } } } of runs.values()) {
      if (!spec.lasting || spec.latencyTargetMs > 0 || spec.backfill) return POLL_WAIT_MS
    }
    return POLL_WAIT_LONG_RUNNING_MS
  }

  private canExtendLease (now: number): boolean {
    const { worker } = this
    if (!this.events.mayAct() || !worker.mayGetLeases || !worker.hasClock() || !worker.reachable || worker.lastResponseAt === undefined) return false
    return now - worker.lastResponseAt < MAX_RESPONSE_AGE_FOR_LEASE_MS
  }

  private markPollFailed (error: WorkerError, endpoint: WorkerEndpoint): void {
    if (this.worker.reachable) this.opts.logger.info({ worker: this.worker.registration.id, error }, 'failed to poll worker')
    this.worker.markUnreachable(this.opts.clock.now())
    this.handleError(error, { command: 'look', task: '', endpoint })
  }

  private handleError (error: WorkerError, { command, task, endpoint }: { command: string, task: string, endpoint: WorkerEndpoint }): void {
    if (error.kind === 'other-life' && this.isRegisteredAt(endpoint)) this.scheduler.endIncarnation(this.worker)
    if (error.kind === 'refused' && error.reason === 'fence') this.events.onNewerLeader()
    this.opts.metrics.count('worker_errors_total', { order: command, kind: error.kind === 'refused' ? error.reason : error.kind })
    if (command !== 'look') this.opts.logger.info({ worker: this.worker.registration.id, order: command, task, error }, 'worker command failed')
  }

  /** Another worker at an address proves the end of this one only while it is registered there: it may run on at a new address. */
  private isRegisteredAt ({ host, port }: WorkerEndpoint): boolean {
    const { registration } = this.worker
    return registration.host === host && registration.port === port
  }

  /** Returns the channel for polls: a new one if there is none, or the worker is registered at another address. */
  private pollChannel (): { readonly channel: WorkerChannel, identified: boolean } {
    const { polls } = this
    if (polls !== undefined && !polls.channel.ended.aborted && this.isRegisteredAt(polls.channel.endpoint)) return polls
    polls?.channel.close()
    this.polls = { channel: this.connect(), identified: false }
    return this.polls
  }

  private connect (): WorkerChannel {
    return this.opts.workerClient.connect(this.endpoint())
  }

  private hasEnded (): boolean {
    return this.worker.ended || this.scheduler.workers.get(this.worker.registration.id) !== this.worker
  }

  private endpoint (): WorkerEndpoint {
    const { id, host, port } = this.worker.registration
    return { id, host, port, token: this.opts.token }
  }
}
