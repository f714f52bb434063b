import { SETTLE_MS, type Scheduler } from '@wisteriaslip/jobs.scheduler'
import type { ServiceTermOpts } from './ports.ts'
import type { StartWindow } from './start-window.ts'

/** Interval at which it is logged what waiting tasks wait for. */
const REPORT_INTERVAL_MS = 1_000

/** Logs what ready tasks wait for while some are left after a pass: free capacity on workers, or the leader's own starts. */
export class WaitMonitor {
  private readonly opts: ServiceTermOpts
  private readonly startWindow: StartWindow
  private lastReportAt = Number.NEGATIVE_INFINITY
  private starts = 0
  private fullPasses = 0
  private passes = 0

  /**
   * @param opts - options of the term
   * @param startWindow - limit of the term's starts
   */
  constructor (opts: ServiceTermOpts, startWindow: StartWindow) {
    this.opts = opts
    this.startWindow = startWindow
  }

  /**
   * Counts a scheduling pass, and logs at most one line a second.
   * @param scheduler - scheduler of the term
   * @param started - number of runs that the pass has placed
   */
  observe (scheduler: Scheduler, started: number): void {
    this.passes += 1
    this.starts += started
    if (this.startWindow.free() === 0) this.fullPasses += 1
    const now = this.opts.clock.now()
    if (now - this.lastReportAt < REPORT_INTERVAL_MS) return
    const waitingTasks = [...scheduler.table.ready].reduce((sum, step) => sum + step.waiting, 0)
    const { passes, starts, fullPasses } = this
    const periodMs = Math.round(now - this.lastReportAt)
    this.lastReportAt = now
    this.passes = this.starts = this.fullPasses = 0
    if (waitingTasks === 0) return
    const { service, token, logger } = this.opts
    logger.info({ service, token, periodMs: Number.isFinite(periodMs) ? periodMs : 0, waitingTasks, passes, starts, fullPasses, lagMs: Math.round(this.startWindow.lagMs()), ...describeWorkers(scheduler, now) }, 'tasks wait')
  }
}

/** Returns the workers of a service by what they are good for, and what is in use of those that take starts, in cores. */
function describeWorkers (scheduler: Scheduler, now: number): Record<string, number> {
  const workers = [...scheduler.workers.values()].filter(worker => !worker.ended && !worker.deregistered)
  const open = workers.filter(worker => worker.takesStarts(now))
  const runs = workers.flatMap(worker => [...worker.runs.values()])
  return {
    workers: workers.length,
    openWorkers: open.length,
    withdrawn: workers.filter(worker => worker.withdrawn).length,
    unreachable: workers.filter(worker => !worker.reachable).length,
    cores: Math.round(open.reduce((sum, worker) => sum + worker.registration.capacity.cpu, 0) / 1_000),
    usedCores: Math.round(open.reduce((sum, worker) => sum + worker.used().cpu, 0) / 1_000),
    runs: runs.length,
    unconfirmed: runs.filter(run => run.phase !== 'running' && now - run.startedAt > SETTLE_MS).length
  }
}
