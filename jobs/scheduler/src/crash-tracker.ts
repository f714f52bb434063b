import type { JobTable } from './job-table.ts'
import { addCrash, FRESH_RESPONSE_MS, hasSettled, needsIsolation, removeCrashes, type Crash } from './crash.ts'
import type { Run } from './run.ts'
import type { Task, TrackedJob } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'
import { survivedMs } from './worker-loss.ts'

/** Crashes right after its start that prove a task the cause: that many in all, and that many during trials. */
const MIN_CRASHES_AT_START = 2
const MIN_TRIALS_AT_START = 2
/** So many crashes right after its start are proof even if other workers failed at the same moments. */
const MAX_CRASHES_AT_START = 4
/** One trial is enough where no other worker of the service has crashed by itself for this long. */
const QUIET_MS = 30_000
/**
 * A task that crashes its workers later is proven the cause by that many crashes, that many of them in trials, if so many
 * happened at the same age of its runs; or by very many trials.
 */
const MIN_CRASHES_LATER = 5
const MIN_TRIALS_LATER = 3
const MIN_EQUAL_AGES = 4
const MAX_TRIALS = 8
/** Ages are equal but for the speed of the workers and the time that it takes to notice a crash. */
const MAX_AGE_SPREAD = 0.1
const MAX_AGE_ERROR_MS = 200
/**
 * A worker that stops responding within this time of a start may have been crashed by it. After the start of an isolated run it
 * is polled at once, and the silence of one that does not even refuse connections shows when that poll times out.
 */
const START_CRASH_WINDOW_MS = 200
const ISOLATED_START_CRASH_WINDOW_MS = 1_000
/** A run that has survived its earlier ones by this factor, and at least for this long, is no longer suspected. */
const TRIAL_FACTOR = 2
const MIN_TRIAL_MS = 2_000
/** Workers that stop responding within this time of each other have a common cause: those of one rack, and any. */
const RACK_FAILURE_WINDOW_MS = 300
const COMMON_CAUSE_WINDOW_MS = 50
/** A task that has been in progress for this long has not caused the earlier crashes. */
const CLEARED_AFTER_MS = 60_000

/** A worker that has crashed although no trial explains it. */
interface UnexplainedLoss {
  readonly worker: string
  readonly rack: string
  readonly silentSince: number
  /** Tasks that had just been started there, and have not been started successfully since. */
  readonly starting: Set<Task>
}

/**
 * Finds the tasks that crash their workers. Each crash is recorded with the tasks that were on the worker. Those that may be
 * the cause are isolated when they are started again ({@link Isolation}): another crash is then a trial of the task, if nothing
 * else of the service can have caused it. Workers also crash for causes from outside, so that only several trials prove a task
 * the cause; its job is given up, and the other tasks of those crashes are cleared.
 */
export class CrashTracker {
  private readonly table: JobTable
  private readonly workers: ReadonlyMap<string, TrackedWorker>
  private unexplained: UnexplainedLoss[] = []

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
   * @param now - time of the injected clock
   */
  recordCrash (worker: TrackedWorker, runs: readonly Run[], now: number): void {
    const silentSince = worker.unreachableSince ?? now
    const lost = runs.filter(run => isUnfinished(run.task))
    const onTrial = lost.filter(isOnTrial)
    const racksThatFailed = this.racksThatFailedWith(worker, silentSince)
    const isProof = onTrial.length > 0 && racksThatFailed.size === 0 && lost.every(run => hasSameSuspect(run, onTrial) || !isSuspicious(run))
    if (!isProof && worker.lastResponseAt !== undefined) this.noteUnexplained(worker, { silentSince, lost, now })
    const { rack } = worker.registration
    const isRackFailure = rack !== '' && racksThatFailed.has(rack)
    const suspicious = isRackFailure ? lost.filter(run => !hasSettled(run) || isOnTrial(run)) : lost
    for (const run of suspicious) this.addCrash(run, { worker, silentSince, isOnTrial: isProof && onTrial.includes(run) })
    const culprit = onTrial.find(({ task }) => crashesAtStart(task).length >= MAX_CRASHES_AT_START || (isProof && this.isProven(task, now)))
    if (culprit !== undefined) this.giveUp(culprit.task)
  }

  /**
   * Clears a task whose run has been in progress for so long that it has not caused the crashes before. One that has survived
   * its start no longer explains crashes at its start.
   * @param run - a run that its worker has just reported
   */
  observeRun (run: Run): void {
    if (this.unexplained.length > 0 && hasSettled(run)) for (const loss of this.unexplained) loss.starting.delete(run.task)
    if (run.task.crashes.length > 0 && survivedMs(run) >= CLEARED_AFTER_MS && removeCrashes(run.task, () => true)) this.table.markChanged(run.task.step.job)
  }

  private noteUnexplained (worker: TrackedWorker, loss: { silentSince: number, lost: readonly Run[], now: number }): void {
    const { silentSince, lost, now } = loss
    const starting = new Set(lost.filter(run => isAtStart(run, silentSince)).map(run => run.task))
    const recent = this.unexplained.filter(each => each.silentSince > now - QUIET_MS)
    this.unexplained = [...recent, { worker: worker.incarnation(), rack: worker.registration.rack, silentSince, starting }]
  }

