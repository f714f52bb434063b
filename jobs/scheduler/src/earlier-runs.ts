import { incarnationKey, type WorkerRegistration } from '@wisteriaslip/jobs.model'

/** Until when workers may execute runs of earlier leaders that the term doesn't know, by the injected clock. */
export class EarlierRuns {
  /** The time for workers of which nothing else is known. */
  until = Number.NEGATIVE_INFINITY
  private readonly knownUntil = new Map<string, number>()
  private readonly longLeasesUntil = new Map<string, number>()

  /**
   * Takes over what earlier leaders knew, as far as it can be read.
   * @param unknownRunsMs - for how long from `now` on incarnations may still execute such runs at most, in milliseconds, by {@link incarnationKey}
   * @param now - time of the injected clock
   */
  takeOver (unknownRunsMs: Readonly<Record<string, number>>, now: number): void {
    for (const [incarnation, ms] of Object.entries(unknownRunsMs)) if (Number.isFinite(ms) && ms >= 0) this.knownUntil.set(incarnation, now + ms)
  }

  /**
   * Takes over which workers may hold a lease that a command for an earlier incarnation has granted, as far as that can be read.
   * @param longLeasesMs - for how long from `now` on, in milliseconds, by {@link incarnationKey}
   * @param now - time of the injected clock
   */
  takeOverLongLeases (longLeasesMs: Readonly<Record<string, number>>, now: number): void {
    for (const [incarnation, ms] of Object.entries(longLeasesMs)) if (Number.isFinite(ms)) this.longLeasesUntil.set(incarnation, now + ms)
  }

  /**
   * @param registration - registration of a worker
   * @returns until when this incarnation may hold such a lease, undefined if nothing says that it does
   */
  longLeaseUntil (registration: WorkerRegistration): number | undefined {
    return this.longLeasesUntil.get(incarnationKey(registration))
  }

  /**
   * @param registration - registration of a worker
   * @returns until when this incarnation may execute such runs
   */
  untilAt (registration: WorkerRegistration): number {
    return Math.min(this.until, this.knownUntil.get(incarnationKey(registration)) ?? Infinity)
  }
}
