/** Reports after which earlier ones hardly count. */
const MEMORY_REPORTS = 12
/** Share of a worker's reports with all figures raised from which on it is taken for slow. */
const SUSPECT_SHARE = 0.6
const MAX_WORKERS = 4_096
const MAX_AGE_MS = 60_000

interface Suspicion {
  share: number
  at: number
}

/** Workers on which all figures are raised, whatever runs there: what they report says nothing about pairs. */
export class SlowWorkers {
  private readonly suspicions = new Map<string, Suspicion>()

  /**
   * @param worker - id of the worker
   * @param allRaised - whether its report shows all figures raised, although they are of several images or without company
   * @param now - time in milliseconds
   */
  record (worker: string, allRaised: boolean, now: number): void {
    const known = this.suspicions.get(worker)
    if (known === undefined) {
      if (this.suspicions.size < MAX_WORKERS) this.suspicions.set(worker, { share: allRaised ? 0.5 : 0, at: now })
      return
    }
    known.share += ((allRaised ? 1 : 0) - known.share) / MEMORY_REPORTS
    known.at = now
  }

  /**
   * @param worker - id of a worker
   * @returns whether it seems to be slow as a whole
   */
  isSuspect (worker: string): boolean {
    return (this.suspicions.get(worker)?.share ?? 0) > SUSPECT_SHARE
  }

  /** @param now - time in milliseconds */
  forgetOld (now: number): void {
    for (const [worker, { at }] of this.suspicions) if (now - at > MAX_AGE_MS) this.suspicions.delete(worker)
  }
}
