import type { Clock } from '@wisteriaslip/core.result'
import { parseTaskName, type ActiveRun, type EndedRun, type Job, type JobLimits, type Resources, type WorkerError, type WorkerRegistration, type WorkerReport } from '@wisteriaslip/jobs.model'
import type { AccountSharesOpts } from './account-shares.ts'
import { Company } from './company.ts'
import { SETTLE_MS } from './crash.ts'
import { CrashTracker } from './crash-tracker.ts'
import { collectDueStops } from './due-stops.ts'
import { DemandEstimator } from './demand-estimator.ts'
import { EarlierRuns } from './earlier-runs.ts'
import { chooseRegistration, Incarnations, isOfTracked } from './incarnations.ts'
import { HoldAges } from './hold-ages.ts'
import type { HoldTimes } from './holds.ts'
import { Isolation } from './isolation.ts'
import { JobTable } from './job-table.ts'
import type { QueueLookup } from './step-priority.ts'
import { isUnplaceable } from './unplaceable.ts'
import { moveLongRunningTasks } from './move-tasks.ts'
import { PermitRequester } from './permit-requester.ts'
import { releaseCauses, toReleasedRun, type ReleaseCause } from './released-run.ts'
import { recordFailure } from './failed-runs.ts'
import { Reservations } from './reservations.ts'
import { capacityOfUnknownRuns, noLimits, type StartLimiter } from './start-limiter.ts'
import { carriedOver, createRun, type Run } from './run.ts'
import { restartSlowRuns } from './slow-runs.ts'
import { DurationEstimator } from './stragglers.ts'
import { ThrottledBackfill } from './throttled-backfill.ts'
import { TaskPlacer } from './task-placer.ts'
import { attachRun, detachRun, markBegun, mayStart, type Task } from './tracked-job.ts'
import { runKey, TrackedWorker, type ClockReading } from './tracked-worker.ts'
import { WithdrawnRoom } from './withdrawn-room.ts'
import { describeSilence, lossCauses, toLostRun, type LossCause, type WorkerLoss } from './worker-loss.ts'

/** Cooldown of a worker that rejected a start for lack of capacity or could not be sent one, or that is unhealthy. */
export const NO_CAPACITY_COOLDOWN_MS = 200
export const UNHEALTHY_COOLDOWN_MS = 600
export const REFUSED_RETRY_DELAY_MS = 30
/** How long a worker whose lease has expired is tracked to find out whether it has crashed. */
const EXPIRED_RUNS_KEPT_MS = 10_000

/** Options of {@link Scheduler}. */
export interface SchedulerOpts extends AccountSharesOpts {
  readonly clock: Clock
  readonly limits: JobLimits
  readonly queue: QueueLookup
  /** Number of this term: one more than that of the previous term. */
  readonly term: number
  /** Longest lease that leaders of earlier terms may have granted, in milliseconds. */
  readonly maxEarlierLeaseMs: number
  /** @returns latest time of the injected clock at which this leader was certainly the only one */
  readonly leadershipConfirmedAt: () => number
  /** Limits starts by the quotas of client accounts; by default nothing is limited. */
  readonly limiter?: StartLimiter | undefined
}

/** A reported run whose job is not stored. */
export interface OrphanedRun {
  readonly worker: TrackedWorker
  readonly task: string
  readonly attempt: number
}

/** Follow-up actions that a worker's report requires. */
export interface ReportResult {
  /** Jobs that must be looked up in the store before the report can be applied completely. */
  readonly unknownJobs: readonly string[]
  /** Runs of jobs that are not in the store, to be stopped. */
  readonly orphans: readonly OrphanedRun[]
}

/**
 * State and scheduling decisions of a service's leader. Performs no I/O: it returns the commands to send, and the caller
 * passes in the responses.
 */
