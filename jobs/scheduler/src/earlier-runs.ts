import { incarnationKey, type WorkerRegistration } from '@wisteriaslip/jobs.model'

/** What earlier leaders have found out about workers: until when these may execute runs that the term doesn't know, by the injected clock, and whether their VMs are gone. */
export class EarlierRuns {
  /** The time for workers of which nothing else is known. */
  until = Number.NEGATIVE_INFINITY
  private readonly knownUntil = new Map<string, number>()
  private readonly absentMs = new Map<string, number>()
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
    for (const [incarnation, ms] of readDurations(unknownRunsMs)) this.knownUntil.set(incarnation, now + ms)
  }

  /**
   * Takes over what earlier leaders have seen of VMs, as far as it can be read.
   * @param absentMs - for how long lists had left out the VMs of incarnations, in milliseconds, by {@link incarnationKey}
   */
  takeOverAbsences (absentMs: Readonly<Record<string, number>>): void {
    for (const [incarnation, ms] of readDurations(absentMs)) this.absentMs.set(incarnation, ms)
  }

  /**
   * @param registration - registration of a worker that is tracked from now on
   * @returns for how long lists of earlier terms had left out its VM, in milliseconds; undefined if they had not, or it was asked before
   */
  takeAbsentMs (registration: WorkerRegistration): number | undefined {
    const incarnation = incarnationKey(registration)
    const ms = this.absentMs.get(incarnation)
    this.absentMs.delete(incarnation)
    return ms
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

function readDurations (durations: Readonly<Record<string, number>>): Array<[string, number]> {
  return Object.entries(durations).filter(([, ms]) => Number.isFinite(ms) && ms >= 0)
}
