import type { Run } from './run.ts'

const STOP_RETRY_INTERVAL_MS = 600

/**
 * Chooses the runs for which a stop command is to be sent: for the first time, or again.
 * @param runs - runs to be stopped
 * @param opts - `now`: time of the injected clock; `stopMs`: time that a worker takes to stop a run, in milliseconds
 * @returns these runs, marked as sent
 */
export function collectDueStops (runs: Iterable<Run>, { now, stopMs }: { now: number, stopMs: number }): Run[] {
  const due: Run[] = []
  for (const run of runs) {
    const retryDue = run.stopSentAt === undefined || now - run.stopSentAt >= STOP_RETRY_INTERVAL_MS + (run.stopAcknowledgedAt === undefined ? 0 : stopMs)
    if (!retryDue || run.phase === 'sending') continue
    run.stopSentAt = now
    due.push(run)
  }
  return due
}
