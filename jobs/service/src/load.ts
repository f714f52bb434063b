import type { ServiceLoad } from '@wisteriaslip/jobs.protocol'
import type { Scheduler, TrackedWorker } from '@wisteriaslip/jobs.scheduler'

/** Occurrences of scheduled jobs count as demand this long before they are due: a VM needs that long to move and start. */
const SCHEDULED_LEAD_MS = 2_500

/**
 * Summarizes the demand of a service and the load of its workers.
 * @param scheduler - scheduler of the service's leader
 * @param now - time of the scheduler's clock, in milliseconds
 * @returns load of the service
 */
export function computeServiceLoad (scheduler: Scheduler, now: number): ServiceLoad {
  const workers = [...scheduler.workers.values()].filter(worker => !worker.ended && !worker.deregistered)
  const dueSoon = scheduler.table.dueSoon(SCHEDULED_LEAD_MS, job => scheduler.limiter.mayGrow(job))
  const used = workers.map(worker => worker.used())
  const wanted = (opts: { isOwed?: boolean } = {}): { cpu: number, memMb: number } => {
    const waiting = scheduler.waitingDemand(opts)
    return {
      cpu: dueSoon.cpu + Math.max(waiting.cpu + sum(used.map(each => each.cpu)), longRunningCpu(workers) + scheduler.expectedCpu(opts)),
      memMb: dueSoon.memMb + waiting.memMb + sum(used.map(each => each.memMb))
    }
  }
  const { cpu, memMb } = wanted()
  return {
    kind: 'load',
    wantedCpu: cpu,
    wantedMemMb: memMb,
    ...(scheduler.table.shares?.hasAccounts() === true ? { owed: wanted({ isOwed: true }) } : {}),
    leastWorkers: scheduler.table.leastWorkers(scheduler.limiter.countWaiting()),
    workers: workers.map(worker => ({
      worker: worker.registration.id,
      vm: worker.registration.vm,
      cpuShare: worker.cpuShare(),
      runs: worker.runs.size,
      lastingRuns: worker.lastingRuns(),
      emptyMs: worker.emptySince === undefined ? 0 : Math.round(now - worker.emptySince),
      withdrawn: worker.withdrawn,
      usable: worker.fenced && worker.reachable && !worker.registration.draining,
      capacity: { cpu: worker.registration.capacity.cpu, memMb: worker.registration.capacity.memMb }
    }))
  }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function longRunningCpu (workers: readonly TrackedWorker[]): number {
  const runs = workers.flatMap(worker => [...worker.runs.values()])
  return sum(runs.map(({ task }) => task.step.spec.lasting && !task.step.spec.backfill ? task.step.spec.demand.cpu : 0))
}
