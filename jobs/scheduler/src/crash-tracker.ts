import type { JobTable } from './job-table.ts'
import { addCrash, hasSettled, removeCrashes } from './crash.ts'
import type { Run } from './run.ts'
import type { Task, TrackedJob } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'
import { survivedMs } from './worker-loss.ts'

/**
 * Crashes of workers under a task after which its job is given up, if nothing else can have caused the last one: when its
 * start crashed the worker, and when it did so later.
 */
const MAX_CRASHES_BY_START = 2
const MAX_CRASHES_LATER = 3
/** A run that has survived its earlier ones by this factor, and at least for this long, is no longer suspected. */
const TRIAL_FACTOR = 2
const MIN_TRIAL_MS = 2_000
/** Workers of one rack that stop responding within this time of each other have a common cause. */
const RACK_FAILURE_WINDOW_MS = 300
/** Losses that a rack failure may explain are kept for this long: the detection of others may take so long. */
const LOSSES_KEPT_MS = 10_000
/** A task that has been in progress for this long has not caused the earlier crashes. */
const CLEARED_AFTER_MS = 60_000

/** A worker that has crashed although no isolated run explains it. */
interface UnexplainedLoss {
  readonly worker: string
  readonly rack: string
  readonly unreachableSince: number
}

/**
 * Finds the tasks that crash their workers. Each crash is recorded with the tasks that were on the worker. Tasks that may be
 * the cause are isolated when they are started again ({@link Isolation}); if that crashes another worker, the job is given
 * up, and the other tasks of those crashes are cleared.
 */
export class CrashTracker {
  private readonly table: JobTable
  private readonly workers: ReadonlyMap<string, TrackedWorker>
  private lastUnexplained: UnexplainedLoss[] = []

  /**
   * @param table - jobs of the service
   * @param workers - tracked workers of the service, by id
   */
  constructor (table: JobTable, workers: ReadonlyMap<string, TrackedWorker>) {
    this.table = table
    this.workers = workers
  }

  /**
   * Records a crash with the tasks of the runs that were lost, and gives up the job of a task that has certainly caused it.
   * @param worker - worker that has crashed
   * @param runs - runs that were lost with it
   */
  recordCrash (worker: TrackedWorker, runs: readonly Run[]): void {
    const lost = runs.filter(({ task }) => !task.done && !task.step.job.isFinished())
    const starting = lost.filter(run => !hasSettled(run))
    const onTrial = lost.filter(isOnTrial)
    const isRackFailure = this.isRackFailure(worker, onTrial.length > 0)
    for (const run of isRackFailure ? new Set([...starting, ...onTrial]) : lost) this.addCrash(run, worker)
    const others = starting.filter(run => run.task.step.job !== onTrial[0]?.task.step.job)
    const byStart = onTrial.every(run => run.isolation === 'start')
    const required = (byStart ? MAX_CRASHES_BY_START : MAX_CRASHES_LATER) + (isRackFailure ? 1 : 0) + (others.length > 0 ? 1 : 0)
    const culprit = mostCrashed(onTrial.map(run => run.task))
    if (culprit !== undefined && culprit.crashes.length >= required) this.giveUp(culprit)
  }

  /**
   * Clears a task whose run has been in progress for so long that it has not caused the crashes before.
   * @param run - a run that its worker has just reported
   */
  observeRun (run: Run): void {
    if (run.task.crashes.length > 0 && survivedMs(run) >= CLEARED_AFTER_MS && removeCrashes(run.task, () => true)) this.table.markChanged(run.task.step.job)
  }

  private addCrash (run: Run, worker: TrackedWorker): void {
    addCrash(run.task, { worker: worker.incarnation(), survivedMs: Math.round(survivedMs(run)) })
    this.table.markChanged(run.task.step.job)
  }

  private giveUp (culprit: Task): void {
    const workers = new Set(culprit.crashes.map(crash => crash.worker))
    this.table.fail(culprit.step.job, { reason: 'CRASHES_WORKERS', task: culprit.name, workers: [...workers] })
    for (const job of this.table.jobs.values()) {
      if (!job.isFinished() && this.clearTasks(job, workers)) this.table.markChanged(job)
    }
  }

  private clearTasks (job: TrackedJob, workers: ReadonlySet<string>): boolean {
    let cleared = false
    for (const { steps } of job.occurrences.values()) {
      for (const task of steps.flatMap(step => step.tasks)) {
        if (task.crashes.length > 0 && removeCrashes(task, crash => workers.has(crash.worker))) cleared = true
      }
    }
    return cleared
  }

  /** Returns whether others of the rack, which no isolated run has crashed, stopped responding together with the worker. */
  private isRackFailure (worker: TrackedWorker, isExplained: boolean): boolean {
    const { registration: { rack }, unreachableSince } = worker
    if (rack === '' || unreachableSince === undefined) return false
    const isNear = (since: number | undefined): boolean => since !== undefined && Math.abs(since - unreachableSince) <= RACK_FAILURE_WINDOW_MS
    const silent = [...this.workers.values()].filter(other => other !== worker && other.registration.rack === rack && !other.ended && ![...other.runs.values()].some(isOnTrial))
    const lost = this.lastUnexplained.filter(each => each.rack === rack && each.worker !== worker.incarnation())
    if (!isExplained) {
      const recent = this.lastUnexplained.filter(each => each.unreachableSince > unreachableSince - LOSSES_KEPT_MS)
      this.lastUnexplained = [...recent, { worker: worker.incarnation(), rack, unreachableSince }]
    }
    return silent.some(other => isNear(other.unreachableSince)) || lost.some(each => isNear(each.unreachableSince))
  }
}

/**
 * Returns whether a crash during the run says something about its task: the run is isolated, and has not settled, or is that of
 * a task with several crashes and has not survived the earlier runs by much.
 */
function isOnTrial (run: Run): boolean {
  if (run.isolation === undefined) return false
  if (run.isolation === 'start') return !hasSettled(run)
  const longestSurvivalMs = Math.max(...run.task.crashes.map(crash => crash.survivedMs))
  return survivedMs(run) < Math.max(MIN_TRIAL_MS, TRIAL_FACTOR * longestSurvivalMs)
}

function mostCrashed (tasks: readonly Task[]): Task | undefined {
  return tasks.reduce<Task | undefined>((most, task) => most === undefined || task.crashes.length > most.crashes.length ? task : most, undefined)
}
