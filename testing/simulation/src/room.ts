import type { WatchedJob } from './lost-watch.ts'
import type { Incarnation } from './worker-machine.ts'

/**
 * @param workers - workers that may be used
 * @param job - a job
 * @returns how many more runs of the job's tasks fit on those of its service
 */
export function roomFor (workers: readonly Incarnation[], job: WatchedJob): number {
  const usable = workers.filter(({ registration }) => registration.service === job.service)
  return usable.reduce((sum, worker) => sum + fitting(worker, job), 0)
}

function fitting (worker: Incarnation, { id, cpu, memMb, perWorker }: WatchedJob): number {
  const others = [...worker.runs.keys()].filter(task => task.startsWith(`${id}.`)).length
  const left = perWorker === 0 ? Infinity : Math.max(0, perWorker - others)
  return Math.min(Math.floor(worker.freeCpu() / cpu), Math.floor(worker.freeMemMb() / memMb), left)
}
