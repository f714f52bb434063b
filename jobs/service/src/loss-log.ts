import type { Scheduler } from '@wisteriaslip/jobs.scheduler'
import type { ServiceTermOpts } from './ports.ts'

const MAX_LISTED_RUNS = 40

/**
 * Logs and counts the runs that were lost with their workers since the previous call.
 * @param scheduler - scheduler of the term
 * @param opts - options of the term
 */
export function logLosses (scheduler: Scheduler, opts: ServiceTermOpts): void {
  const { service, token, logger, metrics } = opts
  for (const { worker: { id, vm, rack }, cause, runs } of scheduler.takeLosses()) {
    metrics.count('workers_lost_total', { service, cause })
    metrics.count('runs_lost_total', { service, cause }, runs.length)
    logger.info({ service, token, worker: id, vm, rack, cause, lost: runs.length, runs: runs.slice(0, MAX_LISTED_RUNS) }, 'runs lost with their worker')
  }
}
