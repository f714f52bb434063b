import assert from 'node:assert/strict'
import { test } from 'node:test'
import { isSettled } from '@wisteriaslip/jobs.scheduler'
import { SchedulerHarness, worker } from './harness.ts'

function takeOver () {
  const harness = new SchedulerHarness({ term: 1 })
  harness.addJob({}, { acceptedThisTerm: false })
  harness.scheduler.setWorkers([worker('w1'), worker('w2')], { unknownRunsUntil: harness.now + 6_000 })
  harness.report('w2')
  return harness
}

// A leader handed its service over while it waited for a lost worker, and the next one began that wait anew.
test('a leader is not settled before the runs of all workers are known', () => {
  const harness = takeOver()
  assert.equal(isSettled(harness.scheduler), false)
  harness.report('w1')
  assert.equal(isSettled(harness.scheduler), true)
})

test('a leader is settled once the leases of a worker that never responded have expired', () => {
  const harness = takeOver()
  harness.now += 6_000
  assert.equal(isSettled(harness.scheduler), true)
})

test('a leader is not settled while a silent worker may hold a lease', () => {
  const harness = takeOver()
  harness.report('w1')
  harness.worker('w1').markUnreachable(harness.now)
  assert.equal(isSettled(harness.scheduler), false)
  harness.now += 4_200
  assert.equal(isSettled(harness.scheduler), true)
})

test('a leader is not settled while a start on a worker that has ended may be in progress', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.addJob()
  const run = harness.startWithoutResponse()
  harness.scheduler.endIncarnation(run.worker)
  assert.equal(isSettled(harness.scheduler), false)
  harness.scheduler.releaseOverRuns(run.worker, harness.now + 1)
  assert.equal(isSettled(harness.scheduler), true)
})
