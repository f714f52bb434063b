import type { Clock } from '@wisteriaslip/core.result'
import { parseTaskName, type EndedRun, type Job, type JobLimits, type ActiveRun, type WorkerRegistration, type WorkerError, type WorkerReport } from '@wisteriaslip/jobs.model'
import { DemandEstimator } from './demand-estimator.ts'
import { JobTable } from './job-table.ts'
import { orderSteps, type QueueLookup } from './step-priority.ts'
import { chooseReservedWorker, chooseWorker, canPlace } from './placement.ts'
import type { PermitRequest } from './permits.ts'
import type { Run } from './run.ts'
import { DurationEstimator, findStragglers } from './stragglers.ts'
import type { Task, TrackedStep } from './tracked-job.ts'
import { runKey, TrackedWorker } from './tracked-worker.ts'

/** Attempts of one term start above all that earlier terms may have used. */
const MAX_ATTEMPTS_PER_TERM = 10_000
/** A worker that failed this many runs in a row rests. */
const FAILURES_BEFORE_COOLDOWN = 2
const FAILURE_COOLDOWN_MS = 3_000
/** A worker on which runs of several jobs are slow gets nothing new for this long. */
const SLOW_WORKER_COOLDOWN_MS = 1_500
/** A worker that had no room, or called itself unhealthy, gets no start for this long. */
const NO_CAPACITY_COOLDOWN_MS = 200
const UNHEALTHY_COOLDOWN_MS = 600
/** A lasting task at this percent is at work. */
const SERVING_PERCENT = 100
/** Most workers in one question for permits. */
const MAX_WORKERS_PER_PERMIT_REQUEST = 100
const STOP_RETRY_INTERVAL_MS = 600
const REFUSED_RETRY_DELAY_MS = 30

/** Options of {@link Scheduler}. */
export interface SchedulerOpts {
  readonly clock: Clock
  /** @returns Unix milliseconds */
  readonly wallClock: () => number
  readonly limits: JobLimits
  readonly queue: QueueLookup
  /** Number of this term: one more than that of the leader before. */
  readonly term: number
  /** Longest lease that leaders of earlier terms gave, in milliseconds. */
  readonly maxEarlierLeaseMs: number
}

/** A run of a job that nobody knows. */
export interface OrphanedRun {
  readonly worker: TrackedWorker
  readonly task: string
  readonly attempt: number
}

/** What a report brought that needs more than the scheduler knows. */
export interface ReportResult {
  /** Jobs that must be looked up in the store before the report can be taken in whole. */
  readonly unknownJobs: readonly string[]
  /** Runs of jobs that the store does not hold. */
  readonly orphans: readonly OrphanedRun[]
}

/**
 * All that a service's leader knows of jobs and workers, and its decisions. No input or output: what is to be sent is
 * returned, and what came back is told.
 */
export class Scheduler {
  readonly table: JobTable
  readonly workers = new Map<string, TrackedWorker>()
  private readonly opts: SchedulerOpts
  private readonly runsToStop = new Set<Run>()
  private readonly durationEstimator = new DurationEstimator()
  private readonly demandEstimator: DemandEstimator

  constructor (opts: SchedulerOpts) {
    this.opts = opts
    this.demandEstimator = new DemandEstimator(opts.clock)
    this.table = new JobTable({ ...opts, onRunNotNeeded: (run, reason) => this.requestStop(run, reason) })
  }

  /**
   * Takes in a job that was just accepted. One that is known already is left as it is.
   * @param job - as accepted
   * @param opts - whether no earlier leader can have started it
   */
  addJob (job: Job, opts: { acceptedThisTerm: boolean }): void {
    if (!this.table.jobs.has(job.id)) this.demandEstimator.recordJob(job, this.durationEstimator.durationFactor(job.queue))
    this.table.addJob(job, opts)
  }

  /** @returns thousandths of a core that the service will need if jobs go on coming as they do */
  expectedCpu (): number {
    return this.demandEstimator.expectedCpu()
  }

  /**
   * Takes over the registry's list of the service's workers.
   * @param registrations - all of them
   * @param opts - until when workers not known before may run work of earlier leaders
   */
  setWorkers (registrations: readonly WorkerRegistration[], opts: { unknownRunsUntil: number }): void {
    const listed = new Set(registrations.map(registration => registration.id))
    for (const registration of registrations) this.registerWorker(registration, opts.unknownRunsUntil)
    for (const worker of this.workers.values()) {
      if (!listed.has(worker.registration.id)) worker.deregistered = true
    }
  }

