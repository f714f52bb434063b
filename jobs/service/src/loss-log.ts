import type { Run, Scheduler } from '@wisteriaslip/jobs.scheduler'
import type { ServiceTermOpts } from './ports.ts'

const MAX_LISTED_RUNS = 40

/**
 * Logs and counts the runs that were lost with their workers since the previous call.
 * @param scheduler - scheduler of the term
 * @param opts - options of the term
 */
export function logLosses (scheduler: Scheduler, opts: ServiceTermOpts): void {
  const { service, token, logger, metrics } = opts
  for (const { worker: { id, vm, rack }, cause, runs, lastResponseAgeMs, leaseExpiredForMs } of scheduler.takeLosses()) {
    metrics.count('workers_lost_total', { service, cause })
    metrics.count('runs_lost_total', { service, cause }, runs.length)
    logger.info({ service, token, worker: id, vm, rack, cause, lastResponseAgeMs, leaseExpiredForMs, leadershipAgeMs: leadershipAgeMs(opts), lost: runs.length, runs: runs.slice(0, MAX_LISTED_RUNS) }, 'runs lost with their worker')
  }
}

/**
 * Logs a start of a task of which an earlier run was released without a reported end: which one, why, and the age of what that
 * rests on.
 * @param run - the run that is being started
 * @param opts - options of the term
 */
export function logRestart ({ task, attempt, worker }: Run, opts: ServiceTermOpts): void {
  if (task.released === undefined) return
  const { at, ...earlier } = task.released
  const releasedAgeMs = Math.round(opts.clock.now() - at)
  opts.logger.info({ task: task.name, attempt, worker: worker.registration.id, earlier: { ...earlier, releasedAgeMs }, token: opts.token, leadershipAgeMs: leadershipAgeMs(opts) }, 'task started again')
  task.released = undefined
}

/** Returns how long ago this entry was last certain to be the leader, in milliseconds; undefined if it never was. */
function leadershipAgeMs ({ clock, leadershipConfirmedAt }: ServiceTermOpts): number | undefined {
  const confirmedAt = leadershipConfirmedAt()
  return Number.isFinite(confirmedAt) ? Math.round(clock.now() - confirmedAt) : undefined
}
