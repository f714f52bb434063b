import type { Isolation } from './isolation.ts'
import { Room } from './room.ts'
import type { Run } from './run.ts'
import type { PlacementOpts, TaskPlacer } from './task-placer.ts'
import { isStartable, type Task, type TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** How long a long-running task waits for room on other workers: it mostly comes sooner, and a start here delays a drain. */
const MAX_WAIT_MS = 1_000
/**
 * The fleet's leader asks for the maintenance or move of a VM within 1 s after it was told that nothing runs there, and its call ends
 * after 1.5 s, or twice that in a process that is held up.
 */
export const MAY_GO_DOWN_MS = 4_000
/** A worker that has been silent for longer may be lost with its runs: the wait for room begins before that is certain. */
const MIN_SILENCE_MS = 300

/** Tasks of a step that wait for room, or may do so soon. */
interface Waiting {
  readonly step: TrackedStep
  readonly tasks: readonly Task[]
}

/**
 * Starts long-running tasks on withdrawn workers when no other worker has room: a drain that cannot end must not keep them from
 * running. The VM of a worker that was just called drained may go down, so that such a worker is only claimed: it is not
 * called drained again, and gets the task when its VM has stayed up. It is claimed as soon as the task's own worker is silent, so
 * that this wait does not follow the one for the end of the run.
 */
export class WithdrawnRoom {
  private readonly placer: TaskPlacer
  private readonly isolation: Isolation
  private readonly claimed = new Set<TrackedWorker>()

  /**
   * @param placer - starts a task on a worker
   * @param isolation - starts suspected tasks
   */
  constructor (placer: TaskPlacer, isolation: Isolation) {
    this.placer = placer
    this.isolation = isolation
  }

  /**
   * Places tasks that are left after a pass over the other workers, and claims workers for those that have to wait.
   * @param steps - steps with tasks to start, and those that may be started now
   * @param workers - all workers
   * @param opts - time and limits of the pass
   * @returns runs to start
   */
  place ({ ready, placeable }: { ready: readonly TrackedStep[], placeable: readonly TrackedStep[] }, workers: readonly TrackedWorker[], opts: PlacementOpts): Run[] {
    const { now } = opts
    this.claimed.clear()
    const waiting = ready.filter(step => step.spec.lasting && step.tasks.some(task => isStartable(task, now)) && this.placer.isAllowed(step))
    const atRisk = workers.some(worker => worker.withdrawn) ? tasksAtRisk(workers, now) : []
    if (waiting.length === 0 && atRisk.length === 0) return []
    const overdue = waiting.filter(step => placeable.includes(step) && step.tasks.some(task => isOverdue(task, now)))
    const runs = this.placeOn(workers.filter(worker => worker.withdrawn && worker.isReadyForStarts(now) && !worker.wasCalledDrainedWithin(MAY_GO_DOWN_MS, now)), overdue, opts)
    this.claimFor([...waiting.map(step => ({ step, tasks: step.tasks.filter(task => isStartable(task, now)) })), ...atRisk], workers, now)
    return runs
  }

  /**
   * @param worker - a withdrawn worker without runs
   * @returns whether a task is about to be started there, so that it must not be called drained
   */
  isClaimed (worker: TrackedWorker): boolean {
    return this.claimed.has(worker)
  }

  private placeOn (workers: readonly TrackedWorker[], steps: readonly TrackedStep[], { now, maxRuns }: PlacementOpts): Run[] {
    const { runs, openWorkers, reserved } = this.isolation.place(steps, workers, { now, maxRuns })
    return [...runs, ...this.placer.place(steps, openWorkers, { now, maxRuns: maxRuns - runs.length, reserved })]
  }

  /** Claims, for the tasks that no worker can take now, those that could if they were not drained. */
  private claimFor (waiting: readonly Waiting[], workers: readonly TrackedWorker[], now: number): void {
    const open = new Room(workers.filter(worker => worker.takesStarts(now)))
    const others = new Room(workers.filter(worker => worker.isUsable() && !worker.takesStarts(now)))
    for (const { step, tasks } of waiting) {
      const permitted = new Set(this.placer.permittedWorkers(step, workers, now))
      const mayTake = (worker: TrackedWorker): boolean => permitted.has(worker)
      const left = tasks.filter(() => !open.promise(step, mayTake))
      const found = left.map(() => others.take(step, mayTake))
      // A gang that fits only together with other workers must not keep these from being drained.
      if (step.spec.gang && (left.length < step.tasks.length || found.includes(undefined))) continue
      for (const worker of found) if (worker !== undefined) this.claimed.add(worker)
    }
  }
}

/** Returns the long-running tasks that run on silent workers only, but for those of gangs, which start whole. */
function tasksAtRisk (workers: readonly TrackedWorker[], now: number): Waiting[] {
  const silent = new Set(workers.filter(worker => worker.lastingRuns() > 0 && isSilent(worker, now)))
  const tasks = new Set([...silent].flatMap(worker => [...worker.runs.values()].map(run => run.task)))
  const bySteps = new Map<TrackedStep, Task[]>()
  for (const task of tasks) {
    const { step } = task
    if (task.done || !step.spec.lasting || step.spec.gang || task.runs.some(run => !silent.has(run.worker))) continue
    bySteps.set(step, [...bySteps.get(step) ?? [], task])
  }
  return [...bySteps].map(([step, tasksOfStep]) => ({ step, tasks: tasksOfStep }))
}

function isSilent (worker: TrackedWorker, now: number): boolean {
  return worker.ended || (worker.unreachableSince !== undefined && now - worker.unreachableSince >= MIN_SILENCE_MS)
}

function isOverdue (task: Task, now: number): boolean {
  return isStartable(task, now) && now - (task.idleSince ?? task.step.job.firstSeenAt) >= MAX_WAIT_MS
}
