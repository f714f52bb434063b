import { allEnded, delay, linkAbort, Wakeup } from '@wisteriaslip/core.result'
import { CLOCK_DRIFT_FACTOR, LEADERSHIP_OVERLAP_MS, type Job, type JobState, type WorkerRegistration } from '@wisteriaslip/jobs.model'
import type { ExplainRequest, ServiceLoad } from '@wisteriaslip/jobs.protocol'
import type { QuotaHolder } from '@wisteriaslip/jobs.quota'
import { explainJob, explainWorker, isSettled, LostWorkerDetector, Scheduler, type PermitRequest, type Run, type TrackedWorker } from '@wisteriaslip/jobs.scheduler'
import type { ServiceRecords, TermRecord } from '@wisteriaslip/jobs.store'
import { removeExpiredJobs } from './expired-jobs.ts'
import { computeServiceLoad } from './load.ts'
import { IndexMigration } from './index-migration.ts'
import { LeadershipCheck } from './leadership-check.ts'
import { explainPairs, logCompany } from './company-log.ts'
import { logLosses, logRestart } from './loss-log.ts'
import type { ServiceTermOpts } from './ports.ts'
import { ProgressWriter } from './progress-writer.ts'
import { createQuotaHolder } from './quotas.ts'
import { RequestWatcher } from './request-watcher.ts'
import { StartWindow } from './start-window.ts'
import { TakeoverMonitor } from './takeover-monitor.ts'
import { TermRecordWriter } from './term-record-writer.ts'
import { UnservedMonitor } from './unserved-monitor.ts'
import { WaitMonitor } from './wait-monitor.ts'
import { endOldWithdrawals, FleetTokens, withdrawWorkers } from './withdrawals.ts'
import { WorkerSession } from './worker-session.ts'

const RECORD_READ_RETRY_MS = 100
const MAX_SCHEDULING_INTERVAL_MS = 100
/** Minimum gap between scheduling passes, so that changes that arrive together are handled in one pass. */
const MIN_SCHEDULING_GAP_MS = 3
/** Minimum gap for large services: a pass visits every worker, so with many workers it waits for more changes. */
const MIN_SCHEDULING_GAP_MS_PER_WORKER = 0.1
const MIN_SESSIONS_PER_PASS = 2
const SESSION_RETRY_MS = 500
const JOB_EXPIRY_INTERVAL_MS = 5_000
const LOST_WORKER_CHECK_INTERVAL_MS = 60
const MAX_FLUSH_ATTEMPTS = 3

/** What has shown a newer leader: a worker that refused the token, a job accepted under a newer one, or the store. */
type NewerLeaderSign = { worker: string } | { job: string, acceptedUnder: number } | { store: true }

/** One entry's period of leadership of one service, from acquiring to losing it. */
export class ServiceTerm {
  readonly service: string
  readonly token: number
  private readonly opts: ServiceTermOpts
  private readonly leadershipLost = new AbortController()
  private readonly wakeup = new Wakeup()
  private readonly sessions = new Map<TrackedWorker, WorkerSession>()
  private readonly startWindow = new StartWindow()
  private readonly recordWriter: TermRecordWriter
  private readonly leadership: LeadershipCheck
  private readonly indexMigration: IndexMigration
  private readonly quotas: QuotaHolder | undefined
  private readonly fleetTokens = new FleetTokens()
  /** Sessions and calls in progress. */
  private readonly inProgress = new Set<Promise<void>>()
  private components: { scheduler: Scheduler, writer: ProgressWriter, requestWatcher: RequestWatcher } | undefined
  private unknownRunsUntil = 0
  /** The registry's list of workers that was last passed to the scheduler. */
  private lastRegistrations: readonly WorkerRegistration[] | undefined

  constructor (opts: ServiceTermOpts) {
    this.opts = opts
    this.service = opts.service
    this.token = opts.token
    this.recordWriter = new TermRecordWriter(opts)
    this.leadership = new LeadershipCheck(opts)
    this.indexMigration = new IndexMigration(opts)
    this.quotas = createQuotaHolder(opts, () => this.wakeup.wake())
  }

