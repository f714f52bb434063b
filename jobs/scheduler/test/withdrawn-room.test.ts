import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SchedulerHarness, step, worker } from './harness.ts'

/** A long-running task whose worker w1 has just ended, and w2, which is being drained and has room. */
function loseWorker (lasting = true): SchedulerHarness {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'), worker('w2'))
  harness.worker('w2').withdraw(harness.now)
  harness.addJob({ steps: [step({ lasting })] })
  assert.equal(harness.startReadyTasks()[0]?.worker, harness.worker('w1'))
  harness.scheduler.endIncarnation(harness.worker('w1'), { planned: true })
  return harness
}

/** Lets time pass, with reports of w2 and passes of its leader, which is asked to drain it. */
function drainFor (harness: SchedulerHarness, ms: number): void {
  for (const until = harness.now + ms; harness.now < until;) {
    harness.now += 100
    harness.worker('w2').withdraw(harness.now)
    harness.report('w2')
    harness.scheduler.placeReadyTasks()
  }
}

// A drain that could not end kept the room on its workers from a long-running task that fitted nowhere else.
test('a long-running task that fits only on a worker that is being drained starts there after 1 s', () => {
  const harness = loseWorker()
  drainFor(harness, 900)
  assert.equal(harness.worker('w2').runs.size, 0)
  drainFor(harness, 100)
  assert.equal(harness.worker('w2').runs.size, 1)
})

test('a task that ends by itself does not start on a worker that is being drained', () => {
  const harness = loseWorker(false)
  drainFor(harness, 5_000)
  assert.equal(harness.worker('w2').runs.size, 0)
})

// The VM of a worker that has been called drained goes down when the fleet's leader asks for that, and would take the run with it.
test('a worker that was called drained is claimed by a task that waits, and gets it once its VM cannot be about to go down', () => {
  const harness = loseWorker()
  drainFor(harness, 500)
  harness.worker('w2').noteCalledDrained(harness.now)
  drainFor(harness, 3_900)
  assert.equal(harness.worker('w2').runs.size, 0)
  assert.equal(harness.scheduler.withdrawnRoom.isClaimed(harness.worker('w2')), true)
  drainFor(harness, 100)
  assert.equal(harness.worker('w2').runs.size, 1)
})

test('a task that waits for the end of a takeover claims a worker that is being drained meanwhile', () => {
  const harness = new SchedulerHarness()
  harness.scheduler.setWorkers([worker('w1'), worker('w2')], { unknownRunsUntil: harness.now + 4_000 })
  harness.report('w2')
  harness.worker('w2').noteCalledDrained(harness.now)
  harness.addJob({ steps: [step({ lasting: true })] }, { acceptedThisTerm: false })
  drainFor(harness, 3_900)
  assert.equal(harness.worker('w2').runs.size, 0)
  assert.equal(harness.scheduler.withdrawnRoom.isClaimed(harness.worker('w2')), true)
  drainFor(harness, 100)
  assert.equal(harness.worker('w2').runs.size, 1)
})

test('no more workers are claimed than there are tasks that wait', () => {
  const harness = loseWorker()
  harness.scheduler.setWorkers([worker('w2'), worker('w3')], { unknownRunsUntil: 0 })
  harness.report('w3')
  for (const id of ['w2', 'w3']) harness.worker(id).noteCalledDrained(harness.now)
  for (let ms = 0; ms < 1_500; ms += 100) {
    harness.worker('w3').withdraw(harness.now)
    drainFor(harness, 100)
  }
  assert.deepEqual(['w2', 'w3'].map(id => harness.scheduler.withdrawnRoom.isClaimed(harness.worker(id))), [true, false])
})

// An open worker had room for one of several tasks: none of the others claimed a worker that was being drained.
test('tasks beyond the room on other workers claim those that are being drained', () => {
  const harness = new SchedulerHarness()
  harness.scheduler.setWorkers([worker('w1'), worker('w2'), worker('w3')], { unknownRunsUntil: harness.now + 4_000 })
  for (const id of ['w2', 'w3']) harness.report(id)
  harness.worker('w2').withdraw(harness.now)
  harness.addJob({ steps: [step({ lasting: true, tasks: 2, perWorker: 1 })] }, { acceptedThisTerm: false })
  harness.scheduler.placeReadyTasks()
  assert.equal(harness.scheduler.withdrawnRoom.isClaimed(harness.worker('w2')), true)
})
