import type { ServiceLoad } from '@wisteriaslip/jobs.protocol'
import type { Scheduler, TrackedWorker } from '@wisteriaslip/jobs.scheduler'

/**
 * @param scheduler - of a service's leader
 * @param now - of its clock
 * @returns how the service stands
 */
export function computeServiceLoad (scheduler: Scheduler, now: number): ServiceLoad {
  const workers = [...scheduler.workers.values()].filter(worker => !worker.ended && !worker.deregistered)
  const waiting = scheduler.table.waiting()
  const used = workers.map(worker => worker.used())
  return {
    kind: 'load',
    wantedCpu: Math.max(waiting.cpu + sum(used.map(each => each.cpu)), lastingCpu(workers) + scheduler.expectedCpu()),
    wantedMemMb: waiting.memMb + sum(used.map(each => each.memMb)),
    leastWorkers: scheduler.table.leastWorkers(),
    workers: workers.map(worker => ({
      worker: worker.registration.id,
      vm: worker.registration.vm,
      cpuShare: worker.cpuShare(),
      runs: worker.runs.size,
      lastingRuns: lastingRuns(worker),
      emptyMs: worker.emptySince === undefined ? 0 : Math.round(now - worker.emptySince),
      withdrawn: worker.withdrawn,
      usable: worker.fenced && worker.reachable && !worker.registration.draining
    }))
  }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function lastingCpu (workers: readonly TrackedWorker[]): number {
  const runs = workers.flatMap(worker => [...worker.runs.values()])
  return sum(runs.map(({ task }) => task.step.spec.lasting && !task.step.spec.backfill ? task.step.spec.demand.cpu : 0))
}

function lastingRuns (worker: TrackedWorker): number {
  return [...worker.runs.values()].filter(run => run.task.step.spec.lasting).length
}

/**
 * Empties the workers on some VMs: they get nothing new, batch work ends by itself, and lasting tasks are stopped as
 * far as their steps may miss them.
 * @param scheduler - of the service's leader
 * @param vms - to be emptied; all others take work again
 * @returns VMs whose workers are empty
 */
export function withdrawWorkers (scheduler: Scheduler, vms: readonly string[]): string[] {
  const wanted = new Set(vms)
  const empty: string[] = []
  for (const worker of scheduler.workers.values()) {
    worker.withdrawn = wanted.has(worker.registration.vm)
    if (!worker.withdrawn) continue
    if (worker.fenced && worker.reachable && worker.runs.size === 0) empty.push(worker.registration.vm)
    else scheduler.stopLongRunningTasks(worker)
  }
  return empty
}
