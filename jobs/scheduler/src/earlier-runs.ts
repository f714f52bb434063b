import { incarnationKey, type WorkerRegistration } from '@wisteriaslip/jobs.model'

/** Until when workers may execute runs of earlier leaders that the term doesn't know, by the injected clock. */
export class EarlierRuns {
  /** The time for workers of which nothing else is known. */
  until = Number.NEGATIVE_INFINITY
  private readonly knownUntil = new Map<string, number>()
  /** Ids of all workers that earlier leaders may have used; undefined if any worker may be one of them. */
  private usedIds: ReadonlySet<string> | undefined

  /**
   * Notes which workers earlier leaders may have used: an id that is not among them has never got a start or a lease.
   * @param ids - ids of these workers
   */
  limitToWorkers (ids: Iterable<string>): void {
    this.usedIds = new Set(ids)
  }

  /**
   * Takes over what earlier leaders knew, as far as it can be read.
   * @param unknownRunsMs - for how long from `now` on incarnations may still execute such runs at most, in milliseconds, by {@link incarnationKey}
   * @param now - time of the injected clock
   */
  takeOver (unknownRunsMs: Readonly<Record<string, number>>, now: number): void {
    for (const [incarnation, ms] of Object.entries(unknownRunsMs)) if (Number.isFinite(ms) && ms >= 0) this.knownUntil.set(incarnation, now + ms)
  }

  /**
   * @param registration - registration of a worker
   * @returns until when this incarnation may execute such runs; negative infinity if it never did
   */
  untilAt (registration: WorkerRegistration): number {
    if (this.usedIds?.has(registration.id) === false) return Number.NEGATIVE_INFINITY
    return Math.min(this.until, this.knownUntil.get(incarnationKey(registration)) ?? Infinity)
  }
}
