import { needsPermit } from './permits.ts'
import { couldFitEventually } from './placement.ts'
import type { QueueLookup } from './step-priority.ts'
import type { TrackedStep } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/**
 * @param step - a ready step
 * @param workers - workers of the service
 * @param queue - looks up queues
 * @returns whether none of the workers may ever take a task of the step: they lack its label, or the policy of its queue does not
 * allow them, or long-running tasks fill those that it allows; false if there are no workers
 */
export function isUnplaceable (step: TrackedStep, workers: readonly TrackedWorker[], queue: QueueLookup): boolean {
  const { spec: { label }, permits } = step
  const hasPolicy = needsPermit(step, queue)
  if (workers.length === 0 || (label === '' && !hasPolicy)) return false
  return workers.every(worker => {
    if (label !== '' && !worker.registration.labels.includes(label)) return true
    return hasPolicy && (permits.refuses(worker) || !couldFitEventually(step, worker))
  })
}
