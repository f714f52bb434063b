import assert from 'node:assert/strict'
import { test } from 'node:test'
import { describeUnserved, findUnserved } from '@wisteriaslip/jobs.scheduler'
import { SchedulerHarness, step, worker } from './harness.ts'

const queue = () => undefined

/** A long-running task on w1, and w2, which is withdrawn. */
function startTask (): SchedulerHarness {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'), worker('w2'))
  harness.worker('w2').withdraw(harness.now)
  harness.addJob({ steps: [step({ lasting: true })] })
  assert.equal(harness.startReadyTasks().length, 1)
  return harness
}

test('a task that runs on a worker in touch is not unserved', () => {
  assert.deepEqual(findUnserved(startTask().scheduler), [])
})

test('a task whose worker is silent is unserved, and its run is named', () => {
  const harness = startTask()
  harness.worker('w1').markUnreachable(harness.now)
  harness.now += 1_500
  const [task] = findUnserved(harness.scheduler)
  assert.ok(task !== undefined)
  const { waitsFor, runs } = describeUnserved(harness.scheduler, task, { queue, now: harness.now })
  assert.equal(waitsFor, undefined)
  assert.deepEqual(runs.map(run => [run.worker, run.phase, run.startedMsAgo]), [['w1', 'running', 1_500]])
})

test('a task that only a withdrawn worker has room for says so, and how old the withdrawal is', () => {
  const harness = startTask()
  harness.scheduler.endIncarnation(harness.worker('w1'), { planned: true })
  harness.now += 900
  harness.worker('w2').withdraw(harness.now)
  harness.now += 100
  const [task] = findUnserved(harness.scheduler)
  assert.ok(task !== undefined)
  const { waitsFor, withdrawnWithRoom } = describeUnserved(harness.scheduler, task, { queue, now: harness.now })
  assert.equal(waitsFor, 'ONLY_WITHDRAWN_ROOM')
  assert.deepEqual(withdrawnWithRoom, [{ worker: 'w2', withdrawnMs: 1_000, askedMsAgo: 100 }])
})