export class Scheduler {
  readonly table: JobTable
  readonly workers = new Map<string, TrackedWorker>()
  readonly permitRequester: PermitRequester
  readonly withdrawnRoom: WithdrawnRoom
  readonly isolation: Isolation
  readonly reservations = new Reservations()
  readonly limiter: StartLimiter
  /** Which tasks slow each other down. */
  readonly company = new Company()
  /** Since when holds have been seen: for the log, no decision rests on them. */
  readonly holdAges = new HoldAges()
  private readonly opts: SchedulerOpts
  private readonly runsToStop = new Set<Run>()
  private losses: WorkerLoss[] = []
  private readonly incarnations = new Incarnations()
  /** What is known of runs of earlier leaders; to be filled before the first workers are set. */
  readonly earlierRuns = new EarlierRuns()
  private readonly durationEstimator = new DurationEstimator()
  private readonly demandEstimator: DemandEstimator
  private readonly placer: TaskPlacer
  private readonly crashTracker: CrashTracker
  private readonly throttledBackfill: ThrottledBackfill

  constructor (opts: SchedulerOpts) {
    this.opts = opts
    this.limiter = opts.limiter ?? noLimits
    this.demandEstimator = new DemandEstimator(opts.clock)
    this.throttledBackfill = new ThrottledBackfill({ workers: this.workers, company: this.company, mayTake: (step, worker, now) => this.limiter.mayAdd(step, 0) && this.placer.permittedWorkers(step, [worker], now).length > 0 })
    this.table = new JobTable({ ...opts, onRunNotNeeded: (run, reason) => this.requestStop(run, reason) })
    this.placer = new TaskPlacer({ queue: opts.queue, term: opts.term, reservations: this.reservations, shares: this.table.shares, limiter: this.limiter, company: this.company, addRun: (task, worker, attempt) => this.addRun(task, worker, attempt), releaseRun: run => this.releaseRun(run) })
    this.permitRequester = new PermitRequester({ clock: opts.clock, queue: opts.queue, ready: this.table.ready, workers: this.workers })
    this.isolation = new Isolation(this.placer, this.reservations)
    this.withdrawnRoom = new WithdrawnRoom(this.placer, this.isolation)
    this.crashTracker = new CrashTracker(this.table, this.workers)
  }

  /**
   * Adds a job that was just accepted. Does nothing if the job is tracked already.
   * @param job - the accepted job
   * @param opts - `acceptedThisTerm`: no earlier leader can have started the job
   */
  addJob (job: Job, opts: { acceptedThisTerm: boolean }): void {
    if (this.table.jobs.has(job.id)) return
    this.table.addJob(job, opts)
    if (this.limiter.mayGrow(job)) this.demandEstimator.recordJob(job, this.durationEstimator.durationFactor(job.queue), { isBeyondWeight: this.table.isBeyondWeight(job.id) })
  }

  /** @returns CPU demand at the current arrival rate of jobs, in thousandths of a core; for `isOwed` see {@link DemandEstimator.expectedCpu} */
  expectedCpu (opts: { isOwed?: boolean } = {}): number {
    return this.demandEstimator.expectedCpu(opts)
  }

  /**
   * Replaces the list of the service's registered workers.
   * @param registrations - all registered workers
   * @param opts - `unknownRunsUntil`: time until which newly tracked workers may execute runs of earlier leaders
   */
  setWorkers (registrations: readonly WorkerRegistration[], opts: { unknownRunsUntil: number }): void {
    const registeredIds = new Set(registrations.map(registration => registration.id))
    this.earlierRuns.until = opts.unknownRunsUntil
    for (const registration of registrations) this.registerWorker(registration)
    for (const worker of this.workers.values()) {
      if (!registeredIds.has(worker.registration.id)) worker.deregistered = true
    }
  }

