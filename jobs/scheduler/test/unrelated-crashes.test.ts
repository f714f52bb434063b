import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Run } from '@wisteriaslip/jobs.scheduler'
import { CrashModel } from './crash-model.ts'
import { ended, job, running, SchedulerHarness, step, worker } from './harness.ts'

const JOB = '00000000000000aa'
const TASK = `${JOB}.0.0.0`
const demand = { cpu: 1_000, memMb: 100, accelerators: 0 }
/** The users' limit for a long-running task that runs nowhere although it could: 3 s after 4 s without disruptions. */
const MAX_WAIT_MS = 7_000
/** Workers of the crash model are back this long after a crash. */
const RESTART_MS = 3_000

/**
 * A leader whose worker crashed just after the only task of a job had been started there.
 * @param others - workers that are there afterwards, in racks of their own
 */
function suspectTask (...others: string[]): SchedulerHarness {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.addJob({ id: JOB, steps: [step({ lasting: true, demand })] })
  assert.equal(harness.startReadyTasks().length, 1)
  harness.worker('w1').markUnreachable(harness.now)
  harness.scheduler.endIncarnation(harness.worker('w1'))
  harness.persist()
  harness.scheduler.setWorkers(others.map(id => worker(id, { rack: id })), { unknownRunsUntil: 0 })
  for (const id of others) harness.report(id)
  return harness
}

/** Lets a worker crash, as its leader sees it. */
function crash (harness: SchedulerHarness, id: string): void {
  harness.worker(id).markUnreachable(harness.now)
  harness.now += 300
  harness.scheduler.endIncarnation(harness.worker(id))
}

function outcome (harness: SchedulerHarness): string | undefined {
  return harness.scheduler.table.jobs.get(JOB)?.outcome
}

// A start without a response counted as what crashed its worker, whenever that crashed: the job was given up.
test('a job is not given up when its worker crashes long after an isolated start that got no response', () => {
  const harness = suspectTask('w2')
  assert.equal(harness.startWithoutResponse().isolation, 'start')
  harness.now += 100
  harness.report('w2')
  harness.now += 1_000
  crash(harness, 'w2')
  assert.equal(outcome(harness), undefined)
})

// An idle worker is noticed late to have died: an isolated task that was started there meanwhile was taken for the cause.
test('an isolated task is started only on a worker that has just responded', () => {
  const harness = suspectTask('w2')
  harness.now += 1_500
  assert.deepEqual(harness.startReadyTasks(), [])
  assert.deepEqual(harness.scheduler.takeWorkersToPoll().map(each => each.registration.id), ['w2'])
  harness.report('w2')
  assert.equal(harness.startReadyTasks().length, 1)
})

// Only workers of one rack were taken to have a common cause: the job was given up.
test('a job is not given up when workers of other racks crash together with that of its isolated task', () => {
  const harness = suspectTask('w2', 'w3', 'w4')
  const run = harness.startWithoutResponse()
  harness.now += 10
  for (const id of ['w2', 'w3', 'w4']) harness.worker(id).markUnreachable(harness.now)
  crash(harness, run.worker.registration.id)
  assert.equal(outcome(harness), undefined)
})

// Of workers that crash now and then, some have just been sent a suspected task: one such crash was proof enough.
test('where other workers crash as well, one crash at the start of an isolated task proves nothing', () => {
  const harness = suspectTask('w2', 'w3')
  crash(harness, 'w3')
  harness.now += 2_000
  harness.report('w2')
  const run = harness.startWithoutResponse()
  harness.now += 10
  crash(harness, run.worker.registration.id)
  assert.equal(outcome(harness), undefined)
})

/** Replaces the workers by new ones, which have responded. */
function replaceWorkers (harness: SchedulerHarness, ...ids: string[]): void {
  harness.persist()
  harness.scheduler.setWorkers(ids.map(id => worker(id, { rack: id })), { unknownRunsUntil: 0 })
  for (const id of ids) harness.report(id)
}

function startAlone (harness: SchedulerHarness): Run {
  const [run] = harness.startReadyTasks()
  assert.ok(run !== undefined)
  return run
}

