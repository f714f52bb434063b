import type { Scheduler } from '@wisteriaslip/jobs.scheduler'
import type { ServiceTermOpts } from './ports.ts'

/** Interval at which the workers that a takeover still waits for are logged. */
const REPORT_INTERVAL_MS = 2_000

/**
 * Logs how long tasks of earlier terms' jobs wait after a takeover until the runs of all workers are known, and which
 * workers they wait for.
 */
export class TakeoverMonitor {
  private readonly opts: ServiceTermOpts
  private waitingSince: number | undefined
  private lastReportAt = 0

  constructor (opts: ServiceTermOpts) {
    this.opts = opts
  }

  /**
   * Logs changes since the previous call.
   * @param scheduler - scheduler of the term
   */
  observe (scheduler: Scheduler): void {
    const { service, token, clock, logger, metrics } = this.opts
    const now = clock.now()
    if (!scheduler.mayHaveUnknownRuns()) {
      if (this.waitingSince === undefined) return
      const tookMs = now - this.waitingSince
      this.waitingSince = undefined
      metrics.observe('takeover_us', { service }, tookMs)
      logger.info({ service, token, tookMs: Math.round(tookMs) }, 'runs of all workers are known')
      return
    }
    if (this.waitingSince === undefined) this.waitingSince = this.lastReportAt = now
    if (now - this.lastReportAt < REPORT_INTERVAL_MS) return
    this.lastReportAt = now
    const workers = scheduler.workersWithUnknownRuns().map(({ registration: { id, vm }, deregistered, reachable, unknownRunsUntil }) => ({ id, vm, deregistered, reachable, leftMs: Math.round(unknownRunsUntil - now) }))
    logger.info({ service, token, forMs: Math.round(now - this.waitingSince), workers }, 'tasks of earlier jobs wait: runs of some workers are unknown')
  }
}