  /**
   * Ends a life of a worker: nothing runs there any more. Starts without an answer stay unsettled, as they may still
   * arrive at the next life under the same id.
   * @param worker - of which the life ended
   */
  endIncarnation (worker: TrackedWorker): void {
    if (worker.ended) return
    worker.ended = true
    worker.unknownRunsUntil = this.opts.clock.now() + 2 * this.opts.limits.longestLeaseMs
    for (const run of [...worker.runs.values()]) {
      if (run.phase === 'running') this.releaseRun(run)
    }
    const removable = worker.deregistered && worker.runs.size === 0
    if (removable && this.workers.get(worker.registration.id) === worker) this.workers.delete(worker.registration.id)
  }

  /**
   * Takes in a worker's answer to a look.
   * @param worker - that answered
   * @param report - its lists
   * @param opts - when the look was sent and answered, by the injected clock
   * @returns what must be looked up or stopped
   */
  applyReport (worker: TrackedWorker, report: WorkerReport, opts: { sentAt: number, receivedAt: number }): ReportResult {
    const unknownJobs = new Set<string>()
    const orphans: OrphanedRun[] = []
    worker.recordClock(report.clockMs, opts.receivedAt)
    worker.reachable = true
    worker.lastResponseAt = opts.receivedAt
    this.applyEndedRuns(worker, report.ended, unknownJobs)
    const listed = new Set<string>()
    for (const running of report.running) {
      listed.add(runKey(running.task, running.attempt))
      this.applyActiveRun(worker, running, { unknownJobs, orphans, clockMs: report.clockMs })
    }
    if (unknownJobs.size === 0) {
      worker.fenced = true
      this.handleMissingRuns(worker, listed, opts.sentAt)
    }
    this.handleStragglers(worker, report.clockMs)
    if (worker.runs.size > 0) worker.emptySince = undefined
    else worker.emptySince ??= opts.receivedAt
    return { unknownJobs: [...unknownJobs], orphans }
  }

  /**
   * Takes in the fate of a start.
   * @param run - that was sent
   * @param answer - undefined when it was accepted
   */
  handleStartResponse (run: Run, answer: WorkerError | undefined): void {
    const now = this.opts.clock.now()
    if (run.worker.runs.get(runKey(run.task.name, run.attempt)) !== run) return
    if (answer === undefined) {
      run.phase = 'running'
      run.confirmedAt = now
      run.startedWorkerClockMs ??= run.worker.clockAt(now)
      run.progressedWorkerClockMs = Math.max(run.progressedWorkerClockMs, run.startedWorkerClockMs)
      this.markJobStarted(run, now)
      return
    }
    if (answer.kind === 'other-life') {
      this.releaseRun(run)
      return
    }
    if (answer.kind !== 'refused') {
      if (run.phase === 'sending') run.phase = 'unsettled'
      run.confirmedAt = undefined
      run.stopAcknowledgedAt = undefined
      return
    }
    if (answer.reason === 'room') run.worker.cooldownUntil = now + NO_CAPACITY_COOLDOWN_MS
    if (answer.reason === 'permit') run.task.step.permits.invalidate(run.worker)
    if (answer.reason === 'unhealthy') run.worker.cooldownUntil = now + UNHEALTHY_COOLDOWN_MS
    run.task.retryAt = now + REFUSED_RETRY_DELAY_MS
    this.releaseRun(run)
  }

  /**
   * Takes in the answer to a stop.
   * @param run - that was told to stop
   * @param answered - whether the worker said that it took the order
   */
  handleStopResponse (run: Run, answered: boolean): void {
    if (answered) run.stopAcknowledgedAt = this.opts.clock.now()
  }

  /** Frees what ran on workers that cannot be reached and whose leases have surely ended, and opens occurrences that are due. */
  tick (): void {
    const now = this.opts.clock.now()
    for (const worker of [...this.workers.values()]) {
      if (worker.runs.size > 0 && worker.areLeasesExpired(now)) {
        for (const run of [...worker.runs.values()]) this.releaseRun(run)
      }
      if (worker.deregistered && worker.runs.size === 0 && worker.pendingEnds.size === 0 && (worker.fenced || now >= worker.unknownRunsUntil)) {
        this.workers.delete(worker.registration.id)
      }
    }
    this.table.openDueOccurrences()
  }