  /**
   * Ends an incarnation of a worker: the runs that have certainly begun there, or nowhere, are over and released. Other starts are kept,
   * confirmed or not: the next incarnation under the same id may have executed them, or may do so still.
   * @param worker - the incarnation that has ended
   * @param opts - `planned`: its VM was moved or maintained
   */
  endIncarnation (worker: TrackedWorker, opts: { planned: boolean } = { planned: false }): void {
    if (worker.ended) return
    const planned = opts.planned || worker.withdrawn || worker.registration.draining
    if (!planned) this.crashTracker.recordCrash(worker, [...worker.runs.values(), ...worker.expiredRuns], this.opts.clock.now())
    this.recordLoss(worker, planned ? lossCauses.planned : lossCauses.crashed)
    worker.ended = true
    worker.expiredRuns = []
    worker.unknownRunsUntil = this.opts.clock.now() + 2 * this.opts.limits.longestLeaseMs
    for (const run of [...worker.runs.values()]) {
      if (run.begunHere || run.sentHere) this.releaseRun(run, releaseCauses.incarnationEnded)
    }
    const removable = worker.deregistered && worker.runs.size === 0
    if (removable && this.workers.get(worker.registration.id) === worker) this.workers.delete(worker.registration.id)
  }

  /**
   * Ends an incarnation whose id has responded as another one, and tracks that one, registered or not: it may have executed
   * commands that were meant for the other, also those of earlier leaders. It gets no starts before its own registration is seen.
   * It may have been born earlier by the clock of its machine, which may have been set back.
   * @param worker - the incarnation that has ended
   * @param born - what identifies the other one under the same id
   */
  replaceIncarnation (worker: TrackedWorker, born: number): void {
    const { registration } = worker
    const reported = { ...registration, born }
    if (this.workers.get(registration.id) === worker) this.trackIncarnation(reported)
    this.endIncarnation(worker)
    this.incarnations.replace(worker.registration, reported)
    const next = this.workers.get(registration.id)
    if (next !== undefined && next !== worker) next.deregistered = true
  }

  /**
   * Releases the runs of an incarnation that are over, whichever incarnation under its id has got their start: one that
   * begins after the call has ended, with a response or without, never gets it.
   * @param worker - an incarnation that has ended, or one that may not be running
   * @param offSince - time of the injected clock at which no incarnation under its id was running
   * @returns number of released starts that had no response
   */
  releaseOverRuns (worker: TrackedWorker, offSince: number): number {
    const over = [...worker.runs.values()].filter(({ startCallEndedAt, begunHere }) => startCallEndedAt !== undefined && startCallEndedAt < offSince && (worker.ended || !begunHere))
    for (const run of over) this.releaseRun(run, releaseCauses.vmOff)
    return over.filter(run => run.phase === 'unsettled').length
  }

  /**
   * Releases all runs of a worker.
   * @param worker - a worker on which they neither run now nor can start later
   * @param cause - what proves that
   */
  releaseRuns (worker: TrackedWorker, cause: ReleaseCause): void {
    for (const run of [...worker.runs.values()]) this.releaseRun(run, cause)
  }

  /**
   * Applies a worker's response to a poll.
   * @param worker - the worker that responded
   * @param report - its response
   * @param opts - when the poll was sent and its response received, by the injected clock
   * @returns jobs to look up and runs to stop
   */
  applyReport (worker: TrackedWorker, report: WorkerReport, opts: { sentAt: number, receivedAt: number }): ReportResult {
    const unknownJobs = new Set<string>()
    const orphans: OrphanedRun[] = []
    worker.recordClock(report.clockMs, opts.receivedAt)
    worker.markReachable(opts.receivedAt)
    for (const run of worker.runs.values()) run.outlivedStart ||= opts.sentAt - run.startedAt >= SETTLE_MS
    this.applyEndedRuns(worker, report.ended, unknownJobs)
    const listedRuns = new Set<string>()
    for (const running of report.running) {
      listedRuns.add(runKey(running.task, running.attempt))
      this.applyActiveRun(worker, running, { unknownJobs, orphans, clockMs: report.clockMs })
    }
    worker.hasUntrackedRuns = orphans.length > 0 || unknownJobs.size > 0
    worker.hasUnlistedCompletions = report.moreEnded
    if (unknownJobs.size === 0 && !report.moreEnded) {
      worker.markFenced()
      this.handleMissingRuns(worker, listedRuns, opts.sentAt)
    }
    if (!report.moreEnded) restartSlowRuns(worker, { workers: this.workers, durationEstimator: this.durationEstimator, limiter: this.limiter, clockMs: report.clockMs, now: this.opts.clock.now(), stop: (run, reason) => this.requestStop(run, reason) })
    this.company.observe(worker, opts.receivedAt)
    const moved = this.throttledBackfill.findRunToMove(worker, opts.receivedAt)
    if (moved !== undefined) this.requestStop(moved, 'disturbs')
    if (worker.runs.size > 0 || worker.hasUntrackedRuns) worker.emptySince = undefined
    else worker.emptySince ??= opts.receivedAt
    return { unknownJobs: [...unknownJobs], orphans }
  }