  /**
   * Leads the service until the signal aborts or a newer leader is detected. Unless leadership was lost, it
   * tries to write pending records before it returns. However it ends, nothing of the term goes on afterwards.
   * @param signal - ends the term
   * @throws the error of a part of the term that has failed, once all others have ended
   */
  async run (signal: AbortSignal): Promise<void> {
    const termAbort = linkAbort(signal)
    this.leadershipLost.signal.addEventListener('abort', () => termAbort.abort(), { once: true })
    try {
      await this.loadRecords(termAbort.signal)
      if (this.components === undefined || termAbort.signal.aborted) return
      const { writer, scheduler, requestWatcher } = this.components
      await allEnded([
        writer.run(termAbort.signal),
        requestWatcher.run(termAbort.signal),
        this.indexMigration.run(termAbort.signal),
        this.runSchedulingLoop(termAbort.signal),
        this.recordWriter.run(scheduler, () => this.onTermRecordWritten(), termAbort.signal),
        this.detectLostWorkers(scheduler, termAbort.signal),
        ...(this.quotas === undefined ? [] : [this.quotas.run(scheduler, termAbort.signal)]),
        this.runPeriodically(JOB_EXPIRY_INTERVAL_MS, termAbort.signal, async () => await removeExpiredJobs(scheduler, writer, this.opts))
      ], termAbort.abort)
      for (let tries = 0; tries < MAX_FLUSH_ATTEMPTS && !this.leadershipLost.signal.aborted; tries++) {
        if (await writer.flush() && await this.recordWriter.writeIfChanged(scheduler)) break
      }
    } finally {
      termAbort.abort()
      termAbort.release()
      await Promise.all(this.inProgress)
    }
  }

  /** Keeps the term from ending before an operation, whose unexpected errors must not end the process. */
  private track (operation: Promise<void>): void {
    const tracked = operation
      .catch(error => this.opts.logger.error({ err: error, service: this.service, token: this.token }, 'operation of a term failed unexpectedly'))
      .finally(() => this.inProgress.delete(tracked))
    this.inProgress.add(tracked)
  }

  /**
   * Adds an accepted job. A job accepted under a newer token ends the term.
   * @param job - job as stored
   * @returns false while the records are not loaded
   */
  push (job: Job): boolean {
    if (this.components === undefined) return false
    this.indexMigration.note(job)
    if (job.acceptedUnder > this.token) this.onNewerLeader({ job: job.id, acceptedUnder: job.acceptedUnder })
    else this.components.scheduler.addJob(job, { acceptedThisTerm: job.acceptedUnder === this.token })
    this.wakeup.wake()
    return true
  }

  /**
   * Cancels a job whose cancellation is stored.
   * @param id - id of the job
   * @returns false while the records are not loaded
   */
  cancel (id: string): boolean {
    if (this.components === undefined) return false
    this.components.scheduler.table.cancel(id)
    this.components.writer.wake()
    this.wakeup.wake()
    return true
  }

  /**
   * @param id - id of the job
   * @returns state of the job; `unknown` if this leader has no such job, `not-ready` while the records are not loaded
   */
  state (id: string): JobState | 'unknown' | 'not-ready' {
    if (this.components === undefined) return 'not-ready'
    return this.components.scheduler.table.stateOf(id) ?? 'unknown'
  }

  /**
   * @param id - id of the job
   * @returns the job as it was submitted, undefined if this leader has no such job
   */
  job (id: string): Job | undefined {
    return this.components?.scheduler.table.jobs.get(id)?.job
  }

  /**
   * @param queue - name of the queue
   * @param address - address of the queue, which it may have had under another name
   * @returns number of accepted jobs that have not started, undefined while the records are not loaded
   */
  pending (queue: string, address?: string): number | undefined {
    return this.components?.scheduler.table.pending(queue, address)
  }