  /**
   * Decides what starts now.
   * @returns runs to send, with room taken on their workers
   */
  placeReadyTasks (): Run[] {
    const now = this.opts.clock.now()
    let workers = [...this.workers.values()].filter(worker => worker.takesStarts(now) && worker.hasClock())
    if (workers.length === 0 || this.table.ready.size === 0) return []
    const unknownRunsPossible = this.mayHaveUnknownRuns(now)
    const runs: Run[] = []
    for (const step of orderSteps(this.table.ready, { queue: this.opts.queue, now })) {
      if (unknownRunsPossible && !step.job.acceptedThisTerm) continue
      const placements = step.spec.gang ? this.placeGang(step, workers, now) : this.placeTasks(step, workers, now)
      runs.push(...placements)
      if (step.spec.lasting && step.tasks.some(task => isStartable(task, now))) {
        const reservedWorker = chooseReservedWorker(step, workers)
        workers = workers.filter(worker => worker !== reservedWorker)
      }
    }
    return runs
  }

  /** @returns questions for permits that steps need before they can start */
  collectPermitRequests (): PermitRequest[] {
    const now = this.opts.clock.now()
    const requests: PermitRequest[] = []
    for (const step of this.table.ready) {
      const { permits, job, occurrence } = step
      if (!this.needsPermit(step) || permits.asked || permits.nextRequestAt > now || !step.tasks.some(task => isStartable(task, now))) continue
      const withoutPermit = [...this.workers.values()].filter(worker => worker.takesStarts(now) && permits.permitFor(worker, now) === undefined)
      if (withoutPermit.length === 0) continue
      permits.asked = true
      requests.push({ step, name: `${job.job.id}.${occurrence.number}.${step.number}`, workers: withoutPermit.slice(0, MAX_WORKERS_PER_PERMIT_REQUEST) })
    }
    return requests
  }

  /**
   * Takes in the answer to a question for permits.
   * @param request - that was asked
   * @param answer - permits by worker and their validity in milliseconds; undefined when there was no answer
   */
  handlePermitResponse (request: PermitRequest, answer: { permits: ReadonlyMap<string, string>, validMs: number } | undefined): void {
    const { permits } = request.step
    const now = this.opts.clock.now()
    permits.asked = false
    permits.nextRequestAt = now + (answer === undefined ? REFUSED_RETRY_DELAY_MS : Math.max(answer.validMs / 2, REFUSED_RETRY_DELAY_MS))
    if (answer !== undefined) permits.update(answer.permits, { workers: request.workers, validUntil: now + answer.validMs })
  }

  /** @returns runs that are to be told to stop now */
  collectDueStops (): Run[] {
    const now = this.opts.clock.now()
    const due: Run[] = []
    for (const run of this.runsToStop) {
      const retryDue = run.stopSentAt === undefined || now - run.stopSentAt >= STOP_RETRY_INTERVAL_MS + (run.stopAcknowledgedAt === undefined ? 0 : this.opts.limits.stopMs)
      if (!retryDue || run.phase === 'sending') continue
      run.stopSentAt = now
      due.push(run)
    }
    return due
  }

  /** @returns whether some worker may run work that this leader does not know of */
  mayHaveUnknownRuns (now: number): boolean {
    for (const worker of this.workers.values()) {
      if (!worker.hasKnownRuns() && now < worker.unknownRunsUntil) return true
    }
    return false
  }

  /**
   * Asks for a run to end.
   * @param run - to be stopped
   * @param reason - for the log
   */
  requestStop (run: Run, reason: string): void {
    run.stopReason ??= reason
    this.runsToStop.add(run)
  }

  /**
   * Stops lasting tasks on a worker that is being emptied, as many as their steps may miss now, if there is another
   * worker for them.
   * @param worker - to be emptied
   */
  stopLongRunningTasks (worker: TrackedWorker): void {
    const now = this.opts.clock.now()
    for (const run of worker.runs.values()) {
      const { step } = run.task
      if (!step.spec.lasting || run.stopReason !== undefined || run.phase !== 'running') continue
      if (this.canRunElsewhere(step, worker, now) && countUnavailableTasks(step) < step.spec.mayMiss) this.requestStop(run, 'worker withdrawn')
    }
  }

