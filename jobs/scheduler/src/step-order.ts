import { takeTurns, type Turn, type TurnOpts } from './share-turns.ts'
import { comparePriorities, priorityOf, type QueueLookup, type StepPriority } from './step-priority.ts'
import type { TrackedStep } from './tracked-job.ts'

/** All priorities are determined again after this time; in between only those of new steps. */
const REFRESH_INTERVAL_MS = 100

/** Keeps steps in order of priority from one scheduling pass to the next, so that a pass sorts only what is new. */
export class StepOrder {
  private readonly queue: QueueLookup
  private sorted: TrackedStep[] = []
  private priorities = new Map<TrackedStep, StepPriority>()
  private refreshedAt = Number.NEGATIVE_INFINITY

  /** @param queue - looks up queues */
  constructor (queue: QueueLookup) {
    this.queue = queue
  }

  /**
   * @param steps - steps with tasks to start
   * @param now - time of the injected clock
   * @returns the steps, the most urgent first
   */
  order (steps: readonly TrackedStep[], now: number): readonly TrackedStep[] {
    const isRefreshDue = now - this.refreshedAt >= REFRESH_INTERVAL_MS
    const known = isRefreshDue ? new Map<TrackedStep, StepPriority>() : this.priorities
    if (isRefreshDue) this.refreshedAt = now
    const priorities = new Map<TrackedStep, StepPriority>()
    const added: TrackedStep[] = []
    for (const step of steps) {
      const priority = known.get(step)
      if (priority === undefined) added.push(step)
      priorities.set(step, priority ?? priorityOf(step, { queue: this.queue, now }))
    }
    this.priorities = priorities
    const compare = (a: TrackedStep, b: TrackedStep): number => comparePriorities(priorities.get(a) as StepPriority, priorities.get(b) as StepPriority)
    added.sort(compare)
    this.sorted = merge(this.sorted.filter(step => known.has(step) && priorities.has(step)), added, compare)
    return this.sorted
  }

  /**
   * @param steps - steps with tasks to start
   * @param now - time of the injected clock
   * @param opts - `shares`: use of the client accounts, undefined where there are none; `mayFit`: see {@link TurnOpts}
   * @returns the steps in turns of their accounts, the most urgent first; to be iterated before the next call
   */
  turns (steps: readonly TrackedStep[], now: number, opts: Omit<TurnOpts, 'priorityOf'>): Iterable<Turn> {
    return takeTurns(this.order(steps, now), { ...opts, priorityOf: step => this.priorities.get(step) as StepPriority })
  }
}

/** Merges two sorted lists; of equal steps, those of the first list come first. */
function merge (first: readonly TrackedStep[], second: readonly TrackedStep[], compare: (a: TrackedStep, b: TrackedStep) => number): TrackedStep[] {
  const merged: TrackedStep[] = []
  let at = 0
  for (const step of second) {
    for (let next = first[at]; next !== undefined && compare(next, step) <= 0; next = first[at]) {
      merged.push(next)
      at += 1
    }
    merged.push(step)
  }
  return merged.concat(first.slice(at))
}
