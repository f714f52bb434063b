import type { Scheduler } from './scheduler.ts'

/**
 * @param scheduler - state of a service's leader
 * @returns whether the runs of all workers are known, and none may be in progress on a worker that is silent: otherwise the next
 * leader has to find out anew
 */
export function isSettled (scheduler: Scheduler): boolean {
  const leasesKnownAt = scheduler.leasesKnownAt()
  return [...scheduler.workers.values()].every(worker => worker.ended ? worker.runs.size === 0 : worker.reachable || worker.haveLeasesExpired(leasesKnownAt))
}
