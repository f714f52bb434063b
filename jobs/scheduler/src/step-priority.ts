import type { Queue } from '@wisteriaslip/jobs.model'
import type { TrackedJob, TrackedStep } from './tracked-job.ts'

/** Jobs with less remaining work than this share the lowest work class. */
const LOWEST_WORK_CLASS_CORE_MS = 8_000

/** Sort key of a ready step. Members are compared in order, lower values first. */
export interface StepPriority {
  /** 0 for long-running steps, 1 for others. */
  readonly lasting: number
  readonly priority: number
  /** 1 for jobs that their client account has submitted beyond its weight, 0 for others. */
  readonly beyondWeight: number
  readonly cannotMeetObjective: number
  /** Class of the job's remaining work; each class spans twice the work of the one before. */
  readonly workClass: number
  /** By when the rest of the job must start to meet its objective, by the injected clock. */
  readonly latestStartAt: number
}

/** Looks up a queue by name; undefined when the configuration has none. */
export type QueueLookup = (name: string) => Queue | undefined

/**
 * Sorts ready steps:
 * 1. long-running steps first, because their value accrues all the time;
 * 2. by queue priority;
 * 3. jobs within the weights of their accounts before those beyond;
 * 4. jobs that can still meet their time objective before those that cannot;
 * 5. jobs with less remaining work first, because more of them are then on time when capacity is short;
 * 6. by least slack.
 * Between 4 and 5 accounts take turns, see `share-turns`.
 * @param steps - steps with tasks to start
 * @param opts - `queue`: looks up queues; `now`: time of the injected clock
 * @returns the steps, the most urgent first
 */
export function orderSteps (steps: Iterable<TrackedStep>, opts: { queue: QueueLookup, now: number }): TrackedStep[] {
  const ranked = [...steps].map(step => ({ step, rank: priorityOf(step, opts) }))
  ranked.sort((a, b) => comparePriorities(a.rank, b.rank))
  return ranked.map(each => each.step)
}

/** Estimated duration of a job's critical path in milliseconds. */
function criticalPathMs (job: TrackedJob): number {
  return longestPathMs(job.job.steps.map(step => ({ after: step.after, ms: step.estimateMs })))
}

/** Estimated duration of the longest path of steps that are not done, in milliseconds. */
function remainingCriticalPathMs (job: TrackedJob): number {
  const pathsMs = [...job.occurrences.values()].map(occurrence => longestPathMs(occurrence.steps.map(({ left, spec }) => ({ after: spec.after, ms: left > 0 ? spec.estimateMs : 0 }))))
  return Math.max(0, ...pathsMs)
}

function longestPathMs (steps: ReadonlyArray<{ after: readonly number[], ms: number }>): number {
  const ends: number[] = []
  for (const { after, ms } of steps) ends.push(Math.max(0, ...after.map(number => ends[number] ?? 0)) + ms)
  return Math.max(0, ...ends)
}

/** What the priority of a job's steps depends on, but for the time; valid for one version of the job. */
interface JobFigures {
  readonly version: number
  readonly criticalPathMs: number
  readonly remainingCriticalPathMs: number
  readonly workClass: number
}

const figuresByJob = new WeakMap<TrackedJob, JobFigures>()

function figuresOf (job: TrackedJob): JobFigures {
  const cached = figuresByJob.get(job)
  if (cached?.version === job.version) return cached
  const figures = { version: job.version, criticalPathMs: cached?.criticalPathMs ?? criticalPathMs(job), remainingCriticalPathMs: remainingCriticalPathMs(job), workClass: workClassOf(job) }
  figuresByJob.set(job, figures)
  return figures
}

/**
 * @param step - a step
 * @param opts - `queue`: looks up queues; `now`: time of the injected clock
 * @returns its sort key
 */
export function priorityOf (step: TrackedStep, opts: { queue: QueueLookup, now: number }): StepPriority {
  const { job } = step
  const queue = opts.queue(job.job.queue)
  const { criticalPathMs, remainingCriticalPathMs, workClass } = figuresOf(job)
  const objectiveMs = (queue?.stretch ?? 1) * criticalPathMs + (queue?.objectiveMs ?? 0)
  const latestStartAt = job.firstSeenAt + objectiveMs - remainingCriticalPathMs
  return { lasting: step.spec.lasting ? 0 : 1, priority: queue?.priority ?? 0, beyondWeight: job.isBeyondWeight ? 1 : 0, cannotMeetObjective: latestStartAt < opts.now ? 1 : 0, workClass, latestStartAt }
}

function workClassOf (job: TrackedJob): number {
  let coreMs = 0
  for (const occurrence of job.occurrences.values()) {
    for (const { left, spec } of occurrence.steps) coreMs += left * spec.demand.cpu / 1_000 * spec.estimateMs
  }
  return Math.floor(Math.log2(1 + coreMs / LOWEST_WORK_CLASS_CORE_MS))
}

/** @returns a negative number if `a` comes before `b`, a positive one if after */
export function comparePriorities (a: StepPriority, b: StepPriority): number {
  return compareRanks(a, b) || compareInAccount(a, b)
}

/** @returns whether steps rank alike but for their accounts and what comes after these */
export function isSameRank (a: StepPriority, b: StepPriority): boolean {
  return compareRanks(a, b) === 0
}

/** @returns a negative number if, of steps of one account that rank alike, `a` comes before `b`, a positive one if after */
export function compareInAccount (a: StepPriority, b: StepPriority): number {
  return a.workClass - b.workClass || a.latestStartAt - b.latestStartAt
}

function compareRanks (a: StepPriority, b: StepPriority): number {
  return a.lasting - b.lasting || a.priority - b.priority || a.beyondWeight - b.beyondWeight || a.cannotMeetObjective - b.cannotMeetObjective
}
