import { incarnationKey, type WorkerRegistration } from '@wisteriaslip/jobs.model'

/** Until when workers may execute runs of earlier leaders that the term doesn't know, by the injected clock. */
export class EarlierRuns {
  /** The time for workers of which nothing else is known. */
  until = Number.NEGATIVE_INFINITY
  private readonly knownUntil = new Map<string, number>()

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
   * @returns until when this incarnation may execute such runs
   */
  untilAt (registration: WorkerRegistration): number {
    return Math.min(this.until, this.knownUntil.get(incarnationKey(registration)) ?? Infinity)
  }
}
