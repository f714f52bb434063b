import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SchedulerHarness, running, step, worker } from './harness.ts'

const TASK = '00000000000000aa.0.0.0'

test('the runs that a crashed worker took with it are reported once, with how long each had survived', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.addJob({ steps: [step({ tasks: 2 })] })
  const [first, second] = harness.scheduler.placeReadyTasks()
  assert.ok(first !== undefined && second !== undefined)
  harness.confirmStart(first)
  harness.scheduler.handleStartResponse(second, { kind: 'unknown', message: 'connection closed' })
  harness.now += 250
  harness.report('w1', { running: [running(TASK, first.attempt)] })
  harness.scheduler.endIncarnation(harness.worker('w1'))
  const [loss, ...others] = harness.scheduler.takeLosses()
  assert.deepEqual(others, [])
  assert.equal(loss?.cause, 'crashed')
  assert.deepEqual(loss?.runs.map(({ task, phase, survivedMs }) => [task, phase, survivedMs]), [[TASK, 'running', 250], [second.task.name, 'unsettled', 0]])
  assert.deepEqual(harness.scheduler.takeLosses(), [])
})

for (const [name, plan] of [['withdrawn for a move or maintenance', { withdrawn: true }], ['draining', { draining: true }]] as const) {
  test(`the end of a worker that is ${name} is planned`, () => {
    const harness = new SchedulerHarness()
    const [tracked] = harness.addWorkers(worker('w1'))
    assert.ok(tracked !== undefined)
    harness.addJob()
    harness.startReadyTasks()
    if ('withdrawn' in plan) tracked.withdraw(harness.now)
    else harness.scheduler.setWorkers([worker('w1', plan)], { unknownRunsUntil: 0 })
    harness.scheduler.endIncarnation(tracked)
    assert.deepEqual(harness.scheduler.takeLosses().map(loss => loss.cause), ['planned'])
  })
}

test('runs of a silent worker whose lease has expired are reported as such', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.addJob()
  harness.startReadyTasks()
  harness.worker('w1').reachable = false
  harness.now += 4_200
  harness.scheduler.tick()
  assert.deepEqual(harness.scheduler.takeLosses().map(loss => loss.cause), ['lease-expired'])
})
