import assert from 'node:assert/strict'
import { test } from 'node:test'
import { UNKNOWN_BORN, type WorkerRegistration } from '@wisteriaslip/jobs.model'
import { job, running, SchedulerHarness, step, worker } from './harness.ts'

const PASS_MS = 100
const MAX_WAIT_MS = 60_000

/** Hands in a job, and returns whether a task of it is started within a minute on a worker that goes on being registered so. */
function isStarted (harness: SchedulerHarness, registration: WorkerRegistration): boolean {
  harness.addJob(job({ steps: [step({ lasting: true })] }))
  for (const until = harness.now + MAX_WAIT_MS; harness.now < until;) {
    harness.now += PASS_MS
    harness.scheduler.setWorkers([registration], { unknownRunsUntil: 0 })
    const tracked = harness.scheduler.workers.get(registration.id)
    if (tracked !== undefined && !tracked.ended) harness.report(registration.id)
    harness.scheduler.tick()
    if (harness.startReadyTasks().length > 0) return true
  }
  return false
}

// Its registration was ignored as that of an older incarnation for as long as it stayed listed, that is for the rest of the term.
for (const registeredThroughout of [true, false]) {
  test(`a worker that has restarted after its machine's clock was set back gets tasks, its end having been seen first (${registeredThroughout ? 'registered throughout' : 'its registration had expired'})`, () => {
    const harness = new SchedulerHarness()
    const registrations = [worker('w1', { born: 9_000, revision: 20 })]
    const [before] = harness.addWorkers(...registrations)
    assert.ok(before !== undefined)
    harness.scheduler.endIncarnation(before, { planned: true })
    if (!registeredThroughout) harness.scheduler.setWorkers([], { unknownRunsUntil: 0 })
    harness.scheduler.tick()
    assert.ok(isStarted(harness, worker('w1', { born: 8_000, revision: 30 })))
  })
}

// Its registration was taken for that of the incarnation that had ended, for as long as the term lasted.
test('a worker whose registration does not say when it was born gets tasks after a restart, its end having been seen first', () => {
  const harness = new SchedulerHarness()
  const [before] = harness.addWorkers(worker('w1', { born: UNKNOWN_BORN, revision: 20 }))
  assert.ok(before !== undefined)
  harness.scheduler.endIncarnation(before, { planned: true })
  assert.equal(isStarted(harness, worker('w1', { born: UNKNOWN_BORN, revision: 20 })), false, 'the same registration is of the one that has ended')
  assert.ok(isStarted(harness, worker('w1', { born: UNKNOWN_BORN, revision: 30 })))
})

const TASK = '00000000000000aa.0.0.0'

/** A worker whose machine's clock was set back before its restart has got a start. */
function startOnRestarted () {
  const harness = new SchedulerHarness()
  const [before] = harness.addWorkers(worker('w1', { born: 9_000, revision: 20 }))
  assert.ok(before !== undefined)
  harness.scheduler.endIncarnation(before)
  harness.addWorkers(worker('w1', { born: 8_000, revision: 30 }))
  harness.addJob(job({ steps: [step({ lasting: true })] }))
  assert.equal(harness.startReadyTasks().length, 1)
  return { harness, tracked: harness.worker('w1') }
}

// The registration of the incarnation before, later by its clock, ended the one that runs on.
for (const { name, revision } of [{ name: 'a list that lags', revision: 20 }, { name: 'a late write', revision: 40 }]) {
  test(`${name} with the incarnation before, born later by its clock, does not end the one that runs on`, () => {
    const { harness, tracked } = startOnRestarted()
    harness.now += 1_000
    harness.report('w1', { running: [running(TASK, 1)] })
    harness.scheduler.setWorkers([worker('w1', { born: 9_000, revision }), worker('w2')], { unknownRunsUntil: 0 })
    harness.report('w2')
    assert.equal(harness.worker('w1'), tracked)
    assert.equal(tracked.ended, false)
    assert.deepEqual(harness.startReadyTasks(), [])
  })
}

// A list that lagged behind the record of the term ended the incarnation that ran on.
test('an older registration of an incarnation that the term has not seen, born later by its clock, does not end the one that runs on', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1', { born: 8_000, revision: 30 }))
  const tracked = harness.worker('w1')
  harness.scheduler.setWorkers([worker('w1', { born: 9_000, revision: 20 })], { unknownRunsUntil: 0 })
  assert.equal(harness.worker('w1'), tracked)
  assert.equal(tracked.ended, false)
})

// A late write of an incarnation from before the term must not end the one that runs on, silent or not.
test('a newer registration with an earlier birth takes over only once the leases of the tracked incarnation have expired', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1', { born: 9_000, revision: 20 }))
  harness.addJob(job({ steps: [step({ lasting: true })] }))
  assert.equal(harness.startReadyTasks().length, 1)
  const tracked = harness.worker('w1')
  const listed = [worker('w1', { born: 8_000, revision: 30, host: 'h2' })]
  tracked.markUnreachable(harness.now)
  harness.now += 3_900
  harness.scheduler.setWorkers(listed, { unknownRunsUntil: 0 })
  assert.equal(harness.worker('w1'), tracked)
  assert.equal(tracked.ended, false)
  harness.now += 300
  harness.scheduler.setWorkers(listed, { unknownRunsUntil: 0 })
  assert.equal(tracked.ended, true)
  assert.equal(harness.worker('w1').registration.host, 'h2')
  harness.report('w1')
  assert.equal(harness.worker('w1').takesStarts(harness.now), true)
})

// An older registration of the same incarnation undid the newer one.
test('a registration with an older revision does not undo that a worker is draining', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1', { draining: true, revision: 30 }))
  harness.scheduler.setWorkers([worker('w1', { revision: 20 })], { unknownRunsUntil: 0 })
  assert.equal(harness.worker('w1').registration.draining, true)
})
