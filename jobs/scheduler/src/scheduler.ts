import type { Clock } from '@wisteriaslip/core.result'
import { parseTaskName, type EndedRun, type Job, type JobLimits, type ActiveRun, type WorkerRegistration, type WorkerError, type WorkerReport } from '@wisteriaslip/jobs.model'
import { Arrivals } from './demand-estimator.ts'
import { JobTable } from './job-table.ts'
import { orderSteps, type QueueLookup } from './step-priority.ts'
import { chooseReserve, chooseWorker, mayRun } from './placement.ts'
import type { PermitRequest } from './permits.ts'
import type { Run } from './run.ts'
import { DurationBook, findStragglers } from './stragglers.ts'
import type { Task, TrackedStep } from './tracked-job.ts'
import { runKey, TrackedWorker } from './tracked-worker.ts'

/** Attempts of one term start above all that earlier terms may have used. */
const ATTEMPTS_PER_TERM = 10_000
/** A worker that failed this many runs in a row rests. */
const FAILURES_TO_REST = 2
const REST_MS = 3_000
/** A worker on which runs of several jobs are slow gets nothing new for this long. */
const SUSPECT_REST_MS = 1_500
/** A worker that had no room, or called itself unhealthy, gets no start for this long. */
const NO_ROOM_REST_MS = 200
const UNHEALTHY_REST_MS = 600
/** A lasting task at this percent is at work. */
const AT_WORK_PERCENT = 100
/** Most workers in one question for permits. */
const MOST_IN_QUESTION = 100
const STOP_AGAIN_MS = 600
const RETRY_REFUSED_MS = 30

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
  private readonly toStop = new Set<Run>()
  private readonly durations = new DurationBook()
  private readonly arrivals: Arrivals

  constructor (opts: SchedulerOpts) {
    this.opts = opts
    this.arrivals = new Arrivals(opts.clock)
    this.table = new JobTable({ ...opts, onNotNeeded: (run, reason) => this.requestStop(run, reason) })
  }

  /**
   * Takes in a job that was just accepted. One that is known already is left as it is.
   * @param job - as accepted
   * @param opts - whether no earlier leader can have started it
   */
  addJob (job: Job, opts: { acceptedThisTerm: boolean }): void {
    if (!this.table.jobs.has(job.id)) this.arrivals.note(job, this.durations.factor(job.queue))
    this.table.addJob(job, opts)
  }

  /** @returns thousandths of a core that the service will need if jobs go on coming as they do */
  expectedCpu (): number {
    return this.arrivals.expectedCpu()
  }

  /**
   * Takes over the registry's list of the service's workers.
   * @param entries - all of them
   * @param opts - until when workers not known before may run work of earlier leaders
   */
  setWorkers (entries: readonly WorkerRegistration[], opts: { unknownRunsUntil: number }): void {
    const listed = new Set(entries.map(entry => entry.id))
    for (const entry of entries) this.listWorker(entry, opts.unknownRunsUntil)
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
      if (run.phase === 'running') this.release(run)
    }
    const forgettable = worker.deregistered && worker.runs.size === 0
    if (forgettable && this.workers.get(worker.registration.id) === worker) this.workers.delete(worker.registration.id)
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
    this.takeEnds(worker, report.ended, unknownJobs)
    const listed = new Set<string>()
    for (const running of report.running) {
      listed.add(runKey(running.task, running.attempt))
      this.takeRunning(worker, running, { unknownJobs, orphans, clockMs: report.clockMs })
    }
    if (unknownJobs.size === 0) {
      worker.fenced = true
      this.noteAbsentRuns(worker, listed, opts.sentAt)
    }
    this.judge(worker, report.clockMs)
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
      run.begunClockMs ??= run.worker.clockAt(now)
      run.advancedClockMs = Math.max(run.advancedClockMs, run.begunClockMs)
      this.noteBegun(run, now)
      return
    }
    if (answer.kind === 'other-life') {
      this.release(run)
      return
    }
    if (answer.kind !== 'refused') {
      if (run.phase === 'sending') run.phase = 'unsettled'
      run.confirmedAt = undefined
      run.stopAnsweredAt = undefined
      return
    }
    if (answer.reason === 'room') run.worker.restUntil = now + NO_ROOM_REST_MS
    if (answer.reason === 'permit') run.task.step.permits.drop(run.worker)
    if (answer.reason === 'unhealthy') run.worker.restUntil = now + UNHEALTHY_REST_MS
    run.task.retryAt = now + RETRY_REFUSED_MS
    this.release(run)
  }

  /**
   * Takes in the answer to a stop.
   * @param run - that was told to stop
   * @param answered - whether the worker said that it took the order
   */
  handleStopResponse (run: Run, answered: boolean): void {
    if (answered) run.stopAnsweredAt = this.opts.clock.now()
  }

  /** Frees what ran on workers that cannot be reached and whose leases have surely ended, and opens occurrences that are due. */
  tick (): void {
    const now = this.opts.clock.now()
    for (const worker of [...this.workers.values()]) {
      if (worker.runs.size > 0 && worker.leaseSurelyOver(now)) {
        for (const run of [...worker.runs.values()]) this.release(run)
      }
      if (worker.deregistered && worker.runs.size === 0 && worker.pendingEnds.size === 0 && (worker.fenced || now >= worker.unknownRunsUntil)) {
        this.workers.delete(worker.registration.id)
      }
    }
    this.table.openAllDue()
  }

  /**
   * Decides what starts now.
   * @returns runs to send, with room taken on their workers
   */
  placeReadyTasks (): Run[] {
    const now = this.opts.clock.now()
    let workers = [...this.workers.values()].filter(worker => worker.takesStarts(now) && worker.hasClock())
    if (workers.length === 0 || this.table.ready.size === 0) return []
    const blind = this.mayHaveUnknownRuns(now)
    const runs: Run[] = []
    for (const step of orderSteps(this.table.ready, { queue: this.opts.queue, now })) {
      if (blind && !step.job.acceptedThisTerm) continue
      const placements = step.spec.gang ? this.placeGang(step, workers, now) : this.placeTasks(step, workers, now)
      runs.push(...placements)
      if (step.spec.lasting && step.tasks.some(task => startable(task, now))) {
        const reserve = chooseReserve(step, workers)
        workers = workers.filter(worker => worker !== reserve)
      }
    }
    return runs
  }

  /** @returns questions for permits that steps need before they can start */
  collectPermitRequests (): PermitRequest[] {
    const now = this.opts.clock.now()
    const questions: PermitRequest[] = []
    for (const step of this.table.ready) {
      const { permits, job, occurrence } = step
      if (!this.needsPermit(step) || permits.asked || permits.askAgainAt > now || !step.tasks.some(task => startable(task, now))) continue
      const unknown = [...this.workers.values()].filter(worker => worker.takesStarts(now) && permits.permitFor(worker, now) === undefined)
      if (unknown.length === 0) continue
      permits.asked = true
      questions.push({ step, name: `${job.job.id}.${occurrence.number}.${step.number}`, workers: unknown.slice(0, MOST_IN_QUESTION) })
    }
    return questions
  }

  /**
   * Takes in the answer to a question for permits.
   * @param question - that was asked
   * @param answer - permits by worker and their validity in milliseconds; undefined when there was no answer
   */
  handlePermitResponse (question: PermitRequest, answer: { permits: ReadonlyMap<string, string>, validMs: number } | undefined): void {
    const { permits } = question.step
    const now = this.opts.clock.now()
    permits.asked = false
    permits.askAgainAt = now + (answer === undefined ? RETRY_REFUSED_MS : Math.max(answer.validMs / 2, RETRY_REFUSED_MS))
    if (answer !== undefined) permits.take(answer.permits, { workers: question.workers, validUntil: now + answer.validMs })
  }

  /** @returns runs that are to be told to stop now */
  collectDueStops (): Run[] {
    const now = this.opts.clock.now()
    const due: Run[] = []
    for (const run of this.toStop) {
      const again = run.stopSentAt === undefined || now - run.stopSentAt >= STOP_AGAIN_MS + (run.stopAnsweredAt === undefined ? 0 : this.opts.limits.stopMs)
      if (!again || run.phase === 'sending') continue
      run.stopSentAt = now
      due.push(run)
    }
    return due
  }

  /** @returns whether some worker may run work that this leader does not know of */
  mayHaveUnknownRuns (now: number): boolean {
    for (const worker of this.workers.values()) {
      if (!worker.isKnown() && now < worker.unknownRunsUntil) return true
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
    this.toStop.add(run)
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
      if (this.fitsElsewhere(step, worker, now) && awayTasks(step) < step.spec.mayMiss) this.requestStop(run, 'worker withdrawn')
    }
  }

  private listWorker (entry: WorkerRegistration, unknownRunsUntil: number): void {
    const known = this.workers.get(entry.id)
    if (known !== undefined && known.registration.born === entry.born && !known.ended) {
      known.registration = entry
      known.deregistered = false
      return
    }
    if (known !== undefined && (entry.born < known.registration.born || (known.ended && entry.born === known.registration.born))) return
    if (known !== undefined) this.endIncarnation(known)
    const unsettled = [...known?.runs.values() ?? []]
    const barUntil = unsettled.length === 0 ? 0 : this.opts.clock.now() + 2 * this.opts.limits.longestLeaseMs
    const worker = new TrackedWorker(entry, { unknownRunsUntil: known === undefined ? unknownRunsUntil : barUntil })
    this.workers.set(entry.id, worker)
    for (const run of unsettled) this.carryOver(run, worker)
  }

  /** A start without an answer may still arrive at the next life under the same id: it is barred there, too. */
  private carryOver (run: Run, worker: TrackedWorker): void {
    this.release(run)
    const carried: Run = { ...run, worker, phase: 'unsettled', confirmedAt: undefined, stopSentAt: undefined, stopAnsweredAt: undefined }
    worker.add(carried)
    run.task.runs.push(carried)
    this.requestStop(carried, 'worker restarted')
  }

  private judge (worker: TrackedWorker, clockMs: number): void {
    const now = this.opts.clock.now()
    const { suspect, toRestart } = findStragglers(worker, this.durations, clockMs)
    if (suspect) worker.restUntil = Math.max(worker.restUntil, now + SUSPECT_REST_MS)
    for (const run of toRestart) {
      if (!this.fitsElsewhere(run.task.step, worker, now)) continue
      run.task.slowRestarts += 1
      this.requestStop(run, 'slow')
    }
  }

  private fitsElsewhere (step: TrackedStep, worker: TrackedWorker, now: number): boolean {
    return [...this.workers.values()].some(other => other !== worker && other.takesStarts(now) && mayRun(step, other))
  }

  private takeEnds (worker: TrackedWorker, ended: readonly EndedRun[], unknownJobs: Set<string>): void {
    const fresh = ended.filter(end => end.seq > worker.highestEnd).sort((a, b) => a.seq - b.seq)
    for (const end of fresh) {
      const place = parseTaskName(end.task)
      const tracked = place === undefined ? undefined : this.table.jobs.get(place.job)
      if (place !== undefined && this.table.mustLookUp(place.job)) {
        unknownJobs.add(place.job)
        return
      }
      worker.highestEnd = end.seq
      const run = worker.runs.get(runKey(end.task, end.attempt))
      if (run !== undefined) this.release(run)
      if (run !== undefined && end.how === 'done') this.durations.noteDone(run, this.opts.clock.now())
      const task = place === undefined ? undefined : tracked?.task(place)
      if (tracked === undefined || task === undefined) continue
      worker.pendingEnds.add(end.seq)
      if (end.how === 'done') worker.failuresInARow = 0
      if (end.how === 'failed') this.noteFailureAt(worker, task)
      this.table.applyEnd(task, end, { worker, seq: end.seq })
    }
  }

  private noteFailureAt (worker: TrackedWorker, task: Task): void {
    task.failedOn.add(worker.registration.id)
    worker.failuresInARow += 1
    if (worker.failuresInARow >= FAILURES_TO_REST) worker.restUntil = this.opts.clock.now() + REST_MS
  }

  private takeRunning (worker: TrackedWorker, running: ActiveRun, found: { unknownJobs: Set<string>, orphans: OrphanedRun[], clockMs: number }): void {
    const known = worker.runs.get(runKey(running.task, running.attempt))
    if (known !== undefined) {
      this.noteRunning(known, running, found.clockMs)
      return
    }
    const place = parseTaskName(running.task)
    const tracked = place === undefined ? undefined : this.table.jobs.get(place.job)
    if (place !== undefined && this.table.mustLookUp(place.job)) {
      found.unknownJobs.add(place.job)
      return
    }
    const task = place === undefined ? undefined : tracked?.task(place)
    if (task === undefined) {
      found.orphans.push({ worker, task: running.task, attempt: running.attempt })
      return
    }
    this.adopt(worker, task, running, found.clockMs)
  }

  private adopt (worker: TrackedWorker, task: Task, running: ActiveRun, clockMs: number): void {
    worker.assumeLease(this.opts.maxEarlierLeaseMs)
    const run = this.addRun(task, worker, running.attempt)
    run.phase = 'running'
    run.speedPercent = Number.NaN
    this.noteRunning(run, running, clockMs)
    const others = task.runs.some(other => other !== run && other.stopReason === undefined)
    if (task.done || task.step.job.isOver()) this.requestStop(run, 'not needed')
    else if (others && !task.step.spec.copies) this.requestStop(run, 'runs elsewhere')
  }

  private noteRunning (run: Run, running: ActiveRun, clockMs: number): void {
    const now = this.opts.clock.now()
    run.phase = 'running'
    run.confirmedAt ??= now
    run.task.step.job.begun = true
    run.begunClockMs ??= clockMs
    if (running.percent > run.percent) run.advancedClockMs = clockMs
    run.percent = running.percent
    run.load = running.load
    if (running.checkpoint !== '') run.task.checkpoint = running.checkpoint
  }

  private noteAbsentRuns (worker: TrackedWorker, listed: ReadonlySet<string>, lookSentAt: number): void {
    for (const run of [...worker.runs.values()]) {
      if (!listed.has(runKey(run.task.name, run.attempt))) this.noteAbsent(run, lookSentAt)
    }
  }

  /** A look that was sent after an order was answered, and does not show the run, settles it. */
  private noteAbsent (run: Run, lookSentAt: number): void {
    const barred = run.stopAnsweredAt !== undefined && run.stopAnsweredAt < lookSentAt
    const vanished = run.phase === 'running' && run.confirmedAt !== undefined && run.confirmedAt < lookSentAt
    if (barred || vanished) this.release(run)
    else if (run.phase === 'unsettled') this.requestStop(run, 'start unanswered')
  }

  private noteBegun (run: Run, now: number): void {
    const { job } = run.task.step
    if (!job.begun) job.waitedMs = Math.round(now - job.heardAt)
    job.begun = true
  }

  private needsPermit (step: TrackedStep): boolean {
    return this.opts.queue(step.job.job.queue)?.needsPermit ?? false
  }

  private permitted (step: TrackedStep, workers: readonly TrackedWorker[], now: number): readonly TrackedWorker[] {
    return this.needsPermit(step) ? workers.filter(worker => step.permits.permitFor(worker, now) !== undefined) : workers
  }

  private placeTasks (step: TrackedStep, workers: readonly TrackedWorker[], now: number): Run[] {
    const runs: Run[] = []
    for (const task of step.tasks) {
      if (!startable(task, now)) continue
      const worker = chooseWorker(step, this.permitted(step, workers, now), { avoid: task.failedOn })
      if (worker === undefined) break
      runs.push(this.addRun(task, worker, this.nextAttempt([task])))
    }
    return runs
  }

  /** A gang starts only when there is room for all of it at once. */
  private placeGang (step: TrackedStep, workers: readonly TrackedWorker[], now: number): Run[] {
    if (!step.tasks.every(task => startable(task, now))) return []
    const attempt = this.nextAttempt(step.tasks)
    const permitted = this.permitted(step, workers, now)
    const racks = step.spec.oneRack ? [...new Set(permitted.map(worker => worker.registration.rack))] : [undefined]
    for (const rack of racks) {
      const runs: Run[] = []
      for (const task of step.tasks) {
        const worker = chooseWorker(step, permitted, { avoid: task.failedOn, ...(rack === undefined ? {} : { rack }) })
        if (worker === undefined) break
        runs.push(this.addRun(task, worker, attempt))
      }
      if (runs.length === step.tasks.length) return runs
      for (const run of runs) this.release(run)
    }
    return []
  }

  private nextAttempt (tasks: readonly Task[]): number {
    const last = Math.max(...tasks.map(task => task.lastAttempt))
    return Math.max(last, this.opts.term * ATTEMPTS_PER_TERM) + 1
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
      stopAnsweredAt: undefined,
      percent: 0,
      begunClockMs: undefined,
      advancedClockMs: worker.clockAt(now),
      load: 0,
      speedPercent: 100
    }
    task.lastAttempt = Math.max(task.lastAttempt, attempt)
    task.runs.push(run)
    worker.add(run)
    worker.emptySince = undefined
    return run
  }

  private release (run: Run): void {
    run.worker.remove(run)
    this.toStop.delete(run)
    const at = run.task.runs.indexOf(run)
    if (at >= 0) run.task.runs.splice(at, 1)
  }
}

/** Tasks of a lasting step that are not at work. */
function awayTasks (step: TrackedStep): number {
  return step.tasks.filter(task => {
    return !task.runs.some(run => run.worker.reachable && run.phase === 'running' && run.stopReason === undefined && run.percent >= AT_WORK_PERCENT)
  }).length
}

function startable (task: Task, now: number): boolean {
  if (task.done || task.retryAt > now) return false
  return task.runs.length === 0 || (task.step.spec.copies && task.runs.every(run => run.stopReason !== undefined))
}
