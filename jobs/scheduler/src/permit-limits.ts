import type { PermitCost } from '@wisteriaslip/jobs.model'
import type { TrackedStep } from './tracked-job.ts'

/** The permit service accepts no more in one request. */
const MAX_WORKERS_PER_REQUEST = 100
/** A step waits for its first permits no longer than this if it can, and others wait in line behind it. */
const TARGET_REQUEST_MS = 1_500
const MIN_TIMEOUT_MS = 3_000
/** Allows for the network, and for the rest of a request that was given up before. */
const TIMEOUT_MARGIN_MS = 1_000
const MAX_BACKOFF_TIMEOUT_MS = 12_000
const MAX_HALVINGS = 7

/**
 * A request names fewer workers when many would keep its step waiting. The configured cost may be wrong or unknown, so that requests get
 * smaller after failures, until one is answered.
 * @param step - the step that needs permits
 * @param cost - what a request takes; undefined if that is unknown
 * @param failures - requests that have failed since the last one that was answered
 * @returns how many workers its next request may name
 */
export function maxWorkersOf (step: TrackedStep, cost: PermitCost | undefined, failures: number): number {
  const most = step.spec.gang ? MAX_WORKERS_PER_REQUEST : workersInTime(cost)
  return Math.max(1, most >> Math.min(failures, MAX_HALVINGS))
}

/**
 * The timeout of a request follows from what it takes, and grows after failures.
 * @param workers - number of workers that the request names
 * @param cost - what a request takes; undefined if that is unknown
 * @param failures - requests that have failed since the last one that was answered
 * @returns the timeout in milliseconds
 */
export function timeoutMsOf (workers: number, cost: PermitCost | undefined, failures: number): number {
  const expectedMs = cost === undefined ? 0 : cost.decisionMs + cost.perWorkerMs * workers
  const baseMs = Math.max(MIN_TIMEOUT_MS, 2 * expectedMs + TIMEOUT_MARGIN_MS)
  return Math.max(baseMs, Math.min(MAX_BACKOFF_TIMEOUT_MS, baseMs * 2 ** failures))
}

/**
 * How many workers a request names: members of a gang need their permits at the same time, so that this is for other steps only. Where
 * the decision takes most of the time, further workers cost little.
 */
function workersInTime (cost: PermitCost | undefined): number {
  if (cost === undefined || cost.perWorkerMs === 0) return MAX_WORKERS_PER_REQUEST
  const forWorkersMs = Math.max(TARGET_REQUEST_MS - cost.decisionMs, cost.decisionMs / 2)
  return Math.min(MAX_WORKERS_PER_REQUEST, Math.max(1, Math.floor(forWorkersMs / cost.perWorkerMs)))
}
