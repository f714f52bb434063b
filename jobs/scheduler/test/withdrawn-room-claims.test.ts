import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SchedulerHarness, step, worker } from './harness.ts'

const JOB = '00000000000000aa'

/** Lets time pass, with reports of workers without runs, and passes in which the given ones stay withdrawn. */
function drain (harness: SchedulerHarness, ids: readonly string[], ms: number): void {
  for (const until = harness.now + ms; harness.now < until;) {
    harness.now += 100
    for (const id of ids) {
      harness.worker(id).withdraw(harness.now)
      if (harness.worker(id).runs.size === 0) harness.report(id)
    }
    harness.startReadyTasks()
  }
}

// A worker stayed claimed for a task whose job was cancelled, until another task was ready: its VM was never called drained.
test('a worker is not claimed once the job that it was claimed for is cancelled', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.worker('w1').withdraw(harness.now)
  harness.worker('w1').noteCalledDrained(harness.now)
  harness.addJob({ steps: [step({ lasting: true })] })
  drain(harness, ['w1'], 1_200)
  assert.equal(harness.scheduler.withdrawnRoom.isClaimed(harness.worker('w1')), true)
  harness.scheduler.table.cancel(JOB)
  drain(harness, ['w1'], 5_000)
  assert.equal(harness.scheduler.withdrawnRoom.isClaimed(harness.worker('w1')), false)
})