  private registerWorker (registration: WorkerRegistration, unknownRunsUntil: number): void {
    const existing = this.workers.get(registration.id)
    if (existing !== undefined && existing.registration.born === registration.born && !existing.ended) {
      existing.registration = registration
      existing.deregistered = false
      return
    }
    if (existing !== undefined && (registration.born < existing.registration.born || (existing.ended && registration.born === existing.registration.born))) return
    if (existing !== undefined) this.endIncarnation(existing)
    const unresolvedRuns = [...existing?.runs.values() ?? []]
    const blockUntil = unresolvedRuns.length === 0 ? 0 : this.opts.clock.now() + 2 * this.opts.limits.longestLeaseMs
    const worker = new TrackedWorker(registration, { unknownRunsUntil: existing === undefined ? unknownRunsUntil : blockUntil })
    this.workers.set(registration.id, worker)
    for (const run of unresolvedRuns) this.carryOverRun(run, worker)
  }

  /** A start without an answer may still arrive at the next life under the same id: it is barred there, too. */
  private carryOverRun (run: Run, worker: TrackedWorker): void {
    this.releaseRun(run)
    const carried: Run = { ...run, worker, phase: 'unsettled', confirmedAt: undefined, stopSentAt: undefined, stopAcknowledgedAt: undefined }
    worker.add(carried)
    run.task.runs.push(carried)
    this.requestStop(carried, 'worker restarted')
  }

  private handleStragglers (worker: TrackedWorker, clockMs: number): void {
    const now = this.opts.clock.now()
    const { suspect, toRestart } = findStragglers(worker, this.durationEstimator, clockMs)
    if (suspect) worker.cooldownUntil = Math.max(worker.cooldownUntil, now + SLOW_WORKER_COOLDOWN_MS)
    for (const run of toRestart) {
      if (!this.canRunElsewhere(run.task.step, worker, now)) continue
      run.task.slowRestarts += 1
      this.requestStop(run, 'slow')
    }
  }

  private canRunElsewhere (step: TrackedStep, worker: TrackedWorker, now: number): boolean {
    return [...this.workers.values()].some(other => other !== worker && other.takesStarts(now) && canPlace(step, other))
  }

  private applyEndedRuns (worker: TrackedWorker, ended: readonly EndedRun[], unknownJobs: Set<string>): void {
    const newRuns = ended.filter(end => end.seq > worker.highestEndSeq).sort((a, b) => a.seq - b.seq)
    for (const end of newRuns) {
      const taskName = parseTaskName(end.task)
      const tracked = taskName === undefined ? undefined : this.table.jobs.get(taskName.job)
      if (taskName !== undefined && this.table.needsLookup(taskName.job)) {
        unknownJobs.add(taskName.job)
        return
      }
      worker.highestEndSeq = end.seq
      const run = worker.runs.get(runKey(end.task, end.attempt))
      if (run !== undefined) this.releaseRun(run)
      if (run !== undefined && end.how === 'done') this.durationEstimator.recordCompletion(run, this.opts.clock.now())
      const task = taskName === undefined ? undefined : tracked?.task(taskName)
      if (tracked === undefined || task === undefined) continue
      worker.pendingEnds.add(end.seq)
      if (end.how === 'done') worker.failuresInARow = 0
      if (end.how === 'failed') this.recordFailure(worker, task)
      this.table.applyEndedRun(task, end, { worker, seq: end.seq })
    }
  }

  private recordFailure (worker: TrackedWorker, task: Task): void {
    task.failedOn.add(worker.registration.id)
    worker.failuresInARow += 1
    if (worker.failuresInARow >= FAILURES_BEFORE_COOLDOWN) worker.cooldownUntil = this.opts.clock.now() + FAILURE_COOLDOWN_MS
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
    run.speedPercent = Number.NaN
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
    if (running.percent > run.percent) run.progressedWorkerClockMs = clockMs
    run.percent = running.percent
    run.load = running.load
    if (running.checkpoint !== '') run.task.checkpoint = running.checkpoint
  }

  private handleMissingRuns (worker: TrackedWorker, listed: ReadonlySet<string>, pollSentAt: number): void {
    for (const run of [...worker.runs.values()]) {
      if (!listed.has(runKey(run.task.name, run.attempt))) this.handleMissingRun(run, pollSentAt)
    }
  }

