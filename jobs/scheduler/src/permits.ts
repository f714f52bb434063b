import type { TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** A permit is not used in the last part of its validity, as an order takes its time. */
const EXPIRY_MARGIN_MS = 300

interface Permit {
  readonly text: string
  readonly worker: TrackedWorker
  readonly validUntil: number
}

/** Permits of one step, by worker. They hold for one life of a worker. */
export class StepPermits {
  private readonly permits = new Map<string, Permit>()
  /** An answer is awaited. */
  asked = false
  /** Not asked before this time of the injected clock. */
  nextRequestAt = 0

  /**
   * @param worker - a worker
   * @param now - of the injected clock
   * @returns the permit to start tasks of the step there, undefined when there is none
   */
  permitFor (worker: TrackedWorker, now: number): string | undefined {
    const permit = this.permits.get(worker.registration.id)
    return permit !== undefined && permit.worker === worker && permit.validUntil - EXPIRY_MARGIN_MS > now ? permit.text : undefined
  }

  /**
   * Takes in an answer.
   * @param texts - permits by worker id
   * @param opts - workers that were named, and the time of the injected clock until which the permits hold
   */
  update (texts: ReadonlyMap<string, string>, opts: { workers: readonly TrackedWorker[], validUntil: number }): void {
    for (const worker of opts.workers) {
      const text = texts.get(worker.registration.id)
      if (text === undefined) this.permits.delete(worker.registration.id)
      else this.permits.set(worker.registration.id, { text, worker, validUntil: opts.validUntil })
    }
  }

  /** @param worker - that refused the permit it was given */
  invalidate (worker: TrackedWorker): void {
    this.permits.delete(worker.registration.id)
    this.nextRequestAt = 0
  }
}

/** A question for permits. */
export interface PermitRequest {
  readonly step: TrackedStep
  /** Name of the step: job, occurrence and number. */
  readonly name: string
  readonly workers: readonly TrackedWorker[]
}