  /**
   * Handles the response to a start command.
   * @param run - the run whose start was sent
   * @param error - error of the call, undefined when the worker accepted the start
   * @param reading - clock of the worker that accepted the start
   */
  handleStartResponse (run: Run, error: WorkerError | undefined, reading?: ClockReading): void {
    const now = this.opts.clock.now()
    for (let carried = run.carriedTo; carried !== undefined; carried = carried.carriedTo) carried.startCallEndedAt ??= now
    if (run.worker.runs.get(runKey(run.task.name, run.attempt)) !== run) return
    run.startCallEndedAt = now
    if (error === undefined) {
      run.phase = 'running'
      run.confirmedAt = now
      run.begunHere ||= reading !== undefined && run.worker.isOwnClock(reading)
      run.startedWorkerClockMs ??= run.worker.clockAt(now)
      run.progressedWorkerClockMs = Math.max(run.progressedWorkerClockMs, run.startedWorkerClockMs)
      markBegun(run.task.step.job, now)
      return
    }
    if (error.kind === 'other-life') {
      this.releaseRun(run, releaseCauses.otherIncarnation)
      return
    }
    if (error.kind !== 'refused') {
      if (run.phase === 'sending') run.phase = 'unsettled'
      run.confirmedAt = undefined
      run.stopAcknowledgedAt = undefined
      return
    }
    if (error.reason === 'room' || error.reason === 'not-sent') run.worker.cooldownUntil = now + NO_CAPACITY_COOLDOWN_MS
    if (error.reason === 'permit') run.task.step.permits.invalidate(run.worker)
    if (error.reason === 'unhealthy') run.worker.cooldownUntil = now + UNHEALTHY_COOLDOWN_MS
    run.task.retryAt = now + REFUSED_RETRY_DELAY_MS
    this.releaseRun(run, releaseCauses.refused)
  }

  /**
   * Handles the response to a stop command.
   * @param run - the run to be stopped
   * @param acknowledged - whether the worker acknowledged the command
   */
  handleStopResponse (run: Run, acknowledged: boolean): void {
    if (acknowledged) run.stopAcknowledgedAt ??= this.opts.clock.now()
  }

  /**
   * Releases the runs of workers whose leases have certainly expired, removes deregistered workers with nothing left to
   * track, and opens due occurrences.
   */
  tick (): void {
    const now = this.opts.clock.now()
    const leasesKnownAt = this.leasesKnownAt()
    for (const worker of [...this.workers.values()]) {
      if (worker.runs.size > 0 && worker.haveLeasesExpired(leasesKnownAt)) {
        if (!worker.ended) this.recordLoss(worker, lossCauses.leaseExpired)
        if (!worker.ended) worker.keepExpiredRuns(now + EXPIRED_RUNS_KEPT_MS)
        this.releaseRuns(worker, releaseCauses.leaseExpired)
      }
      if (worker.expiredRuns.length > 0 && now >= worker.expiredRunsUntil) worker.expiredRuns = []
      if (worker.deregistered && worker.runs.size === 0 && worker.expiredRuns.length === 0 && worker.pendingCompletions.size === 0 && (worker.fenced || leasesKnownAt >= worker.unknownRunsUntil)) {
        this.workers.delete(worker.registration.id)
      }
    }
    this.table.openDueOccurrences()
  }

