import type { QueueLookup } from './step-priority.ts'
import type { TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** Permits are not used this close to their expiry, because a start command takes time to arrive. */
const EXPIRY_MARGIN_MS = 300

interface Permit {
  readonly text: string
  readonly worker: TrackedWorker
  readonly validUntil: number
}

/** Permits of one step, by worker. A permit is valid for one incarnation of a worker. */
export class StepPermits {
  private readonly permits = new Map<string, Permit>()
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
    const permit = this.permits.get(worker.registration.id)
    return permit !== undefined && permit.worker === worker && permit.validUntil - EXPIRY_MARGIN_MS > now ? permit.text : undefined
  }

  /**
   * Applies the response to a permit request.
   * @param texts - permits by worker id
   * @param opts - `workers`: the workers of the request; `validUntil`: expiry of the permits, by the injected clock
   */
  update (texts: ReadonlyMap<string, string>, opts: { workers: readonly TrackedWorker[], validUntil: number }): void {
    for (const worker of opts.workers) {
      const text = texts.get(worker.registration.id)
      if (text === undefined) this.permits.delete(worker.registration.id)
      else this.permits.set(worker.registration.id, { text, worker, validUntil: opts.validUntil })
    }
  }

  /**
   * Removes a permit and allows a new request at once.
   * @param worker - the worker that rejected its permit
   */
  invalidate (worker: TrackedWorker): void {
    this.permits.delete(worker.registration.id)
    this.nextRequestAt = 0
  }
}

/** A request for permits to run a step on some workers. */
export interface PermitRequest {
  readonly step: TrackedStep
  /** Name of the step: `job.occurrence.step`. */
  readonly name: string
  readonly workers: readonly TrackedWorker[]
}

/**
 * @param step - a step
 * @param queue - looks up queues
 * @returns whether the policy of the step's queue allows only some workers to run it
 */
export function needsPermit (step: TrackedStep, queue: QueueLookup): boolean {
  return queue(step.job.job.queue)?.needsPermit ?? false
}
