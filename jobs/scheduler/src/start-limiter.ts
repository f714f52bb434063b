import type { Job, Resources } from '@wisteriaslip/jobs.model'
import type { Run } from './run.ts'
import type { TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** A job may come before the configuration that added its account: its tasks wait that long for it. */
export const UNKNOWN_ACCOUNT_WAIT_MS = 3_000

/** What keeps a step from being started beyond the room of the workers, for `explain` and the log. */
export interface LimitFigures {
  readonly account: string
  /** What the account may have running on all workers of all services, 0 for no limit; undefined while that isn't known. */
  readonly quota: Resources | undefined
  /** The parts have been read in this term: without that nothing is known of them. */
  readonly isRead: boolean
  /** What this service may have running of that. */
  readonly part: Resources
  /** What the account's runs take here that the term tracks. */
  readonly inUse: Resources
  /** Workers that have not responded to this leader may run more of it. */
  readonly mayHaveMore: boolean
  /** What other services may have running. */
  readonly elsewhere: Resources
  /** One task, or the whole gang, is larger than the quota: it can never be started. */
  readonly neverFits: boolean
}

/** Says which tasks may be started whatever room there is: the quotas of client accounts. */
export interface StartLimiter {
  /**
   * Called before each pass.
   * @param unknown - computes what runs may take that the term does not know
   */
  beginPass (unknown: () => Resources): void
  /**
   * @param step - a step
   * @param runs - number of further runs of its tasks; 0 to see whether one that ends may be replaced
   * @returns whether they may be started now
   */
  mayAdd (step: TrackedStep, runs: number): boolean
  /** @param job - a job that is tracked from now on: earlier leaders may have started its tasks */
  noteJob (job: Job): void
  /** @param run - a run that may be in progress from now on */
  noteRun (run: Run): void
  /** @param run - a run that neither is in progress nor can begin */
  forgetRun (run: Run): void
  /** @returns a function that says of how many waiting tasks of each step in turn the demand counts for the size of the pool */
  countWaiting (): (step: TrackedStep) => number
  /**
   * @param job - a job that was just accepted
   * @returns whether more work of its kind could run if there were room
   */
  mayGrow (job: Job): boolean
  /**
   * @param step - a step
   * @returns the figures if it may not be started now
   */
  whyNot (step: TrackedStep): LimitFigures | undefined
}

/** Nothing is limited. */
export const noLimits: StartLimiter = {
  beginPass () {},
  mayAdd: () => true,
  noteJob () {},
  noteRun () {},
  forgetRun () {},
  countWaiting: () => step => step.waiting,
  mayGrow: () => true,
  whyNot: () => undefined
}

/**
 * Leaders of earlier terms may go on starting runs on the workers that have not responded to this one, as far as there is room.
 * @param workers - all workers
 * @param leasesKnownAt - time of the injected clock for which it is known which leases workers hold
 * @returns what runs may take at most that are not tracked here
 */
export function capacityOfUnknownRuns (workers: Iterable<TrackedWorker>, leasesKnownAt: number): Resources {
  const sum = { cpu: 0, memMb: 0, accelerators: 0 }
  for (const worker of workers) {
    if (!worker.mayHaveUnknownRuns(leasesKnownAt) && !worker.mayHaveUntrackedRuns(leasesKnownAt)) continue
    const free = worker.free()
    sum.cpu += Math.max(0, free.cpu)
    sum.memMb += Math.max(0, free.memMb)
    sum.accelerators += Math.max(0, free.accelerators)
  }
  return sum
}
