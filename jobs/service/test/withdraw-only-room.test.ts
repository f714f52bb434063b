import assert from 'node:assert/strict'
import { test } from 'node:test'
import { withdrawWorkers } from '@wisteriaslip/jobs.service'
import { SchedulerHarness, step, worker } from '../../scheduler/test/harness.ts'

// The only worker with room for a long-running task was moved away 0.5 s after the task had lost its run, and it waited for another VM.
test('a VM is not called drained while its worker is the only one with room for a long-running task that has just lost its run', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'), worker('w2'))
  harness.addJob({ steps: [step({ lasting: true, perWorker: 1 })] })
  const [run] = harness.startReadyTasks()
  assert.ok(run !== undefined)
  const [other] = ['w1', 'w2'].filter(id => id !== run.worker.registration.id)
  assert.ok(other !== undefined)
  harness.worker(other).cooldownUntil = harness.now + 500
  harness.scheduler.endIncarnation(run.worker, { planned: true })
  harness.scheduler.placeReadyTasks()
  harness.now += 500
  assert.deepEqual(withdrawWorkers(harness.scheduler, [`vm-${other}`], harness.now), [])
})