  /** @returns whether the records are loaded, so that the term is at work */
  hasRecords (): boolean {
    return this.components !== undefined
  }

  /** @returns load of the service, undefined while the records are not loaded */
  load (): ServiceLoad | undefined {
    return this.components === undefined ? undefined : computeServiceLoad(this.components.scheduler, this.opts.clock.now())
  }

  /** @returns whether a change of leader would keep no task waiting: see {@link isSettled}; false while the records are not loaded */
  isSettled (): boolean {
    return this.components !== undefined && isSettled(this.components.scheduler)
  }

  /**
   * @param request - a job, a worker or the pool of this service
   * @returns its status and what it waits for, undefined if this leader does not have it
   */
  explain (request: ExplainRequest): unknown {
    if (this.components === undefined) return undefined
    const { scheduler } = this.components
    const now = this.opts.clock.now()
    if (request.kind === 'job') return explainJob(scheduler, request.name, { queue: this.opts.queue, now })
    if (request.kind === 'worker') return explainWorker(scheduler, request.name, now)
    if (request.kind !== 'pool' || request.name !== this.service) return undefined
    return { token: this.token, readyToPlaceAll: !scheduler.mayHaveUnknownRuns(), ...computeServiceLoad(scheduler, now), ...explainPairs(scheduler) }
  }

  /**
   * Withdraws the workers on the given VMs; workers on all other VMs accept runs again.
   * @param vms - ids of the VMs to drain
   * @param fleetToken - token of the term of the fleet's leader; undefined from entries of earlier versions
   * @returns ids of the VMs whose workers are drained, undefined while the records are not loaded or leadership is not confirmed, or
   * if a later leader of the fleet has called
   */
  withdraw (vms: readonly string[], fleetToken?: number): readonly string[] | undefined {
    if (!this.fleetTokens.accepts(fleetToken)) return undefined
    if (this.components === undefined || !this.leadership.mayAct()) return undefined
    const empty = withdrawWorkers(this.components.scheduler, vms, this.opts.clock.now())
    this.wakeup.wake()
    return empty
  }

  private async loadRecords (signal: AbortSignal): Promise<void> {
    const startedAt = this.opts.clock.now()
    const { records, service, guard } = this.opts
    while (!signal.aborted) {
      const [term, all] = await Promise.all([
        this.recordWriter.startTerm(),
        records.readAll(service)
      ])
      if (term.ok) {
        if (all.ok) return this.createComponents(term.value, all.value, startedAt)
      } else if (term.error.kind === 'conflict') {
        const leader = await this.opts.store.get(guard.key)
        if (leader.ok && leader.value?.createRevision !== this.token) this.onNewerLeader({ store: true })
      }
      await delay(RECORD_READ_RETRY_MS, signal)
    }
  }

  private createComponents (term: TermRecord, all: ServiceRecords, startedAt: number): void {
    const { service, clock, wallClock, limits, queue, account, logger, leadershipConfirmedAt } = this.opts
    const maxEarlierLeaseMs = Math.min(limits.longestLeaseMs, (term.leaseMs ?? limits.longestLeaseMs) * CLOCK_DRIFT_FACTOR)
    const scheduler = new Scheduler({ clock, wallClock, limits, queue, account, term: term.number, maxEarlierLeaseMs, leadershipConfirmedAt, limiter: this.quotas?.limiter })
    const writer = new ProgressWriter(scheduler, this.opts, { onRecorded: () => this.onRecorded(), onNewerLeader: () => this.onNewerLeader({ store: true }) })
    for (const [id, prior] of all.progress) writer.setPrior(id, prior)
    for (const id of all.unreadable) this.skipUnreadable(scheduler, id)
    for (const doc of all.jobs) {
      const { id } = doc.value
      this.indexMigration.note(doc.value)
      scheduler.table.addJob(doc.value, { acceptedThisTerm: doc.value.acceptedUnder === this.token, progress: all.progress.get(id)?.value })
      if (all.cancelled.has(id)) scheduler.table.cancel(id)
    }
    // Earlier leaders were replaced before the term began, and have written no record since.
    this.unknownRunsUntil = startedAt + LEADERSHIP_OVERLAP_MS + maxEarlierLeaseMs
    scheduler.earlierRuns.takeOver(term.unknownRunsMs ?? {}, startedAt)
    // The first leader, whose record names no worker, waits for all that are registered, so that those that respond first don't get all tasks.
    if (term.workers.length > 0) scheduler.earlierRuns.limitToWorkers(term.workers.map(({ id }) => id))
    scheduler.setWorkers(term.workers, { unknownRunsUntil: this.unknownRunsUntil })
    this.updateWorkers(scheduler)
    const { store, records } = this.opts
    const requestWatcher = new RequestWatcher({ service, store, records, onJob: job => this.push(job), onCancelled: id => this.cancel(id), onUnreadable: id => this.skipUnreadable(scheduler, id) }, all.revision)
    this.components = { scheduler, writer, requestWatcher }
    logger.info({ service, token: this.token, term: term.number, jobs: all.jobs.length, tookMs: Math.round(clock.now() - startedAt) }, 'term started')
  }