  /** A look that was sent after an order was answered, and does not show the run, settles it. */
  private handleMissingRun (run: Run, pollSentAt: number): void {
    const blocked = run.stopAcknowledgedAt !== undefined && run.stopAcknowledgedAt < pollSentAt
    const disappeared = run.phase === 'running' && run.confirmedAt !== undefined && run.confirmedAt < pollSentAt
    if (blocked || disappeared) this.releaseRun(run)
    else if (run.phase === 'unsettled') this.requestStop(run, 'start unanswered')
  }

  private markJobStarted (run: Run, now: number): void {
    const { job } = run.task.step
    if (!job.begun) job.waitedMs = Math.round(now - job.firstSeenAt)
    job.begun = true
  }

  private needsPermit (step: TrackedStep): boolean {
    return this.opts.queue(step.job.job.queue)?.needsPermit ?? false
  }

  private permittedWorkers (step: TrackedStep, workers: readonly TrackedWorker[], now: number): readonly TrackedWorker[] {
    return this.needsPermit(step) ? workers.filter(worker => step.permits.permitFor(worker, now) !== undefined) : workers
  }

  private placeTasks (step: TrackedStep, workers: readonly TrackedWorker[], now: number): Run[] {
    const runs: Run[] = []
    for (const task of step.tasks) {
      if (!isStartable(task, now)) continue
      const worker = chooseWorker(step, this.permittedWorkers(step, workers, now), { avoid: task.failedOn })
      if (worker === undefined) break
      runs.push(this.addRun(task, worker, this.nextAttempt([task])))
    }
    return runs
  }

  /** A gang starts only when there is room for all of it at once. */
  private placeGang (step: TrackedStep, workers: readonly TrackedWorker[], now: number): Run[] {
    if (!step.tasks.every(task => isStartable(task, now))) return []
    const attempt = this.nextAttempt(step.tasks)
    const permitted = this.permittedWorkers(step, workers, now)
    const racks = step.spec.oneRack ? [...new Set(permitted.map(worker => worker.registration.rack))] : [undefined]
    for (const rack of racks) {
      const runs: Run[] = []
      for (const task of step.tasks) {
        const worker = chooseWorker(step, permitted, { avoid: task.failedOn, ...(rack === undefined ? {} : { rack }) })
        if (worker === undefined) break
        runs.push(this.addRun(task, worker, attempt))
      }
      if (runs.length === step.tasks.length) return runs
      for (const run of runs) this.releaseRun(run)
    }
    return []
  }

  private nextAttempt (tasks: readonly Task[]): number {
    const last = Math.max(...tasks.map(task => task.lastAttempt))
    return Math.max(last, this.opts.term * MAX_ATTEMPTS_PER_TERM) + 1
  }

  private addRun (task: Task, worker: TrackedWorker, attempt: number): Run {
    const now = this.opts.clock.now()
    const run: Run = {
      task,
      worker,
      attempt,
      phase: 'sending',
      startedAt: now,
      confirmedAt: undefined,
      stopReason: undefined,
      stopSentAt: undefined,
      stopAcknowledgedAt: undefined,
      percent: 0,
      startedWorkerClockMs: undefined,
      progressedWorkerClockMs: worker.clockAt(now),
      load: 0,
      speedPercent: 100
    }
    task.lastAttempt = Math.max(task.lastAttempt, attempt)
    task.runs.push(run)
    worker.add(run)
    worker.emptySince = undefined
    return run
  }

  private releaseRun (run: Run): void {
    run.worker.remove(run)
    this.runsToStop.delete(run)
    const at = run.task.runs.indexOf(run)
    if (at >= 0) run.task.runs.splice(at, 1)
  }
}

/** Tasks of a lasting step that are not at work. */
function countUnavailableTasks (step: TrackedStep): number {
  return step.tasks.filter(task => {
    return !task.runs.some(run => run.worker.reachable && run.phase === 'running' && run.stopReason === undefined && run.percent >= SERVING_PERCENT)
  }).length
}

function isStartable (task: Task, now: number): boolean {
  if (task.done || task.retryAt > now) return false
  return task.runs.length === 0 || (task.step.spec.copies && task.runs.every(run => run.stopReason !== undefined))
}
