import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SchedulerHarness, ended, running, step, worker } from './harness.ts'

const ID = '00000000000000aa'
const OTHER_ID = '00000000000000bb'
const FULL = { cpu: 4_000, memMb: 8_000, accelerators: 0 }
const SHRUNK = { cpu: 2_000, memMb: 8_000, accelerators: 0 }
const demand = { cpu: 1_000, memMb: 100, accelerators: 0 }

/** A worker of 4 cores with three runs of a core each, while four more tasks wait. */
function startThree () {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1', { capacity: FULL }))
  harness.addJob({ steps: [step({ tasks: 3, demand })] })
  const runs = harness.startReadyTasks()
  assert.equal(runs.length, 3)
  return { harness, runs }
}

function resize (harness: SchedulerHarness, capacity: typeof FULL): void {
  harness.scheduler.setWorkers([worker('w1', { capacity })], { unknownRunsUntil: 0 })
}

test('a worker whose capacity has shrunk gets no start that exceeds it, and is used in full once it has grown again', () => {
  const { harness, runs } = startThree()
  resize(harness, SHRUNK)
  harness.addJob({ id: OTHER_ID, steps: [step({ tasks: 4, demand })] })
  assert.deepEqual(harness.startReadyTasks(), [])
  const [first, second, third] = runs.map(run => run.task.name)
  harness.report('w1', { ended: [ended(1, String(first), 1)], running: [running(String(second), 1), running(String(third), 1)] })
  assert.deepEqual(harness.startReadyTasks(), [], 'two cores are in use')
  harness.report('w1', { ended: [ended(2, String(second), 1)], running: [running(String(third), 1)] })
  assert.equal(harness.startReadyTasks().length, 1)
  resize(harness, FULL)
  assert.equal(harness.startReadyTasks().length, 2)
})

test('a run that is being stopped counts against the capacity until its end is listed', () => {
  const { harness, runs } = startThree()
  resize(harness, SHRUNK)
  harness.scheduler.table.cancel(ID)
  harness.addJob({ id: OTHER_ID, steps: [step({ tasks: 4, demand })] })
  for (const run of harness.scheduler.collectDueStops()) harness.scheduler.handleStopResponse(run, true)
  assert.deepEqual(harness.startReadyTasks(), [])
  harness.now += 10
  const [first, ...others] = runs.map(run => run.task.name)
  harness.report('w1', { ended: [ended(1, String(first), 1, 'stopped')], running: others.map(name => running(name, 1)) })
  assert.deepEqual(harness.startReadyTasks(), [], 'two runs are still being stopped')
  harness.report('w1', { ended: others.map((name, number) => ended(2 + number, name, 1, 'stopped')) })
  assert.equal(harness.startReadyTasks().length, 2)
})

test('a start without a response counts against the capacity', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1', { capacity: SHRUNK }))
  harness.addJob({ steps: [step({ tasks: 1, demand: SHRUNK })] })
  harness.startWithoutResponse()
  harness.addJob({ id: OTHER_ID, steps: [step({ tasks: 1, demand })] })
  assert.deepEqual(harness.startReadyTasks(), [])
})

test('an isolated task gets no start that exceeds a capacity that has shrunk', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1', { capacity: FULL }))
  harness.addJob({ steps: [step({ tasks: 1, demand: { ...demand, cpu: 3_000 } })] })
  harness.startReadyTasks()
  harness.scheduler.endIncarnation(harness.worker('w1'))
  harness.persist()
  harness.scheduler.setWorkers([worker('w2', { capacity: SHRUNK })], { unknownRunsUntil: 0 })
  harness.report('w2')
  harness.now += 5_000
  assert.deepEqual(harness.startReadyTasks(), [])
  harness.scheduler.setWorkers([worker('w2', { capacity: FULL })], { unknownRunsUntil: 0 })
  harness.report('w2')
  assert.equal(harness.startReadyTasks().length, 1)
})

// A run whose job is not stored was told to stop, and new tasks were started beside it although its demand is not known.
test('a worker gets no starts while it lists runs of jobs that are not stored', () => {
  const harness = new SchedulerHarness({ term: 1 })
  harness.addWorkers(worker('w1', { capacity: FULL }))
  harness.scheduler.table.markNotStored(OTHER_ID)
  harness.addJob({ steps: [step({ tasks: 1, demand })] })
  const { orphans } = harness.report('w1', { running: [running(`${OTHER_ID}.0.0.0`, 1)] })
  assert.equal(orphans.length, 1)
  assert.deepEqual(harness.startReadyTasks(), [])
  harness.report('w1', { ended: [ended(1, `${OTHER_ID}.0.0.0`, 1, 'stopped')] })
  assert.equal(harness.startReadyTasks().length, 1)
})