  private skipUnreadable (scheduler: Scheduler, job: string): void {
    this.opts.logger.error({ service: this.service, job }, 'stored job cannot be read: it is not run')
    scheduler.table.markNotStored(job)
  }

  private async runSchedulingLoop (signal: AbortSignal): Promise<void> {
    const components = this.components
    if (components === undefined) return
    const takeoverMonitor = new TakeoverMonitor(this.opts)
    const waitMonitor = new WaitMonitor(this.opts, this.startWindow)
    const unservedMonitor = new UnservedMonitor(this.opts)
    while (!signal.aborted) {
      this.leadership.observe()
      this.updateWorkers(components.scheduler)
      this.openSessions(components.scheduler, signal)
      components.scheduler.tick()
      takeoverMonitor.observe(components.scheduler)
      logLosses(components.scheduler, this.opts)
      logCompany(components.scheduler, this.opts)
      this.endOldWithdrawals(components.scheduler)
      const runs = components.scheduler.placeReadyTasks(this.leadership.mayAct() ? this.startWindow.free() : 0)
      for (const run of runs) this.sendStart(run, signal)
      waitMonitor.observe(components.scheduler, runs.length)
      unservedMonitor.observe(components.scheduler, { mayAct: this.leadership.mayAct(), freeStarts: this.startWindow.free() })
      for (const worker of components.scheduler.takeWorkersToPoll()) this.sessions.get(worker)?.pollNow()
      for (const run of components.scheduler.collectDueStops()) this.send(run, signal, async session => await session.stop(run, signal))
      for (const request of components.scheduler.permitRequester.collect()) this.track(this.requestPermits(components.scheduler, request, signal))
      components.writer.wake()
      await this.wakeup.sleep(components.scheduler.table.nextDueInMs(MAX_SCHEDULING_INTERVAL_MS), signal)
      await this.waitBetweenPasses(components.scheduler, signal)
    }
  }

  private endOldWithdrawals (scheduler: Scheduler): void {
    const { service, token, clock, logger } = this.opts
    const ended = endOldWithdrawals(scheduler, clock.now()).map(worker => worker.registration.id)
    if (ended.length > 0) logger.info({ service, token, workers: ended }, 'withdrawal of workers ended: the leader of the fleet has not asked for it again')
  }

