import type { Clock } from '@wisteriaslip/core.result'
import type { Job } from '@wisteriaslip/jobs.model'

/** Jobs that arrived within this time determine the expected demand. */
const DEMAND_WINDOW_MS = 1_500
/** Minimum time span of an arrival rate, so that a few jobs in quick succession do not count as a high rate. */
const MIN_SPAN_MS = 400

interface JobArrival {
  readonly at: number
  /** Work of the job, in thousandths of a core times milliseconds. */
  readonly work: number
  readonly isBeyondWeight: boolean
}

/** Estimates the steady-state CPU demand of a service from the jobs that arrived recently. */
export class DemandEstimator {
  private readonly clock: Clock
  private arrivals: JobArrival[] = []

  /** @param clock - time source */
  constructor (clock: Clock) {
    this.clock = clock
  }

  /**
   * Records a job that was just submitted. Ignores scheduled jobs, and long-running and backfill steps.
   * @param job - the accepted job
   * @param durationFactor - actual duration of its tasks relative to their estimates
   * @param opts - `isBeyondWeight`: its client account has submitted it beyond its weight
   */
  recordJob (job: Job, durationFactor: number, { isBeyondWeight = false } = {}): void {
    if (job.schedule !== undefined) return
    const work = job.steps.reduce((sum, { lasting, backfill, tasks, demand, estimateMs }) => lasting || backfill ? sum : sum + tasks * demand.cpu * estimateMs * durationFactor, 0)
    if (work > 0) this.arrivals.push({ at: this.clock.now(), work, isBeyondWeight })
  }

  /**
   * @param opts - `isOwed`: leaves out jobs beyond the weights of their client accounts
   * @returns CPU demand at the current arrival rate, in thousandths of a core; weighted lower when few jobs arrived
   */
  expectedCpu ({ isOwed = false } = {}): number {
    const now = this.clock.now()
    this.arrivals = this.arrivals.filter(({ at }) => now - at < DEMAND_WINDOW_MS)
    const counted = isOwed ? this.arrivals.filter(({ isBeyondWeight }) => !isBeyondWeight) : this.arrivals
    const first = counted[0]
    if (first === undefined) return 0
    const work = counted.reduce((sum, arrival) => sum + arrival.work, 0)
    const weight = (counted.length - 1) / counted.length
    return weight * work / Math.max(MIN_SPAN_MS, now - first.at)
  }
}
