import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SchedulerHarness, step, worker } from './harness.ts'

/** Answers the permit requests that are due, allowing only the given workers. */
function answerPermitRequests (harness: SchedulerHarness, allowed: readonly string[]): void {
  for (const request of harness.scheduler.permitRequester.collect()) {
    const ids = request.workers.map(each => each.registration.id)
    harness.scheduler.permitRequester.handleResponse(request, { permits: new Map(ids.filter(id => allowed.includes(id)).map(id => [id, 'permit'])), validMs: 60_000 })
  }
}

// A worker on which the queue's policy does not allow a task was claimed for it as long as it waited: its VM was never called drained.
test('a worker is not claimed for a task that the policy does not allow there', () => {
  const harness = new SchedulerHarness({ queue: { needsPermit: true } })
  harness.addWorkers(worker('w1'))
  harness.worker('w1').withdraw(harness.now)
  harness.addJob({ steps: [step({ lasting: true })] })
  for (let ms = 0; ms < 20_000; ms += 100) {
    harness.now += 100
    harness.worker('w1').withdraw(harness.now)
    harness.report('w1')
    answerPermitRequests(harness, [])
    assert.deepEqual(harness.scheduler.placeReadyTasks(), [])
  }
  assert.equal(harness.scheduler.withdrawnRoom.isClaimed(harness.worker('w1')), false)
})