  /**
   * Places ready tasks on workers.
   * @param maxRuns - number of runs after which no further step is begun; a gang is placed whole
   * @returns runs to start, whose capacity on their workers is already reserved
   */
  placeReadyTasks (maxRuns = Infinity): Run[] {
    const now = this.opts.clock.now()
    this.reservations.clear()
    if (maxRuns <= 0) return []
    this.limiter.beginPass(() => capacityOfUnknownRuns(this.workers.values(), this.leasesKnownAt()))
    const steps = [...this.table.ready].filter(mayStart)
    if (steps.length === 0) return this.withdrawnRoom.place({ ready: [], placeable: [] }, [...this.workers.values()], { now, maxRuns })
    const workers = [...this.workers.values()].filter(worker => worker.takesStarts(now) && worker.hasClock())
    this.isolation.noteWaits(steps, now)
    const placeable = this.mayHaveUnknownRuns() ? steps.filter(step => step.job.acceptedThisTerm) : steps
    const { runs: isolatedRuns, openWorkers, reserved } = this.isolation.place(placeable, workers, { now, maxRuns })
    const runs = [...isolatedRuns, ...this.placer.place(placeable, openWorkers, { now, maxRuns: maxRuns - isolatedRuns.length, reserved })]
    return [...runs, ...this.withdrawnRoom.place({ ready: steps, placeable }, [...this.workers.values()], { now, maxRuns: maxRuns - runs.length })]
  }

  /** @returns workers that must be polled at once, before a suspected task is started there */
  takeWorkersToPoll (): readonly TrackedWorker[] {
    return this.isolation.takeWorkersToPoll()
  }

  /** @returns demand of the ready tasks that have no run, see {@link JobTable.waiting} */
  waitingDemand (opts: { isOwed?: boolean } = {}): Resources {
    const workers = [...this.workers.values()].filter(worker => !worker.ended && !worker.deregistered)
    return this.table.waiting(step => isUnplaceable(step, workers, this.opts.queue), { ...opts, countOf: this.limiter.countWaiting() })
  }

  /** @returns runs for which a stop command is due, marked as sent */
  collectDueStops (): Run[] {
    return collectDueStops(this.runsToStop, { now: this.opts.clock.now(), stopMs: this.opts.limits.stopMs })
  }

  /**
   * @returns time of the injected clock for which it is known which leases workers hold: since then a later leader may have
   * extended them, so that none may be taken for expired
   */
  leasesKnownAt (): number {
    return Math.min(this.opts.clock.now(), this.opts.leadershipConfirmedAt())
  }

  /** @returns what the longest times of holds depend on */
  holdTimes (): HoldTimes {
    return { longestLeaseMs: this.opts.limits.longestLeaseMs, maxEarlierLeaseMs: this.opts.maxEarlierLeaseMs }
  }

  /** @returns whether some worker may execute runs of earlier leaders that are not tracked here */
  mayHaveUnknownRuns (): boolean {
    return this.workersWithUnknownRuns().length > 0
  }

  /** @returns the workers that may execute runs of earlier leaders that are not tracked here */
  workersWithUnknownRuns (): TrackedWorker[] {
    const leasesKnownAt = this.leasesKnownAt()
    return [...this.workers.values()].filter(worker => worker.mayHaveUnknownRuns(leasesKnownAt))
  }

  /**
   * Marks a run to be stopped.
   * @param run - the run
   * @param reason - reason for the log; the first one is kept
   */
  requestStop (run: Run, reason: string): void {
    run.stopReason ??= reason
    this.runsToStop.add(run)
  }

  /**
   * Stops long-running tasks on a withdrawn worker, as many as their steps' `mayMiss` allows now and only if another
   * worker can take them.
   * @param worker - the withdrawn worker
   */
  stopLongRunningTasks (worker: TrackedWorker): void {
    const now = this.opts.clock.now()
    const others = [...this.workers.values()].filter(other => other !== worker && other.takesStarts(now))
    moveLongRunningTasks(worker, { others, ready: this.table.ready, stopping: this.runsToStop, mayTake: (step, other) => this.limiter.mayAdd(step, 0) && this.placer.permittedWorkers(step, [other], now).length > 0, stop: (run, reason) => this.requestStop(run, reason) })
  }

