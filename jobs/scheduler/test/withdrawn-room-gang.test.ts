import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SchedulerHarness, step, worker } from './harness.ts'

// A long-running gang that needed room on open and on withdrawn workers got neither, and claimed the withdrawn ones for good.
test('a long-running gang that fits only on open and withdrawn workers together starts, or does not claim the withdrawn ones', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'), worker('w2'))
  harness.addJob({ steps: [step({ lasting: true, gang: true, tasks: 2, perWorker: 1 })] })
  let started = 0
  for (let ms = 0; ms < 20_000; ms += 100) {
    harness.now += 100
    harness.worker('w2').withdraw(harness.now)
    if (started === 0) for (const id of ['w1', 'w2']) harness.report(id)
    started += harness.startReadyTasks().length
  }
  assert.ok(started === 2 || !harness.scheduler.withdrawnRoom.isClaimed(harness.worker('w2')), `${started} started, w2 claimed`)
})