  private addCrash (run: Run, crash: { worker: TrackedWorker, silentSince: number, isOnTrial: boolean }): void {
    const { worker, silentSince, isOnTrial } = crash
    addCrash(run.task, {
      worker: worker.incarnation(),
      survivedMs: Math.round(survivedMs(run)),
      silentAfterMs: Math.round(silentSince - run.startedAt),
      ...(isAtStart(run, silentSince) ? { atStart: true } : {}),
      ...(isOnTrial ? { onTrial: true } : {})
    })
    this.table.markChanged(run.task.step.job)
  }

  /** Returns whether the crashes of a task show that it causes them: workers that crash by themselves do so at any time. */
  private isProven (task: Task, now: number): boolean {
    const { crashes } = task
    const atStart = crashesAtStart(task)
    const trialsAtStart = atStart.filter(crash => crash.onTrial).length
    const others = this.unexplained.filter(loss => loss.silentSince > now - QUIET_MS && !crashes.some(crash => crash.worker === loss.worker))
    const isQuiet = others.every(loss => [...loss.starting].some(isUnfinished))
    if (atStart.length >= MIN_CRASHES_AT_START && trialsAtStart >= (isQuiet ? 1 : MIN_TRIALS_AT_START)) return true
    const trials = crashes.filter(crash => crash.onTrial).length
    if (crashes.length < MIN_CRASHES_LATER || trials < MIN_TRIALS_LATER) return false
    return trials >= MAX_TRIALS || haveEqualAges(crashes.flatMap(crash => crash.silentAfterMs ?? []))
  }

  private giveUp (culprit: Task): void {
    const workers = new Set(culprit.crashes.map(crash => crash.worker))
    this.unexplained = this.unexplained.filter(loss => !workers.has(loss.worker))
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

  /** Returns the racks of other workers, which no trial has crashed, that stopped responding at the same time. */
  private racksThatFailedWith (worker: TrackedWorker, silentSince: number): ReadonlySet<string> {
    const isNear = (since: number | undefined, rack: string): boolean => {
      const windowMs = rack !== '' && rack === worker.registration.rack ? RACK_FAILURE_WINDOW_MS : COMMON_CAUSE_WINDOW_MS
      return since !== undefined && Math.abs(since - silentSince) <= windowMs
    }
    const silent = [...this.workers.values()].filter(other => other !== worker && !other.ended && isNear(other.unreachableSince, other.registration.rack) && ![...other.runs.values()].some(isOnTrial))
    const lost = this.unexplained.filter(loss => loss.worker !== worker.incarnation() && isNear(loss.silentSince, loss.rack))
    return new Set([...silent.map(other => other.registration.rack), ...lost.map(loss => loss.rack)])
  }
}

/**
 * Returns whether a crash during the run says something about its task: the run is isolated, and has not settled, or is that of
 * a task with several crashes and has not survived the earlier runs by much.
 */
function isOnTrial (run: Run): boolean {
  if (run.isolation === undefined || isNotExecuted(run)) return false
  if (run.isolation === 'start') return !hasSettled(run)
  const longestSurvivalMs = Math.max(...run.task.crashes.map(crash => crash.survivedMs))
  return survivedMs(run) < Math.max(MIN_TRIAL_MS, TRIAL_FACTOR * longestSurvivalMs)
}

/** Returns whether the worker had responded without listing the run, whose start has had no response: it is not executed, or late. */
function isNotExecuted (run: Run): boolean {
  return run.phase === 'unsettled' && run.outlivedStart
}

/** Returns whether the worker responded until the start of the run, and stopped right after it. */
function isAtStart (run: Run, silentSince: number): boolean {
  const { worker, startedAt } = run
  const windowMs = run.isolation === undefined ? START_CRASH_WINDOW_MS : ISOLATED_START_CRASH_WINDOW_MS
  const wasAlive = run.confirmedAt !== undefined || startedAt - (worker.lastResponseAt ?? Number.NEGATIVE_INFINITY) <= FRESH_RESPONSE_MS
  return wasAlive && !hasSettled(run) && !run.outlivedStart && silentSince - startedAt <= windowMs
}

/** Returns whether a run may have crashed its worker instead of one on trial. */
function isSuspicious (run: Run): boolean {
  return !hasSettled(run) || needsIsolation(run.task)
}

/** Returns whether a run belongs to the job of those on trial, so that either of them speaks against that job. */
function hasSameSuspect (run: Run, onTrial: readonly Run[]): boolean {
  return onTrial.some(other => other.task.step.job === run.task.step.job)
}

function crashesAtStart ({ crashes }: Task): readonly Crash[] {
  return crashes.filter(crash => crash.atStart)
}

function isUnfinished (task: Task): boolean {
  return !task.done && !task.step.job.isFinished()
}

/** Returns whether enough of the crashes happened at the same age. */
function haveEqualAges (agesMs: readonly number[]): boolean {
  return agesMs.some(youngestMs => {
    const oldestMs = youngestMs * (1 + MAX_AGE_SPREAD) + MAX_AGE_ERROR_MS
    return agesMs.filter(ageMs => ageMs >= youngestMs && ageMs <= oldestMs).length >= MIN_EQUAL_AGES
  })
}