  /** @returns the runs that were lost with their workers since the previous call */
  takeLosses (): WorkerLoss[] {
    const losses = this.losses
    this.losses = []
    return losses
  }

  private recordLoss (worker: TrackedWorker, cause: LossCause): void {
    if (worker.runs.size === 0) return
    this.losses.push({ ...describeSilence(worker, this.opts.clock.now()), worker: worker.registration, cause, runs: [...worker.runs.values()].map(toLostRun) })
  }

  private registerWorker (registration: WorkerRegistration): void {
    if (this.incarnations.isReplaced(registration)) return
    const existing = this.workers.get(registration.id)
    if (existing !== undefined && isOfTracked(registration, existing)) {
      existing.registration = chooseRegistration(registration, existing.registration)
      existing.deregistered = false
      return
    }
    if (existing === undefined || this.incarnations.isNext(registration, existing, this.leasesKnownAt())) this.trackIncarnation(registration)
  }

  /** Tracks an incarnation and ends the one that is tracked under its id. */
  private trackIncarnation (registration: WorkerRegistration): void {
    const existing = this.workers.get(registration.id)
    if (existing !== undefined) this.endIncarnation(existing)
    const unresolvedRuns = [...existing?.runs.values() ?? []]
    const lateStartsUntil = unresolvedRuns.length === 0 ? 0 : this.opts.clock.now() + 2 * this.opts.limits.longestLeaseMs
    const worker = new TrackedWorker(registration, { unknownRunsUntil: this.earlierRuns.untilAt(registration), lateStartsUntil })
    this.workers.set(registration.id, worker)
    this.incarnations.add(registration)
    for (const run of unresolvedRuns) this.carryOverRun(run, worker)
  }

  /**
   * A start that the previous incarnation has not certainly executed is tracked at the next one under the same id. One that
   * was confirmed is in progress there unless its reports show that it is over; one with an unknown outcome is blocked there.
   */
  private carryOverRun (run: Run, worker: TrackedWorker): void {
    this.releaseRun(run)
    const carried = carriedOver(run, worker)
    run.carriedTo = carried
    worker.add(carried)
    attachRun(carried)
    this.limiter.noteRun(carried)
    if (run.phase === 'running') {
      if (run.stopReason !== undefined) this.requestStop(carried, run.stopReason)
      return
    }
    carried.phase = 'unsettled'
    carried.confirmedAt = undefined
    this.requestStop(carried, 'worker restarted')
  }

  private applyEndedRuns (worker: TrackedWorker, ended: readonly EndedRun[], unknownJobs: Set<string>): void {
    const newRuns = ended.filter(endedRun => endedRun.seq > worker.highestCompletionSeq).sort((a, b) => a.seq - b.seq)
    for (const endedRun of newRuns) {
      const taskName = parseTaskName(endedRun.task)
      const tracked = taskName === undefined ? undefined : this.table.jobs.get(taskName.job)
      if (taskName !== undefined && this.table.needsLookup(taskName.job)) {
        unknownJobs.add(taskName.job)
        return
      }
      worker.highestCompletionSeq = endedRun.seq
      const run = worker.runs.get(runKey(endedRun.task, endedRun.attempt))
      if (run !== undefined) this.releaseRun(run)
      if (run !== undefined && endedRun.how === 'done') this.durationEstimator.recordSuccess(run, this.opts.clock.now())
      const task = taskName === undefined ? undefined : tracked?.task(taskName)
      if (tracked === undefined || task === undefined) continue
      worker.pendingCompletions.add(endedRun.seq)
      if (endedRun.how === 'done') worker.failuresInARow = 0
      if (endedRun.how === 'failed') recordFailure(worker, task, this.opts.clock.now())
      this.table.applyEndedRun(task, endedRun, { worker, seq: endedRun.seq })
    }
  }

