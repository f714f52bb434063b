import type { Clock } from '@wisteriaslip/core.result'
import type { Job } from '@wisteriaslip/jobs.model'

/** Jobs that came within this time tell how much work is coming. */
const DEMAND_WINDOW_MS = 1_500
/** Jobs that came closer together than this are not taken for a rate. */
const MIN_SPAN_MS = 400

interface JobArrival {
  readonly at: number
  /** Work of the job, in thousandths of a core times milliseconds. */
  readonly work: number
}

/** Processors that a service needs in the long run for the jobs that come, learned from those that just came. */
export class DemandEstimator {
  private readonly clock: Clock
  private arrivals: JobArrival[] = []

  /** @param clock - time source */
  constructor (clock: Clock) {
    this.clock = clock
  }

  /**
   * Notes a job that was just handed in.
   * @param job - as accepted
   * @param durationFactor - time that its tasks take, against their estimates
   */
  recordJob (job: Job, durationFactor: number): void {
    if (job.schedule !== undefined) return
    const work = job.steps.reduce((sum, { lasting, backfill, tasks, demand, estimateMs }) => lasting || backfill ? sum : sum + tasks * demand.cpu * estimateMs * durationFactor, 0)
    if (work > 0) this.arrivals.push({ at: this.clock.now(), work })
  }

  /** @returns thousandths of a core that jobs which go on coming like this keep busy; few jobs tell little and count less */
  expectedCpu (): number {
    const now = this.clock.now()
    this.arrivals = this.arrivals.filter(({ at }) => now - at < DEMAND_WINDOW_MS)
    const first = this.arrivals[0]
    if (first === undefined) return 0
    const work = this.arrivals.reduce((sum, arrival) => sum + arrival.work, 0)
    const weight = (this.arrivals.length - 1) / this.arrivals.length
    return weight * work / Math.max(MIN_SPAN_MS, now - first.at)
  }
}
