import type { Scheduler, TrackedWorker } from '@wisteriaslip/jobs.scheduler'

/**
 * Withdraws the workers on the given VMs: they get no new runs but those of long-running tasks that fit nowhere else, batch runs
 * finish, and long-running tasks are stopped as far as `mayMiss` allows and another worker can take them. Workers on all other VMs
 * accept runs again.
 * @param scheduler - scheduler of the service's leader
 * @param vms - ids of the VMs to drain
 * @param now - time of the scheduler's clock, in milliseconds
 * @returns ids of the VMs whose workers are drained
 */
export function withdrawWorkers (scheduler: Scheduler, vms: readonly string[], now: number): string[] {
  const leasesKnownAt = scheduler.leasesKnownAt()
  const withdrawnVms = new Set(vms)
  const empty = new Set<string>()
  const busy = new Set<string>()
  // First all of them: a task that is stopped on one must not count on room on another.
  for (const worker of scheduler.workers.values()) {
    if (withdrawnVms.has(worker.registration.vm)) worker.withdraw(now)
    else worker.endWithdrawal()
  }
  for (const worker of scheduler.workers.values()) {
    const { vm } = worker.registration
    if (!worker.withdrawn) continue
    if (worker.fenced && worker.reachable && worker.runs.size === 0 && !scheduler.withdrawnRoom.isClaimed(worker)) empty.add(vm)
    else scheduler.stopLongRunningTasks(worker)
    if (mayExecuteRuns(worker, leasesKnownAt)) busy.add(vm)
  }
  const drained = new Set([...empty].filter(vm => !busy.has(vm)))
  for (const worker of scheduler.workers.values()) if (drained.has(worker.registration.vm)) worker.noteCalledDrained(now)
  return [...drained]
}

/** Tells calls of the fleet's leader from late ones of its predecessors, by the tokens of their terms. */
export class FleetTokens {
  private newest = Number.NEGATIVE_INFINITY

  /**
   * @param token - token of the caller's term; undefined from entries of earlier versions
   * @returns whether no call of a later term has come before
   */
  accepts (token: number | undefined): boolean {
    this.newest = Math.max(this.newest, token ?? this.newest)
    return token === undefined || token === this.newest
  }
}

/**
 * Lets workers take runs again whose withdrawal has not been asked for again for long: the fleet's leader that asked for it may be gone.
 * @param scheduler - scheduler of the service's leader
 * @param now - time of the scheduler's clock, in milliseconds
 * @returns these workers
 */
export function endOldWithdrawals (scheduler: Scheduler, now: number): TrackedWorker[] {
  return [...scheduler.workers.values()].filter(worker => worker.endOldWithdrawal(now))
}

/** A VM may have another worker than the one that last registered: its runs count, too, until it is known to have ended. */
function mayExecuteRuns (worker: TrackedWorker, leasesKnownAt: number): boolean {
  return !worker.ended && (worker.runs.size > 0 || worker.hasUntrackedRuns || worker.mayHaveUnknownRuns(leasesKnownAt))
}