// A crash was explained by any task that had just been started there, even if that had survived its next start, and failed later.
test('a crash is not explained by a task that has survived its start since', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.addJob({ id: '00000000000000bb', steps: [step({ lasting: true, demand })] })
  const { task } = startAlone(harness)
  crash(harness, 'w1')
  replaceWorkers(harness, 'w2')
  const { attempt } = startAlone(harness)
  for (const lists of [{ running: [running(task.name, attempt)] }, { running: [running(task.name, attempt)] }, { ended: [ended(1, task.name, attempt, 'failed')] }]) {
    harness.now += 100
    harness.report('w2', lists)
  }
  task.retryAt = Infinity
  harness.addJob({ id: JOB, steps: [step({ lasting: true, demand })] })
  startAlone(harness)
  crash(harness, 'w2')
  harness.now += 1_000
  replaceWorkers(harness, 'w3')
  assert.equal(startAlone(harness).isolation, 'start')
  crash(harness, 'w3')
  assert.equal(outcome(harness), undefined)
})

// A long-running task whose workers lost power three times was taken for the cause: its job was given up, and its other tasks stopped.
test('a job is not given up when a worker of a long-running task loses power three times, each time some seconds after its start', () => {
  const model = new CrashModel({ workers: 8, fuseMs: () => undefined })
  model.addJob(job({ id: JOB, steps: [step({ lasting: true, tasks: 3, perWorker: 1, mayMiss: 1, demand })] }))
  for (let times = 0; times < 3; times++) {
    model.run(6_500)
    model.crashWorkersWith(TASK)
  }
  model.run(10_000)
  assert.equal(model.outcome(JOB), undefined)
  assert.equal(model.scheduler.table.jobs.get(JOB)?.task({ occurrence: 0, step: 0, index: 0 })?.runs.length, 1)
})

// Crashes at ages between 0.1 and 1.5 s counted as about equal, so that a few coincidences gave a job up.
test('a job is not given up when the workers of its isolated task crash at different times after its start', () => {
  const model = new CrashModel({ workers: 6, fuseMs: () => undefined })
  model.addJob(job({ id: JOB, steps: [step({ lasting: true, demand })] }))
  for (const ms of [2_000, 2_000, 300, 1_100, 700, 1_500, 400]) {
    for (let waitedMs = 0; waitedMs < MAX_WAIT_MS && !model.isRunning(TASK); waitedMs += 10) model.run(10)
    model.run(ms)
    model.crashWorkersWith(TASK)
    model.run(10)
  }
  model.run(MAX_WAIT_MS)
  assert.equal(model.outcome(JOB), undefined)
})

// Suspected tasks of a job were started one after the other, two seconds apart: the last of twenty ran after 40 s.
test('all long-running tasks of a job run soon after crashes of all its workers, two of each', () => {
  const model = new CrashModel({ workers: 4, fuseMs: () => undefined })
  model.addJob(job({ id: JOB, steps: [step({ lasting: true, tasks: 20, perWorker: 5, demand })] }))
  for (let times = 0; times < 2; times++) {
    model.run(10_000)
    for (const number of [0, 1, 2, 3]) {
      model.crashRack(`r${number}`)
      model.run(400)
    }
  }
  model.run(RESTART_MS + MAX_WAIT_MS)
  const tasks = model.scheduler.table.jobs.get(JOB)?.occurrences.get(0)?.steps[0]?.tasks ?? []
  assert.deepEqual(tasks.filter(task => task.runs.length === 0).map(task => task.name), [])
})

// Two starts of suspected tasks that got no response held up the others of their job for two seconds each.
test('a suspected task whose worker responds without running it does not hold up the others of its job', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.addJob({ id: JOB, steps: [step({ lasting: true, tasks: 2, demand })] })
  assert.equal(harness.startReadyTasks().length, 2)
  crash(harness, 'w1')
  harness.persist()
  harness.scheduler.setWorkers(['w2', 'w3'].map(id => worker(id)), { unknownRunsUntil: 0 })
  for (const id of ['w2', 'w3']) harness.report(id)
  const first = harness.startWithoutResponse()
  harness.now += 100
  for (const id of ['w2', 'w3']) harness.report(id)
  assert.deepEqual(harness.startReadyTasks().map(run => run.worker === first.worker), [false])
})
