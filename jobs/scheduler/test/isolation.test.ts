import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SchedulerHarness, running, step, worker } from './harness.ts'

const JOB = '00000000000000aa'
const demand = { cpu: 1_000, memMb: 100, accelerators: 0 }
/** A task for which there is capacity must not wait for longer. */
const MAX_WAIT_MS = 3_000
const PASS_MS = 100

/** A leader with suspected long-running tasks: their worker crashed when they had just been started. */
function suspectTasks (tasks: number, ...workers: string[]) {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.addJob({ steps: [step({ lasting: true, tasks, demand })] })
  assert.equal(harness.startReadyTasks().length, tasks)
  harness.scheduler.endIncarnation(harness.worker('w1'))
  harness.persist()
  harness.scheduler.setWorkers(workers.map(id => worker(id)), { unknownRunsUntil: 0 })
  for (const id of workers) harness.report(id)
  return harness
}

// Suspected tasks of a job waited for one whose start had got no response from a worker that was dead, for two of the longest leases.
test('a suspected task does not wait for another whose start gets no response for long', () => {
  const harness = suspectTasks(2, 'w2', 'w3')
  const first = harness.startWithoutResponse()
  first.worker.markUnreachable(harness.now)
  const other = first.worker.registration.id === 'w2' ? 'w3' : 'w2'
  for (const startedAt = harness.now; harness.now < startedAt + MAX_WAIT_MS; harness.now += PASS_MS) {
    harness.report(other)
    const [run] = harness.startReadyTasks()
    if (run !== undefined) return
  }
  assert.fail('the other task was not started')
})

test('a suspected task is started beside another suspected one if there is no other worker', () => {
  const harness = suspectTasks(1, 'w2')
  harness.addJob({ id: '00000000000000bb', steps: [step({ lasting: true, demand })] })
  const other = [...harness.scheduler.table.jobs.get('00000000000000bb')?.occurrences.get(0)?.steps[0]?.tasks ?? []][0]
  assert.ok(other !== undefined)
  other.crashes = [{ worker: 'a', survivedMs: 500 }, { worker: 'b', survivedMs: 500 }]
  other.step.suspects = 1
  const started = new Map<string, number>()
  for (const startedAt = harness.now; harness.now < startedAt + 3 * MAX_WAIT_MS; harness.now += PASS_MS) {
    harness.report('w2', { running: [...started].map(([task, attempt]) => running(task, attempt)) })
    for (const run of harness.startReadyTasks()) started.set(run.task.name, run.attempt)
  }
  assert.equal(started.size, 2)
})

// An idle worker that has died is noticed late: a start that is sent there gets no response, and its task waits.
for (const heard of ['w2', 'w3']) {
  test(`of two empty workers the one that responded last gets an isolated task (${heard})`, () => {
    const harness = suspectTasks(1, 'w2', 'w3')
    harness.now += 1_500
    harness.report(heard)
    assert.deepEqual(harness.startReadyTasks().map(run => run.worker.registration.id), [heard])
  })
}

// Each of a job's trials kept its worker closed for two seconds, one after the other: a task of another job waited for all of them.
test('trials of one job do not keep a worker from others for long', () => {
  const harness = suspectTasks(3, 'w2')
  for (const task of harness.scheduler.table.jobs.get(JOB)?.occurrences.get(0)?.steps[0]?.tasks ?? []) task.crashes = [{ worker: 'a', survivedMs: 500 }, { worker: 'b', survivedMs: 500 }]
  const started = new Map<string, number>()
  const startedAt = harness.now
  while (harness.now < startedAt + MAX_WAIT_MS) {
    harness.report('w2', { running: [...started].map(([task, attempt]) => running(task, attempt)) })
    for (const run of harness.startReadyTasks()) started.set(run.task.name, run.attempt)
    if (harness.now === startedAt + PASS_MS) harness.addJob({ id: '00000000000000bb', steps: [step({ demand })] })
    harness.now += PASS_MS
  }
  assert.ok(started.has('00000000000000bb.0.0.0'))
})

// After a takeover, suspected tasks waited for the workers of earlier leaders, and only then began to wait for each other.
test('suspected tasks that have waited for a takeover do not wait for each other as well', () => {
  const harness = new SchedulerHarness({ term: 1 })
  harness.addJob({ id: JOB, steps: [step({ lasting: true, tasks: 3, demand })] }, { acceptedThisTerm: false })
  const tasks = harness.scheduler.table.jobs.get(JOB)?.occurrences.get(0)?.steps[0]
  assert.ok(tasks !== undefined)
  for (const task of tasks.tasks) task.crashes = [{ worker: 'a', survivedMs: 500 }, { worker: 'b', survivedMs: 500 }]
  tasks.suspects = 3
  harness.scheduler.setWorkers(['w1', 'w2'].map(id => worker(id)), { unknownRunsUntil: harness.now + 5_000 })
  for (const until = harness.now + 5_000; harness.now < until; harness.now += PASS_MS) {
    harness.report('w1')
    assert.deepEqual(harness.startReadyTasks(), [])
  }
  harness.report('w1')
  assert.equal(harness.startReadyTasks().length, 3)
})