  /** Waits for the minimum gap between passes, and measures by how much the event loop lags. */
  private async waitBetweenPasses (scheduler: Scheduler, signal: AbortSignal): Promise<void> {
    const gapMs = Math.max(MIN_SCHEDULING_GAP_MS, MIN_SCHEDULING_GAP_MS_PER_WORKER * scheduler.workers.size)
    const startedAt = this.opts.clock.now()
    await delay(gapMs, signal)
    const lagMs = Math.max(0, this.opts.clock.now() - startedAt - gapMs)
    const wasHeldUp = this.startWindow.isHeldUp()
    this.startWindow.recordLag(lagMs)
    this.opts.metrics.observe('leader_lag_us', { service: this.service }, lagMs)
    if (this.startWindow.isHeldUp() === wasHeldUp) return
    const waiting = [...scheduler.table.ready].reduce((sum, step) => sum + step.waiting, 0)
    this.opts.logger.info({ service: this.service, token: this.token, lagMs: Math.round(lagMs), waitingTasks: waiting }, wasHeldUp ? 'leader caught up' : 'leader held up: it sends few starts until it catches up')
  }

  private sendStart (run: Run, signal: AbortSignal): void {
    const permit = run.task.step.permits.permitFor(run.worker, this.opts.clock.now()) ?? ''
    const isFull = (): boolean => this.startWindow.free() === 0
    this.startWindow.recordSent()
    if (run.isolation !== undefined) this.logIsolation(run)
    logRestart(run, this.opts)
    const session = this.sessions.get(run.worker)
    const started = session === undefined ? Promise.reject(new Error('no session with the worker')) : session.start(run, permit, signal)
    this.track(started.catch(error => {
      this.opts.logger.error({ err: error, task: run.task.name, worker: run.worker.registration.id }, 'start failed unexpectedly')
      this.components?.scheduler.handleStartResponse(run, { kind: 'unknown', message: String(error) })
    }).finally(() => {
      if (isFull()) this.wakeup.wake()
      this.startWindow.recordSettled()
    }))
  }

  private logIsolation ({ task, attempt, worker, isolation }: Run): void {
    const otherRuns = worker.runs.size - 1
    this.opts.logger.info({ task: task.name, attempt, worker: worker.registration.id, isolation, otherRuns, crashes: task.crashes }, 'task isolated: workers have crashed under it')
  }

  private async requestPermits (scheduler: Scheduler, request: PermitRequest, signal: AbortSignal): Promise<void> {
    const { permitClient, logger } = this.opts
    if (permitClient === undefined) return
    const ids = request.workers.map(worker => worker.registration.id)
    const { timeoutMs } = request
    const response = await permitClient.requestPermits(request.name, ids, { timeoutMs, urgent: request.step.spec.lasting, signal })
      .catch((error: unknown) => logger.error({ err: error, step: request.name }, 'permit request failed unexpectedly'))
    if (response?.ok === false) logger.info({ step: request.name, workers: ids.length, timeoutMs, error: response.error }, 'failed to request permits')
    scheduler.permitRequester.handleResponse(request, response?.ok === true ? response.value : undefined)
    this.wakeup.wake()
  }

  private updateWorkers (scheduler: Scheduler): void {
    const registered = this.opts.registeredWorkers()
    if (registered === undefined || registered === this.lastRegistrations) return
    this.lastRegistrations = registered
    scheduler.setWorkers(registered, { unknownRunsUntil: this.unknownRunsUntil })
  }

  /**
   * A worker gets no lease before the term's record contains it as one that may hold leases: the next leader must know which
   * workers to poll. A pass opens no more sessions than starts would be sent, as the first poll needs a connection.
   */
  private openSessions (scheduler: Scheduler, signal: AbortSignal): void {
    for (const worker of this.sessions.keys()) {
      if (!worker.ended && scheduler.workers.get(worker.registration.id) === worker) continue
      this.sessions.get(worker)?.end()
      this.sessions.delete(worker)
    }
    let sessionsToOpen = Math.max(MIN_SESSIONS_PER_PASS, this.startWindow.free())
    for (const worker of scheduler.workers.values()) {
      if (worker.ended) continue
      if (this.sessions.has(worker)) {
        if (worker.reachable && !worker.mayGetLeases) this.recordWriter.wake()
      } else if (!this.recordWriter.contains(worker.registration)) {
        this.recordWriter.wake()
      } else if (sessionsToOpen > 0) {
        sessionsToOpen -= 1
        this.openSession(worker, scheduler, signal)
      }
    }
    if (sessionsToOpen === 0) this.wakeup.wake()
  }

