import type { Queue } from '@wisteriaslip/jobs.model'
import type { TrackedJob, TrackedStep } from './tracked-job.ts'

/** Jobs with less work left than this are not told apart by it. */
const MIN_WORK_CLASS_CORE_MS = 8_000

/** What orders a step among those that could start. Lower goes first, member by member. */
interface StepPriority {
  readonly lasting: number
  readonly priority: number
  readonly cannotMeetObjective: number
  /** Work that the job still needs, in classes each twice as large as the one before. */
  readonly workClass: number
  readonly slackMs: number
}

/** Looks up a queue by name; undefined when the configuration has none. */
export type QueueLookup = (name: string) => Queue | undefined

/**
 * Orders steps that could start: lasting ones first, as they earn all the time; then by priority; then what can still
 * be on time before what cannot; then jobs with little work left, of which more can be on time when there is too little
 * room for all; then the tightest first.
 * @param steps - steps with tasks to start
 * @param opts - queues, and the time of the injected clock
 * @returns the steps, the most urgent first
 */
export function orderSteps (steps: Iterable<TrackedStep>, opts: { queue: QueueLookup, now: number }): TrackedStep[] {
  const ranked = [...steps].map(step => ({ step, rank: stepPriorityOf(step, opts) }))
  ranked.sort((a, b) => compare(a.rank, b.rank))
  return ranked.map(each => each.step)
}

/** Milliseconds of a job's longest chain of steps, by the estimates. */
function criticalPathMs (job: TrackedJob): number {
  return longestPathMs(job.job.steps.map(step => ({ after: step.after, ms: step.estimateMs })))
}

/** Milliseconds of its longest chain of steps that are not done, by the estimates. */
function remainingCriticalPathMs (job: TrackedJob): number {
  const pathsMs = [...job.occurrences.values()].map(occurrence => longestPathMs(occurrence.steps.map(({ left, spec }) => ({ after: spec.after, ms: left > 0 ? spec.estimateMs : 0 }))))
  return Math.max(0, ...pathsMs)
}

function longestPathMs (steps: ReadonlyArray<{ after: readonly number[], ms: number }>): number {
  const ends: number[] = []
  for (const { after, ms } of steps) ends.push(Math.max(0, ...after.map(number => ends[number] ?? 0)) + ms)
  return Math.max(0, ...ends)
}

function stepPriorityOf (step: TrackedStep, opts: { queue: QueueLookup, now: number }): StepPriority {
  const { job } = step
  const queue = opts.queue(job.job.queue)
  const objectiveMs = (queue?.stretch ?? 1) * criticalPathMs(job) + (queue?.objectiveMs ?? 0)
  const slackMs = job.firstSeenAt + objectiveMs - opts.now - remainingCriticalPathMs(job)
  return { lasting: step.spec.lasting ? 0 : 1, priority: queue?.priority ?? 0, cannotMeetObjective: slackMs < 0 ? 1 : 0, workClass: workClassOf(job), slackMs }
}

function workClassOf (job: TrackedJob): number {
  let coreMs = 0
  for (const occurrence of job.occurrences.values()) {
    for (const { left, spec } of occurrence.steps) coreMs += left * spec.demand.cpu / 1_000 * spec.estimateMs
  }
  return Math.floor(Math.log2(1 + coreMs / MIN_WORK_CLASS_CORE_MS))
}

function compare (a: StepPriority, b: StepPriority): number {
  return a.lasting - b.lasting || a.priority - b.priority || a.cannotMeetObjective - b.cannotMeetObjective || a.workClass - b.workClass || a.slackMs - b.slackMs
}
