import assert from 'node:assert/strict'
import { test } from 'node:test'
import { computeServiceLoad, endOldWithdrawals, withdrawWorkers } from '@wisteriaslip/jobs.service'
import { SchedulerHarness, running, step, worker } from '../../scheduler/test/harness.ts'

const VM = 'vm-w1'

/** A task that runs on a worker of the VM. */
function startTask (): SchedulerHarness {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.addJob()
  assert.equal(harness.startReadyTasks().length, 1)
  return harness
}

test('a VM is empty once its worker has no runs', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  assert.deepEqual(withdrawWorkers(harness.scheduler, [VM], harness.now), [VM])
})

// A VM counted as empty because of its other worker, and was maintained under a task in progress.
test('a VM with two workers is not empty while one of them has runs', () => {
  const harness = startTask()
  harness.scheduler.setWorkers([worker('w1'), worker('w9', { vm: VM })], { unknownRunsUntil: 0 })
  harness.report('w9')
  assert.deepEqual(withdrawWorkers(harness.scheduler, [VM], harness.now), [])
})

// The runs of a worker that is no longer registered may still be in progress.
test('a VM with a new worker is not empty while the previous one may still execute runs', () => {
  const harness = startTask()
  harness.worker('w1').markUnreachable(harness.now)
  harness.scheduler.setWorkers([worker('w9', { vm: VM })], { unknownRunsUntil: 0 })
  harness.report('w9')
  assert.deepEqual(withdrawWorkers(harness.scheduler, [VM], harness.now), [])
  harness.scheduler.endIncarnation(harness.worker('w1'))
  assert.deepEqual(withdrawWorkers(harness.scheduler, [VM], harness.now), [VM])
})

test('a worker of the VM that has never responded counts only while it may execute runs of earlier leaders', () => {
  const harness = new SchedulerHarness()
  harness.scheduler.setWorkers([worker('w1'), worker('w9', { vm: VM })], { unknownRunsUntil: harness.now + 6_000 })
  harness.report('w9')
  assert.deepEqual(withdrawWorkers(harness.scheduler, [VM], harness.now), [])
  harness.now += 6_000
  assert.deepEqual(withdrawWorkers(harness.scheduler, [VM], harness.now), [VM])
})

test('a VM is not empty while a start on it has no response, or before its restarted worker has responded', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.addJob()
  harness.startWithoutResponse()
  assert.deepEqual(withdrawWorkers(harness.scheduler, [VM], harness.now), [])
  harness.scheduler.setWorkers([worker('w1', { born: 2 })], { unknownRunsUntil: 0 })
  assert.deepEqual(withdrawWorkers(harness.scheduler, [VM], harness.now), [])
  harness.report('w1')
  assert.deepEqual(withdrawWorkers(harness.scheduler, [VM], harness.now), [], 'the start may still arrive')
})

// A worker that listed a run of a job that was being looked up counted as empty.
test('a VM is not empty while its worker lists runs that are not tracked', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.report('w1', { running: [running('00000000000000bb.0.0.0', 1)] })
  assert.deepEqual(withdrawWorkers(harness.scheduler, [VM], harness.now), [])
  harness.now += 1_000
  harness.report('w1', { running: [running('00000000000000bb.0.0.0', 1)] })
  assert.equal(computeServiceLoad(harness.scheduler, harness.now).workers[0]?.emptyMs, 0)
})

// Two VMs were drained at once, a long-running task was stopped on the first for the room on the second, and ran nowhere.
test('a long-running task is not stopped for room on a VM that is drained at the same time', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'), worker('w2'))
  harness.addJob({ steps: [step({ lasting: true, mayMiss: 1, perWorker: 1 })] })
  const [run] = harness.startReadyTasks()
  assert.ok(run !== undefined)
  harness.report(run.worker.registration.id, { running: [running(run.task.name, run.attempt, 100)] })
  withdrawWorkers(harness.scheduler, ['vm-w1', 'vm-w2'], harness.now)
  assert.equal(run.stopReason, undefined)
  withdrawWorkers(harness.scheduler, [run.worker.registration.vm], harness.now)
  assert.equal(run.stopReason, 'worker withdrawn')
})

// A worker stayed withdrawn for the rest of the term once the leader of the fleet that had asked for it was gone.
test('a worker takes runs again 5 s after the last request to drain it', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  withdrawWorkers(harness.scheduler, [VM], harness.now)
  harness.now += 3_000
  withdrawWorkers(harness.scheduler, [VM], harness.now)
  harness.now += 4_900
  assert.deepEqual(endOldWithdrawals(harness.scheduler, harness.now), [])
  assert.equal(harness.worker('w1').withdrawn, true)
  harness.now += 100
  assert.deepEqual(endOldWithdrawals(harness.scheduler, harness.now), [harness.worker('w1')])
  assert.equal(harness.worker('w1').withdrawn, false)
})

// A VM went down under a long-running task that was about to start there, as it fitted nowhere else.
test('a VM is not called drained while a long-running task waits for room on its worker', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  assert.deepEqual(withdrawWorkers(harness.scheduler, [VM], harness.now), [VM])
  harness.addJob({ steps: [step({ lasting: true })] })
  harness.scheduler.placeReadyTasks()
  assert.deepEqual(withdrawWorkers(harness.scheduler, [VM], harness.now), [])
  harness.now += 4_000
  assert.equal(harness.startReadyTasks().length, 1)
})
