import type { Job, PermitCost } from '@wisteriaslip/jobs.model'
import type { QueueLookup } from './step-priority.ts'
import type { TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** Permits are not used this close to their expiry, because a start command takes time to arrive. */
const EXPIRY_MARGIN_MS = 300

interface PermitAnswer {
  readonly worker: TrackedWorker
  /** The permit; undefined if the policy does not allow the worker. */
  readonly text: string | undefined
  readonly validUntil: number
  /** When the worker may be asked about again if it has no valid permit. */
  readonly askAgainAt: number
}

/** Answers of the permit service about one step, by worker. An answer holds for one incarnation of a worker. */
export class StepPermits {
  private readonly answers = new Map<string, PermitAnswer>()
  /** A request is pending. */
  asked = false
  /** Earliest time of the next request, by the injected clock. */
  nextRequestAt = 0

  /**
   * @param worker - a worker
   * @param now - time of the injected clock
   * @returns the permit to start tasks of the step on the worker, undefined when there is no valid one
   */
  permitFor (worker: TrackedWorker, now: number): string | undefined {
    const answer = this.answerAbout(worker)
    return answer !== undefined && answer.validUntil - EXPIRY_MARGIN_MS > now ? answer.text : undefined
  }

  /**
   * @param worker - a worker
   * @returns whether the policy allowed the worker when it was last asked about, even if the permit has expired
   */
  allows (worker: TrackedWorker): boolean {
    return this.answerAbout(worker)?.text !== undefined
  }

  /**
   * @param worker - a worker
   * @returns whether the policy did not allow the worker when it was last asked about
   */
  refuses (worker: TrackedWorker): boolean {
    const answer = this.answerAbout(worker)
    return answer !== undefined && answer.text === undefined
  }

  /**
   * @param worker - a worker
   * @param now - time of the injected clock
   * @returns whether a request about the worker is due
   */
  isRequestDue (worker: TrackedWorker, now: number): boolean {
    const answer = this.answerAbout(worker)
    return answer === undefined || (this.permitFor(worker, now) === undefined && answer.askAgainAt <= now)
  }

  /**
   * @param worker - a worker
   * @returns when it may be asked about again, by the injected clock; negative infinity if it has not been asked about
   */
  askAgainAt (worker: TrackedWorker): number {
    return this.answerAbout(worker)?.askAgainAt ?? Number.NEGATIVE_INFINITY
  }

  /**
   * Applies the response to a permit request.
   * @param texts - permits by worker id
   * @param opts - `workers`: the workers of the request; the rest as in {@link PermitAnswer}
   */
  update (texts: ReadonlyMap<string, string>, opts: { workers: readonly TrackedWorker[], validUntil: number, askAgainAt: number }): void {
    const { validUntil, askAgainAt } = opts
    for (const worker of opts.workers) this.answers.set(worker.registration.id, { worker, text: texts.get(worker.registration.id), validUntil, askAgainAt })
  }

  /**
   * Removes a permit and allows a new request at once.
   * @param worker - the worker that rejected its permit
   */
  invalidate (worker: TrackedWorker): void {
    this.answers.delete(worker.registration.id)
    this.nextRequestAt = 0
  }

  private answerAbout (worker: TrackedWorker): PermitAnswer | undefined {
    const answer = this.answers.get(worker.registration.id)
    return answer?.worker === worker ? answer : undefined
  }
}

/** A request for permits to run a step on some workers. */
export interface PermitRequest {
  readonly step: TrackedStep
  /** Name of the step: `job.occurrence.step`. */
  readonly name: string
  readonly workers: readonly TrackedWorker[]
  /** How long the permit service may take for it, in milliseconds. */
  readonly timeoutMs: number
}

/**
 * @param step - a step
 * @param queue - looks up queues
 * @returns whether the policy of the step's queue allows only some workers to run it
 */
export function needsPermit (step: TrackedStep, queue: QueueLookup): boolean {
  return settingsOf(step, queue).needsPermit ?? false
}

/**
 * @param step - a step
 * @param queue - looks up queues
 * @returns what a request for permits of the step takes, undefined if that is unknown
 */
export function permitCostOf (step: TrackedStep, queue: QueueLookup): PermitCost | undefined {
  return settingsOf(step, queue).permitCost
}

/** The settings of the step's queue, as they were at acceptance if the configuration lacks the queue. */
function settingsOf ({ job: { job } }: TrackedStep, queue: QueueLookup): Pick<Job, 'needsPermit' | 'permitCost'> {
  return queue(job.queue) ?? job
}
