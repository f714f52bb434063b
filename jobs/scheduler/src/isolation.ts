import { FRESH_RESPONSE_MS, hasRepeatedCrashes, hasSettled, needsIsolation } from './crash.ts'
import { canPlace, couldFitEventually } from './placement.ts'
import type { Reservations } from './reservations.ts'
import type { Run } from './run.ts'
import type { TaskPlacer } from './task-placer.ts'
import { isStartable, type Task, type TrackedJob, type TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'
import { survivedMs } from './worker-loss.ts'

/** How long a suspected task waits for a worker without other work. */
const MAX_EMPTY_WAIT_MS = 1_000
/** How long it waits for a worker on which all other runs have settled, and no other suspected task runs. */
export const MAX_SETTLED_WAIT_MS = 2_000
/** How long other suspected tasks of a job wait until an isolated run shows whether it crashes its worker. */
const MAX_VERDICT_WAIT_MS = 2_000
/** Tasks of a job that are still suspected then are started like others: each is started within that time of a crash. */
export const MAX_SUSPICION_WAIT_MS = 4_000
/** A worker gets no other starts until the isolated run of a task with several crashes has been in progress for this long. */
export const MAX_CLOSED_MS = 2_000
/** Weights of runs that would be lost with the worker: a long-running task is costly, and no task should be hit again. */
const LASTING_RUN_WEIGHT = 20
const CRASH_WEIGHT = 3

/** Since when a job has had a suspected task to start, and as of which of its crashes. */
interface Wait {
  readonly since: number
  readonly crashVersion: number
}

/** Result of a pass. */
export interface IsolationResult {
  /** Runs to start. */
  readonly runs: readonly Run[]
  /** Workers for other tasks. */
  readonly openWorkers: readonly TrackedWorker[]
  /** One of them that only long-running tasks may use, undefined if there is none. */
  readonly reserved: TrackedWorker | undefined
}

/**
 * Starts tasks that may have crashed their worker, so that the next crash shows which of them did and takes little else with
 * it: at first one such task of a job at a time, none beside one of another job, on a worker that has just responded and has as
 * little other work as possible. The worker gets no other starts until the run has settled. The longer a job waits, the less of
 * this holds, and in the end its tasks are started like others.
 */
export class Isolation {
  private readonly placer: TaskPlacer
  private readonly reservations: Reservations
  private readonly isolated = new Set<Run>()
  private readonly waits = new WeakMap<TrackedJob, Wait>()
  private readonly workersToPoll = new Set<TrackedWorker>()

  /**
   * @param placer - starts a task on a worker
   * @param reservations - gets the workers that are kept from other tasks
   */
  constructor (placer: TaskPlacer, reservations: Reservations) {
    this.placer = placer
    this.reservations = reservations
  }

  /**
   * Places suspected tasks.
   * @param steps - steps with tasks to start
   * @param workers - workers that accept starts
   * @param opts - `now`: time of the injected clock; `maxRuns`: number of runs after which none is added
   * @returns runs to start, and the workers that other tasks may use
   */
  place (steps: readonly TrackedStep[], workers: readonly TrackedWorker[], opts: { now: number, maxRuns: number }): IsolationResult {
    for (const run of this.isolated) if (!run.task.runs.includes(run)) this.isolated.delete(run)
    const suspectedSteps = steps.filter(step => step.suspects > 0)
    if (this.isolated.size === 0 && suspectedSteps.length === 0) return { runs: [], openWorkers: workers, reserved: undefined }
    const closed = new Set([...this.isolated].filter(run => this.closesWorker(run, opts.now)).map(run => run.worker))
    const runs: Run[] = []
    let waiting: Task | undefined
    for (const task of suspectedSteps.flatMap(step => startableSuspects(step, opts.now)).sort(compareSuspicion)) {
      if (runs.length >= opts.maxRuns) break
      if (!this.placer.isAllowed(task.step)) continue
      if (this.waitedMs(task.step.job, opts.now) >= MAX_SUSPICION_WAIT_MS) {
        const unsuspected = this.startAnywhere(task, this.placer.permittedWorkers(task.step, workers, opts.now), opts.now)
        runs.push(...unsuspected)
        if (unsuspected.length === 0) waiting ??= task
        continue
      }
      if (this.isBeingTried(task.step.job, opts.now)) continue
      const started = this.start(task, this.usableWorkers(task, workers, closed, opts.now), opts.now)
      for (const run of started) {
        this.isolated.add(run)
        closed.add(run.worker)
      }
      runs.push(...started)
      if (started.length === 0) waiting ??= task
    }
    for (const worker of closed) this.reservations.close(worker)
    const reserved = waiting !== undefined && this.mayReserve(waiting.step, opts.now) ? this.reserve(waiting, this.usableWorkers(waiting, workers, closed, opts.now), opts.now) : undefined
    if (reserved?.fromAll === true) closed.add(reserved.worker)
    return { runs, openWorkers: workers.filter(worker => !closed.has(worker)), reserved: reserved?.fromAll === false ? reserved.worker : undefined }
  }

  /**
   * Begins the wait of jobs with suspected tasks, also while these may not be started for another reason.
   * @param steps - steps with tasks to start
   * @param now - time of the injected clock
   */
  noteWaits (steps: readonly TrackedStep[], now: number): void {
    for (const step of steps) if (step.suspects > 0 && step.job.maySuspectsStart()) this.waitedMs(step.job, now)
  }

  /**
   * @returns workers that are about to get an isolated run and have not responded for a while, since the previous call: one that has
   * died unnoticed would look as if the run had crashed it
   */
  takeWorkersToPoll (): readonly TrackedWorker[] {
    const workers = [...this.workersToPoll]
    this.workersToPoll.clear()
    return workers
  }

  /**
   * @param job - a job
   * @param now - time of the injected clock
   * @returns for how long its suspected tasks have waited since its latest crash, in milliseconds; undefined before a pass has seen it
   */
  waitOf (job: TrackedJob, now: number): number | undefined {
    const wait = this.waits.get(job)
    return wait?.crashVersion === job.crashVersion ? Math.round(now - wait.since) : undefined
  }

  private usableWorkers (task: Task, workers: readonly TrackedWorker[], closed: ReadonlySet<TrackedWorker>, now: number): readonly TrackedWorker[] {
    return this.placer.permittedWorkers(task.step, workers, now).filter(worker => !closed.has(worker))
  }

  /** A long-running task keeps its worker reserved: small tasks would take all capacity that becomes free. */
  private mayReserve ({ spec, job }: TrackedStep, now: number): boolean {
    return this.waitedMs(job, now) < MAX_SETTLED_WAIT_MS || (spec.lasting && !spec.gang)
  }

  /**
   * Chooses the worker that a task waits for, so that it becomes empty: from all others first, and later, when any worker with
   * room will do, only from those that end by themselves, as the task may not fit there for long.
   */
  private reserve (task: Task, workers: readonly TrackedWorker[], now: number): { worker: TrackedWorker, fromAll: boolean } | undefined {
    const worker = leastDisruptive(workers.filter(each => couldFitEventually(task.step, each)), task.step.job)
    if (worker === undefined) return undefined
    const fromAll = this.waitedMs(task.step.job, now) < MAX_SETTLED_WAIT_MS
    this.reservations.reserve(worker, task, { fromAll })
    return { worker, fromAll }
  }

  private start (task: Task, open: readonly TrackedWorker[], now: number): readonly Run[] {
    const { step } = task
    const { job } = step
    const waitedMs = this.waitedMs(job, now)
    const usable = waitedMs >= MAX_SETTLED_WAIT_MS ? open : open.filter(worker => !this.hasOtherSuspect(worker, job) && [...worker.runs.values()].every(hasSettled))
    const isolation = hasRepeatedCrashes(task) ? 'whole' : 'start'
    const empty = usable.filter(worker => disruptionOf(worker, job) === 0)
    const choices = waitedMs >= MAX_EMPTY_WAIT_MS ? [empty, usable] : [empty]
    for (const choice of choices) {
      const runs = step.spec.gang ? this.placer.placeGang(step, choice, now) : this.startOnResponsive(task, choice, now)
      for (const run of runs) run.isolation = isolation
      if (runs.length > 0) return runs
    }
    return []
  }

  private startAnywhere (task: Task, workers: readonly TrackedWorker[], now: number): readonly Run[] {
    return task.step.spec.gang ? this.placer.placeGang(task.step, workers, now) : this.startSingle(task, workers)
  }

  /** Returns for how long the job has waited as of its present crashes. The first call begins the wait. */
  private waitedMs (job: TrackedJob, now: number): number {
    const known = this.waits.get(job)
    if (known?.crashVersion === job.crashVersion) return now - known.since
    this.waits.set(job, { since: now, crashVersion: job.crashVersion })
    return 0
  }

  private startSingle (task: Task, workers: readonly TrackedWorker[]): readonly Run[] {
    const worker = leastDisruptive(workers.filter(each => canPlace(task.step, each)), task.step.job)
    return worker === undefined ? [] : [this.placer.placeOn(task, worker)]
  }

  /** Starts a task if the worker that suits it best has just responded; otherwise asks for a poll of it. */
  private startOnResponsive (task: Task, workers: readonly TrackedWorker[], now: number): readonly Run[] {
    const worker = leastDisruptive(workers.filter(each => canPlace(task.step, each)), task.step.job)
    if (worker === undefined) return []
    if (now - (worker.lastResponseAt ?? Number.NEGATIVE_INFINITY) <= FRESH_RESPONSE_MS) return [this.placer.placeOn(task, worker)]
    this.workersToPoll.add(worker)
    return []
  }

  /**
   * Returns whether an isolated run of the job has yet to show whether it crashes its worker. One that has survived its start
   * holds up others only until they have waited for long.
   */
  private isBeingTried (job: TrackedJob, now: number): boolean {
    const maySettle = this.waitedMs(job, now) < MAX_SETTLED_WAIT_MS
    const pending = [...this.isolated].filter(run => run.task.step.job === job && !run.worker.ended && now - run.startedAt < MAX_VERDICT_WAIT_MS)
    return pending.some(run => isUndecided(run) || (maySettle && hasSettled(run) && this.closesWorker(run, now)))
  }

  /** Returns whether the worker gets no other starts: until the run has settled, and longer only for the first trials of a job. */
  private closesWorker (run: Run, now: number): boolean {
    if (!hasSettled(run)) return true
    if (run.isolation !== 'whole' || survivedMs(run) >= MAX_CLOSED_MS) return false
    const waitedAtStartMs = this.waitedMs(run.task.step.job, now) - (now - run.startedAt)
    return waitedAtStartMs < MAX_SETTLED_WAIT_MS
  }

  private hasOtherSuspect (worker: TrackedWorker, job: TrackedJob): boolean {
    return [...this.isolated].some(run => run.worker === worker && run.task.step.job !== job && (run.isolation === 'whole' || !hasSettled(run)))
  }
}

/** Tasks of a step that need isolation and may be started; of a gang, one that stands for all. */
function startableSuspects (step: TrackedStep, now: number): Task[] {
  if (!step.job.maySuspectsStart()) return []
  const suspects = step.tasks.filter(task => needsIsolation(task) && isStartable(task, now))
  return step.spec.gang ? suspects.sort(compareSuspicion).slice(0, 1) : suspects
}

/** Puts the task first that had survived for the shortest time when its worker crashed. */
function compareSuspicion (a: Task, b: Task): number {
  return shortestSurvivalMs(a) - shortestSurvivalMs(b)
}

function shortestSurvivalMs (task: Task): number {
  return Math.min(...task.crashes.map(crash => crash.survivedMs))
}

/** Returns whether the worker may have been crashed by the start of the run, or may yet be by one that is on its way. */
function isUndecided (run: Run): boolean {
  return !hasSettled(run) && !run.outlivedStart
}

/** Chooses the worker with the least to lose; of several, the one that responded last, as an idle worker that has died is noticed late. */
function leastDisruptive (workers: readonly TrackedWorker[], job: TrackedJob): TrackedWorker | undefined {
  const ranked = workers.map(worker => ({ worker, disruption: disruptionOf(worker, job), heardAt: worker.lastResponseAt ?? 0 }))
  ranked.sort((a, b) => a.disruption - b.disruption || b.heardAt - a.heardAt)
  return ranked[0]?.worker
}

/** What a crash of the worker would cost other jobs. */
function disruptionOf (worker: TrackedWorker, job: TrackedJob): number {
  let disruption = 0
  for (const { task } of worker.runs.values()) {
    if (task.step.job === job) continue
    disruption += (task.step.spec.lasting ? LASTING_RUN_WEIGHT : 1) + CRASH_WEIGHT * task.crashes.length
  }
  return disruption
}
