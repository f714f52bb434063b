import type { Clock } from '@wisteriaslip/core.result'
import { maxWorkersOf, timeoutMsOf } from './permit-limits.ts'
import { needsPermit, permitCostOf, type PermitRequest } from './permits.ts'
import type { QueueLookup } from './step-priority.ts'
import { isStartable, mayStart, type TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

const MIN_REQUEST_INTERVAL_MS = 30

/** Options of {@link PermitRequester}. */
export interface PermitRequesterOpts {
  readonly clock: Clock
  readonly queue: QueueLookup
  /** Steps with tasks left whose preceding steps are done. */
  readonly ready: ReadonlySet<TrackedStep>
  /** Tracked workers of the service, by id. */
  readonly workers: ReadonlyMap<string, TrackedWorker>
}

/** Decides which permits to request, and stores them with their steps. */
export class PermitRequester {
  private readonly opts: PermitRequesterOpts
  /** Requests that have failed since the last one that was answered. */
  private failures = 0

  constructor (opts: PermitRequesterOpts) {
    this.opts = opts
  }

  /** @returns permit requests of ready steps that need one, marked as sent */
  collect (): PermitRequest[] {
    const now = this.opts.clock.now()
    const requests: PermitRequest[] = []
    for (const step of this.opts.ready) {
      const { permits, job, occurrence } = step
      if (!mayStart(step) || !needsPermit(step, this.opts.queue) || permits.asked || permits.nextRequestAt > now || !step.tasks.some(task => isStartable(task, now))) continue
      const due = [...this.opts.workers.values()].filter(worker => worker.takesStarts(now) && permits.isRequestDue(worker, now))
      if (due.length === 0) continue
      const cost = permitCostOf(step, this.opts.queue)
      const maxWorkers = maxWorkersOf(step, cost, this.failures)
      // The first ones may be due again before the others' turn.
      if (due.length > maxWorkers) due.sort((a, b) => compare(permits.askAgainAt(a), permits.askAgainAt(b)))
      const workers = due.slice(0, maxWorkers)
      permits.asked = true
      requests.push({ step, name: `${job.job.id}.${occurrence.number}.${step.number}`, workers, timeoutMs: timeoutMsOf(workers.length, cost, this.failures) })
    }
    return requests
  }

  /**
   * Handles the response to a permit request.
   * @param request - the request that was sent
   * @param response - permits by worker id and their validity in milliseconds, undefined when the request failed
   */
  handleResponse (request: PermitRequest, response: { permits: ReadonlyMap<string, string>, validMs: number } | undefined): void {
    const { permits } = request.step
    const now = this.opts.clock.now()
    permits.asked = false
    permits.nextRequestAt = now + MIN_REQUEST_INTERVAL_MS
    this.failures = response === undefined ? this.failures + 1 : 0
    if (response === undefined) return
    const { validMs } = response
    permits.update(response.permits, { workers: request.workers, validUntil: now + validMs, askAgainAt: now + Math.max(validMs / 2, MIN_REQUEST_INTERVAL_MS) })
  }
}

/** Compares numbers that may both be infinite. */
function compare (a: number, b: number): number {
  return a === b ? 0 : a - b
}