  private onTermRecordWritten (): void {
    for (const [worker, session] of this.sessions) {
      if (worker.mayGetLeases || !this.recordWriter.allowsLeases(worker.registration)) continue
      worker.mayGetLeases = true
      session.pollNow()
    }
    this.wakeup.wake()
  }

  private openSession (worker: TrackedWorker, scheduler: Scheduler, signal: AbortSignal): void {
    worker.mayGetLeases = this.recordWriter.allowsLeases(worker.registration)
    const session = new WorkerSession(worker, scheduler, this.opts, {
      onChange: () => this.wakeup.wake(),
      onNewerLeader: () => this.onNewerLeader({ worker: worker.registration.id }),
      lagMs: () => this.startWindow.lagMs(),
      mayAct: () => this.leadership.mayAct(),
      loadJobs: async jobs => await this.loadJobs(jobs)
    })
    this.sessions.set(worker, session)
    this.track(session.run(signal).catch(async error => {
      this.opts.logger.error({ err: error, worker: worker.registration.id }, 'worker session failed: opening another one')
      worker.markUnreachable(this.opts.clock.now())
      await delay(SESSION_RETRY_MS, signal)
      if (this.sessions.get(worker) === session) this.sessions.delete(worker)
      this.wakeup.wake()
    }))
  }

  /**
   * Detects from the list of VMs that runs on a moved or powered-off VM have ended, without waiting for their leases
   * to expire.
   */
  private async detectLostWorkers (scheduler: Scheduler, signal: AbortSignal): Promise<void> {
    const detector = new LostWorkerDetector(scheduler, this.opts.clock)
    await this.runPeriodically(LOST_WORKER_CHECK_INTERVAL_MS, signal, async () => {
      const isFirstListDue = detector.needsFirstList()
      if (!detector.needsVmList() && !isFirstListDue) return
      const requestedAt = this.opts.clock.now()
      const list = await this.opts.vms(signal)
      if (list === undefined) return
      const lost = detector.applyVmList(list.vms, requestedAt, list)
      for (const { worker: { registration }, proof, unansweredStarts, vmState } of lost) {
        const fields = { worker: registration.id, vm: registration.vm, vmState, unansweredStarts }
        if (proof === 'ended') this.opts.logger.info(fields, 'worker lost: its VM was moved, maintained or powered off')
        else this.opts.logger.info({ ...fields, proof }, 'unanswered starts released: they cannot run on the VM of their worker')
      }
      if (lost.length > 0) this.wakeup.wake()
    })
  }

  private send (run: Run, signal: AbortSignal, command: (session: WorkerSession) => Promise<void>): void {
    const session = this.sessions.get(run.worker)
    if (session === undefined) return
    this.track(command(session).catch(error => {
      if (!signal.aborted) this.opts.logger.error({ err: error, task: run.task.name }, 'worker command failed unexpectedly')
    }))
  }

  private async loadJobs (jobs: readonly string[]): Promise<void> {
    const { records, service } = this.opts
    for (const id of jobs) {
      const doc = await records.job(service, id)
      if (!doc.ok) return
      if (doc.value === undefined) this.components?.scheduler.table.markNotStored(id)
      else this.push(doc.value.value)
    }
  }

  private onRecorded (): void {
    for (const session of this.sessions.values()) session.notifyRecorded()
  }

  private onNewerLeader (shownBy: NewerLeaderSign): void {
    if (this.leadershipLost.signal.aborted) return
    this.opts.logger.warn({ service: this.service, token: this.token, shownBy }, 'newer leader detected')
    this.leadershipLost.abort()
  }

  /** Waits before each call, including the first. An error of a call ends the loop and rejects. */
  private async runPeriodically (periodMs: number, signal: AbortSignal, step: () => Promise<void>): Promise<void> {
    while (await delay(periodMs, signal)) await step()
  }
}