  private applyActiveRun (worker: TrackedWorker, running: ActiveRun, found: { unknownJobs: Set<string>, orphans: OrphanedRun[], clockMs: number }): void {
    const existing = worker.runs.get(runKey(running.task, running.attempt))
    if (existing !== undefined) {
      this.updateRun(existing, running, found.clockMs)
      return
    }
    const taskName = parseTaskName(running.task)
    const tracked = taskName === undefined ? undefined : this.table.jobs.get(taskName.job)
    if (taskName !== undefined && this.table.needsLookup(taskName.job)) {
      found.unknownJobs.add(taskName.job)
      return
    }
    const task = taskName === undefined ? undefined : tracked?.task(taskName)
    if (task === undefined) {
      found.orphans.push({ worker, task: running.task, attempt: running.attempt })
      return
    }
    this.adoptRun(worker, task, running, found.clockMs)
  }

  private adoptRun (worker: TrackedWorker, task: Task, running: ActiveRun, clockMs: number): void {
    worker.assumeEarlierLease(this.opts.maxEarlierLeaseMs)
    const run = this.addRun(task, worker, running.attempt)
    run.phase = 'running'
    run.outlivedStart = true
    run.speedPercent = Number.NaN
    run.mayBeStopping = true
    this.updateRun(run, running, clockMs)
    const hasOtherRuns = task.runs.some(other => other !== run && other.stopReason === undefined)
    if (task.done || task.step.job.isFinished()) this.requestStop(run, 'not needed')
    else if (hasOtherRuns && !task.step.spec.copies) this.requestStop(run, 'runs elsewhere')
  }

  private updateRun (run: Run, running: ActiveRun, clockMs: number): void {
    const now = this.opts.clock.now()
    run.phase = 'running'
    run.confirmedAt ??= now
    run.task.step.job.begun = true
    run.startedWorkerClockMs ??= clockMs
    // The worker takes no stops of earlier leaders since the report that showed the run.
    run.mayBeStopping &&= clockMs - run.startedWorkerClockMs <= this.opts.limits.stopMs
    if (running.percent > run.percent || !run.begunHere) run.progressedWorkerClockMs = clockMs
    run.begunHere = true
    run.percent = running.percent
    run.load = running.load
    if (running.checkpoint !== '') run.task.checkpoint = running.checkpoint
    this.crashTracker.observeRun(run)
  }

  private handleMissingRuns (worker: TrackedWorker, listedRuns: ReadonlySet<string>, pollSentAt: number): void {
    for (const run of [...worker.runs.values()]) {
      if (!listedRuns.has(runKey(run.task.name, run.attempt))) this.handleMissingRun(run, pollSentAt)
    }
  }

  /**
   * A poll that is sent after a start was confirmed or a stop acknowledged, and whose complete report does not list the run,
   * proves that it is over: it has ended, or never started, and never runs again.
   */
  private handleMissingRun (run: Run, pollSentAt: number): void {
    const blocked = run.stopAcknowledgedAt !== undefined && run.stopAcknowledgedAt < pollSentAt
    const disappeared = run.phase === 'running' && run.confirmedAt !== undefined && run.confirmedAt < pollSentAt
    if (blocked || disappeared) this.releaseRun(run, releaseCauses.notListed)
    else if (run.phase === 'unsettled') this.requestStop(run, 'start unanswered')
  }

  private addRun (task: Task, worker: TrackedWorker, attempt: number): Run {
    const now = this.opts.clock.now()
    const run = createRun(task, worker, { attempt, now })
    task.lastAttempt = Math.max(task.lastAttempt, attempt)
    attachRun(run)
    worker.add(run)
    this.limiter.noteRun(run)
    worker.emptySince = undefined
    return run
  }

  private releaseRun (run: Run, cause?: ReleaseCause): void {
    if (cause !== undefined) run.task.released = toReleasedRun(run, cause, this.opts.clock.now())
    run.worker.remove(run)
    this.runsToStop.delete(run)
    this.limiter.forgetRun(run)
    detachRun(run, this.opts.clock.now())
  }
}
