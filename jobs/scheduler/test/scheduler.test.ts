import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SchedulerHarness, ended, job, running, step, worker } from './harness.ts'

const ID = '00000000000000aa'
const TASK = `${ID}.0.0.0`

test('a run started by an earlier leader is adopted and not started again', () => {
  const harness = new SchedulerHarness({ term: 1 })
  harness.addJob({}, { acceptedThisTerm: false })
  harness.scheduler.setWorkers([worker('w1'), worker('w2')], { unknownRunsUntil: harness.now + 6_000 })
  const held = harness.worker('w1')
  harness.scheduler.applyReport(held, { moreEnded: false, clockMs: 500_000, born: 1, running: [running(TASK, 1)], ended: [] }, { sentAt: harness.now, receivedAt: harness.now })
  harness.report('w2')
  harness.now += 50
  harness.scheduler.tick()
  assert.deepEqual(harness.startReadyTasks(), [])
  assert.equal(held.runs.size, 1)
})

test('jobs of earlier terms do not start while a worker has not responded and may execute their runs', () => {
  const harness = new SchedulerHarness({ term: 1 })
  harness.addJob({}, { acceptedThisTerm: false })
  harness.addJob({ id: '00000000000000bb' }, { acceptedThisTerm: true })
  harness.scheduler.setWorkers([worker('w1'), worker('w2')], { unknownRunsUntil: harness.now + 6_000 })
  harness.report('w2')
  assert.deepEqual(harness.startReadyTasks().map(run => run.task.name), ['00000000000000bb.0.0.0'])
  harness.now += 6_001
  harness.report('w2', { running: [running('00000000000000bb.0.0.0', 10_001)] })
  harness.scheduler.tick()
  assert.deepEqual(harness.startReadyTasks().map(run => run.task.name), [TASK])
})

test('steps start in dependency order, and the job is completed only when its record is durable', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.addJob({ steps: [step({ tasks: 2 }), step({ after: [0] })] })
  assert.equal(harness.scheduler.table.stateOf(ID), 'queued')
  assert.equal(harness.startReadyTasks().length, 2)
  harness.report('w1', { ended: [ended(1, `${ID}.0.0.0`, 1)], running: [running(`${ID}.0.0.1`, 1)] })
  assert.equal(harness.startReadyTasks().length, 0)
  harness.report('w1', { ended: [ended(2, `${ID}.0.0.1`, 1)] })
  assert.deepEqual(harness.startReadyTasks().map(run => run.task.name), [`${ID}.0.1.0`])
  harness.report('w1', { ended: [ended(3, `${ID}.0.1.0`, 1)] })
  assert.equal(harness.scheduler.table.stateOf(ID), 'running')
  assert.equal(harness.worker('w1').seenSeq(), 0)
  for (const { tracked, completions } of harness.scheduler.table.takeDirty()) harness.scheduler.table.markDurable(tracked, tracked.outcome, completions)
  assert.equal(harness.scheduler.table.stateOf(ID), 'completed')
  assert.equal(harness.worker('w1').seenSeq(), 3)
})

test('a start without a response holds its task until a stop is acknowledged and a later poll does not list the run', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'), worker('w2'))
  harness.addJob()
  const run = harness.startWithoutResponse()
  harness.now += 100
  harness.report(run.worker.registration.id)
  assert.deepEqual(harness.scheduler.placeReadyTasks(), [])
  assert.deepEqual(harness.scheduler.collectDueStops(), [run])
  harness.report(run.worker.registration.id)
  assert.deepEqual(harness.scheduler.placeReadyTasks(), [], 'the stop is not acknowledged')
  harness.scheduler.handleStopResponse(run, true)
  harness.report(run.worker.registration.id, { sentAt: harness.now })
  assert.deepEqual(harness.scheduler.placeReadyTasks(), [], 'the poll was not sent after the acknowledgement')
  harness.now += 1
  harness.report(run.worker.registration.id)
  const [again] = harness.scheduler.placeReadyTasks()
  assert.equal(again?.attempt, run.attempt + 1)
})

test('tasks of an unreachable worker are released when its lease has certainly expired', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.addJob()
  assert.equal(harness.startReadyTasks().length, 1)
  harness.worker('w1').reachable = false
  harness.scheduler.setWorkers([worker('w1'), worker('w2')], { unknownRunsUntil: 0 })
  harness.now += 3_900
  harness.report('w2')
  harness.scheduler.tick()
  assert.equal(harness.worker('w1').runs.size, 1)
  harness.now += 300
  harness.scheduler.tick()
  assert.equal(harness.worker('w1').runs.size, 0)
  assert.equal(harness.startReadyTasks()[0]?.worker.registration.id, 'w2')
})

test('a completion that is reported again after a takeover counts once', () => {
  const harness = new SchedulerHarness({ term: 1 })
  harness.scheduler.setWorkers([worker('w1')], { unknownRunsUntil: harness.now + 6_000 })
  harness.scheduler.table.addJob(job(), {
    acceptedThisTerm: false,
    progress: { tasks: { '0.0.0': { failedAttempts: [1] } }, stepsDone: [], occurrencesEnded: [] }
  })
  harness.report('w1', { ended: [ended(1, TASK, 1, 'failed')] })
  assert.equal(harness.scheduler.table.stateOf(ID), 'running')
  harness.now += 200
  assert.equal(harness.startReadyTasks()[0]?.attempt, 10_001)
})

test('a job fails when a task reaches the attempt limit of its queue, and its other runs are stopped', () => {
  const harness = new SchedulerHarness({ queue: { attempts: 1 } })
  harness.addWorkers(worker('w1'))
  harness.addJob({ steps: [step({ tasks: 2 })] })
  const runs = harness.startReadyTasks()
  harness.report('w1', { ended: [ended(1, `${ID}.0.0.0`, 1, 'failed')], running: [running(`${ID}.0.0.1`, 1)] })
  assert.deepEqual(harness.scheduler.collectDueStops(), [runs[1]])
  const [dirty] = harness.scheduler.table.takeDirty()
  assert.equal(dirty?.tracked.outcome, 'failed')
})

test('a job that is cancelled before the leader learns of it never starts', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.scheduler.table.cancel(ID)
  harness.addJob()
  assert.deepEqual(harness.startReadyTasks(), [])
  assert.equal(harness.scheduler.table.stateOf(ID), 'cancelled')
})

test('a gang starts only when there is capacity for all its tasks, with one attempt number', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.addJob({ steps: [step({ tasks: 6, gang: true })] })
  assert.deepEqual(harness.startReadyTasks(), [])
  assert.equal(harness.worker('w1').runs.size, 0)
  harness.addWorkers(worker('w1'), worker('w2'))
  const runs = harness.startReadyTasks()
  assert.equal(runs.length, 6)
  assert.equal(new Set(runs.map(run => run.attempt)).size, 1)
  harness.report(runs[0]?.worker.registration.id ?? '', { ended: [ended(1, runs[0]?.task.name ?? '', runs[0]?.attempt ?? 0)] })
  assert.equal(harness.scheduler.table.takeDirty()[0]?.tracked.outcome, 'completed')
})

test('each occurrence of a scheduled job starts once, when it is due', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.addJob({ schedule: { times: 2, firstMs: 12_000, everyMs: 1_000 } })
  harness.scheduler.tick()
  assert.deepEqual(harness.startReadyTasks(), [])
  harness.now = 12_000
  harness.scheduler.tick()
  assert.deepEqual(harness.startReadyTasks().map(run => run.task.name), [TASK])
  harness.now = 13_000
  harness.scheduler.tick()
  assert.deepEqual(harness.startReadyTasks().map(run => run.task.name), [`${ID}.1.0.0`])
})

// The other tasks of an occurrence were never started if a worker's report of a run had opened it before it was due.
test('an occurrence whose run is reported before it is due starts its other tasks when it is due', () => {
  for (const due of [12_000, 10_000]) {
    const harness = new SchedulerHarness({ term: 1 })
    harness.addWorkers(worker('w1'))
    harness.addJob({ steps: [step({ tasks: 2 }), step({ after: [0] })], schedule: { times: 1, firstMs: due, everyMs: 1_000 } })
    harness.report('w1', { running: [running(TASK, 1)] })
    harness.now += 100
    harness.report('w1', { ended: [ended(1, TASK, 1)] })
    harness.now = Math.max(harness.now, due - 1)
    harness.scheduler.tick()
    if (harness.now < due) assert.deepEqual(harness.startReadyTasks(), [])
    harness.now += 1
    harness.scheduler.tick()
    const [run] = harness.startReadyTasks()
    assert.equal(run?.task.name, `${ID}.0.0.1`)
    harness.now += 100
    harness.report('w1', { ended: [ended(2, `${ID}.0.0.1`, run?.attempt ?? 0)] })
    assert.deepEqual(harness.startReadyTasks().map(next => next.task.name), [`${ID}.0.1.0`])
  }
})

test('a long-running task is restarted whatever its outcome, and stopped for maintenance only within mayMiss', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'), worker('w2'), worker('w3'))
  harness.addJob({ steps: [step({ tasks: 2, lasting: true, mayMiss: 1, perWorker: 1 })] })
  const runs = harness.startReadyTasks()
  assert.equal(runs.length, 2)
  for (const run of runs) harness.report(run.worker.registration.id, { running: [running(run.task.name, run.attempt, 100)] })
  harness.scheduler.stopLongRunningTasks(harness.worker('w1'))
  harness.scheduler.stopLongRunningTasks(harness.worker('w2'))
  assert.deepEqual(harness.scheduler.collectDueStops().map(run => run.worker.registration.id), ['w1'])
  harness.now += 100
  harness.report('w1', { ended: [ended(1, harness.scheduler.collectDueStops()[0]?.task.name ?? runs[0]?.task.name ?? '', 1, 'stopped')] })
  assert.equal(harness.startReadyTasks().length, 1)
})

test('a completion in a step that is already done does not complete another step', () => {
  const harness = new SchedulerHarness({ term: 1 })
  harness.scheduler.setWorkers([worker('w1')], { unknownRunsUntil: harness.now + 6_000 })
  harness.scheduler.table.addJob(job({ steps: [step(), step({ after: [0] })] }), {
    acceptedThisTerm: false,
    progress: { tasks: {}, stepsDone: ['0.0'], occurrencesEnded: [] }
  })
  harness.report('w1', { ended: [ended(1, TASK, 1)] })
  assert.equal(harness.scheduler.table.jobs.get(ID)?.outcome, undefined)
  const [run] = harness.startReadyTasks()
  assert.equal(run?.task.name, `${ID}.0.1.0`)
  harness.report('w1', { ended: [ended(2, `${ID}.0.1.0`, 10_001)] })
  assert.equal(harness.scheduler.table.jobs.get(ID)?.outcome, 'completed')
})

test('a long-running task on an unresponsive worker counts as unavailable', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'), worker('w2'))
  harness.addJob({ steps: [step({ tasks: 2, lasting: true, mayMiss: 1, perWorker: 1 })] })
  for (const run of harness.startReadyTasks()) harness.report(run.worker.registration.id, { running: [running(run.task.name, run.attempt, 100)] })
  harness.worker('w2').reachable = false
  harness.scheduler.stopLongRunningTasks(harness.worker('w1'))
  assert.deepEqual(harness.scheduler.collectDueStops(), [])
})

test('a long-running task is not stopped for maintenance while no other worker can take it', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'), worker('w2'))
  harness.addJob({ steps: [step({ tasks: 2, lasting: true, mayMiss: 1, perWorker: 1 })] })
  for (const run of harness.startReadyTasks()) harness.report(run.worker.registration.id, { running: [running(run.task.name, run.attempt, 100)] })
  harness.scheduler.stopLongRunningTasks(harness.worker('w1'))
  assert.deepEqual(harness.scheduler.collectDueStops(), [])
  harness.scheduler.setWorkers([worker('w1'), worker('w2'), worker('w3')], { unknownRunsUntil: 0 })
  harness.report('w3')
  harness.scheduler.stopLongRunningTasks(harness.worker('w1'))
  assert.equal(harness.scheduler.collectDueStops().length, 1)
})

// Each stop counted on the same room: all tasks but one were stopped for nothing, and ran nowhere while their worker was drained.
test('long-running tasks on drained workers are not stopped for room that another one moves to', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'), worker('w2'))
  const demand = { cpu: 1_000, memMb: 4_000, accelerators: 0 }
  harness.addJob({ steps: [step({ tasks: 4, lasting: true, mayMiss: 4, demand })] })
  const runs = harness.startReadyTasks()
  assert.equal(runs.length, 4)
  for (const { registration: { id }, runs } of harness.scheduler.workers.values()) harness.report(id, { running: [...runs.values()].map(run => running(run.task.name, run.attempt, 100)) })
  harness.scheduler.setWorkers([worker('w1'), worker('w2'), worker('w3', { capacity: { cpu: 4_000, memMb: 5_000, accelerators: 0 } })], { unknownRunsUntil: 0 })
  harness.report('w3')
  for (const id of ['w1', 'w2']) harness.worker(id).withdraw(harness.now)
  for (const id of ['w1', 'w2', 'w1']) harness.scheduler.stopLongRunningTasks(harness.worker(id))
  assert.equal(harness.scheduler.collectDueStops().length, 1)
})

test('slow and stalled runs are restarted once on another worker, and their worker enters cooldown', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'), worker('w2'))
  harness.worker('w2').cooldownUntil = harness.now + 500
  harness.addJob()
  harness.addJob({ id: '00000000000000bb' })
  const runs = harness.startReadyTasks()
  assert.deepEqual(runs.map(run => run.worker.registration.id), ['w1', 'w1'])
  const names = runs.map(run => run.task.name)
  harness.now += 600
  harness.report('w1', { running: names.map(name => running(name, 1, 10)) })
  harness.report('w2')
  assert.deepEqual(harness.scheduler.collectDueStops().map(run => run.stopReason), ['slow', 'slow'])
  assert.equal(harness.worker('w1').takesStarts(harness.now), false)
  harness.report('w1', { ended: names.map((name, at) => ended(at + 1, name, 1, 'stopped')) })
  assert.deepEqual(harness.startReadyTasks().map(run => run.worker.registration.id), ['w2', 'w2'])
  harness.now += 3_000
  harness.report('w2', { running: names.map(name => running(name, 2, 10)) })
  assert.deepEqual(harness.scheduler.collectDueStops(), [])
})

// Slow runs that no other worker could take kept their worker from all starts until they ended.
test('slow runs count against their worker once, so that it takes starts again while they run on', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.addJob()
  harness.addJob({ id: '00000000000000bb' })
  const held = harness.startReadyTasks().map(run => running(run.task.name, 1, 10))
  harness.addJob({ id: '00000000000000cc', steps: [step({ lasting: true })] })
  const startedAt: number[] = []
  for (harness.now += 600; harness.now < 20_000; harness.now += 100) {
    harness.report('w1', { running: held })
    for (const run of harness.startReadyTasks()) {
      startedAt.push(harness.now)
      held.push(running(run.task.name, run.attempt, 100))
    }
  }
  assert.deepEqual(startedAt, [10_600 + 1_500])
})

test('runs at their usual speed are not restarted', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'), worker('w2'))
  harness.addJob()
  const [run] = harness.startReadyTasks()
  harness.now += 900
  harness.report('w1', { running: [running(run?.task.name ?? '', 1, 45)] })
  assert.deepEqual(harness.scheduler.collectDueStops(), [])
})

test('late processing by a busy leader does not make runs appear slow', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'), worker('w2'))
  harness.addJob({ steps: [step({ estimateMs: 400 })] })
  const [run] = harness.scheduler.placeReadyTasks()
  assert.ok(run !== undefined)
  const held = harness.worker('w1')
  harness.now += 600
  held.recordClock(10_500, harness.now)
  harness.confirmStart(run)
  harness.now += 900
  harness.scheduler.applyReport(held, { moreEnded: false, clockMs: 10_800, born: 1, running: [running(run.task.name, 1, 70)], ended: [] }, { sentAt: harness.now - 800, receivedAt: harness.now })
  assert.deepEqual(harness.scheduler.collectDueStops(), [])
  harness.now += 900
  harness.scheduler.applyReport(held, { moreEnded: false, clockMs: 10_850, born: 1, running: [running(run.task.name, 1, 70)], ended: [] }, { sentAt: harness.now - 800, receivedAt: harness.now })
  assert.deepEqual(harness.scheduler.collectDueStops(), [])
})

test('a worker with consecutive failures enters cooldown, and failed tasks restart on another worker', () => {
  const harness = new SchedulerHarness({ queue: { attempts: 3 } })
  harness.addWorkers(worker('w1'), worker('w2'))
  harness.addJob({ steps: [step({ tasks: 2 })] })
  const runs = harness.startReadyTasks()
  harness.report('w1', { ended: runs.map((run, at) => ended(at + 1, run.task.name, 1, 'failed')) })
  harness.now += 150
  assert.equal(harness.worker('w1').takesStarts(harness.now), false)
  assert.deepEqual(harness.startReadyTasks().map(run => run.worker.registration.id), ['w2', 'w2'])
})

// A restarted worker that was silent held back all jobs of earlier terms for two of the longest leases.
test('a queue with a policy starts tasks only where it has a permit, and requests a new one when a permit is rejected', () => {
  const harness = new SchedulerHarness({ queue: { needsPermit: true } })
  harness.addWorkers(worker('w1'), worker('w2'))
  harness.addJob()
  assert.deepEqual(harness.startReadyTasks(), [])
  const [request] = harness.scheduler.permitRequester.collect()
  assert.ok(request !== undefined)
  assert.equal(request.name, `${ID}.0.0`)
  assert.deepEqual(harness.scheduler.permitRequester.collect(), [], 'one request at a time')
  harness.scheduler.permitRequester.handleResponse(request, { permits: new Map([['w2', 'permit']]), validMs: 3_000 })
  const [run] = harness.scheduler.placeReadyTasks()
  assert.equal(run?.worker.registration.id, 'w2')
  harness.scheduler.handleStartResponse(run as NonNullable<typeof run>, { kind: 'refused', reason: 'permit' })
  harness.now += 100
  assert.deepEqual(harness.scheduler.placeReadyTasks(), [])
  assert.equal(harness.scheduler.permitRequester.collect()[0]?.workers.some(named => named.registration.id === 'w2'), true)
})

test('a run whose completion is queued behind that of an unknown job does not count as missing', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.addJob()
  const [run] = harness.startReadyTasks()
  harness.now += 100
  const ends = [ended(1, '00000000000000ff.0.0.0', 1), ended(2, run?.task.name ?? '', 1)]
  assert.deepEqual(harness.report('w1', { ended: ends }).unknownJobs, ['00000000000000ff'])
  assert.deepEqual(harness.startReadyTasks(), [])
  harness.scheduler.table.markNotStored('00000000000000ff')
  harness.report('w1', { ended: ends })
  assert.equal(harness.scheduler.table.jobs.get(ID)?.outcome, 'completed')
})

test('a large long-running task is not starved by small tasks that take all capacity that becomes free', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'), worker('w2'))
  const small = step({ tasks: 4, demand: { cpu: 500, memMb: 2_000, accelerators: 0 } })
  for (let number = 0; number < 8; number++) harness.addJob({ id: `00000000000001${String(number).padStart(2, '0')}`, steps: [small] })
  const running = new Map(harness.startReadyTasks().map((run, number) => [run, number]))
  harness.addJob({ id: '00000000000000bb', steps: [step({ lasting: true, demand: { cpu: 500, memMb: 6_000, accelerators: 0 } })] })
  let seq = 0
  for (let turn = 0; turn < 24; turn++) {
    harness.now += 100
    const [oldest] = running.keys()
    if (oldest === undefined) break
    running.delete(oldest)
    seq += 1
    const held = [...oldest.worker.runs.values()].filter(run => run !== oldest).map(run => ({ task: run.task.name, attempt: run.attempt, checkpoint: '', percent: 90, load: 0 }))
    harness.report(oldest.worker.registration.id, { ended: [ended(seq, oldest.task.name, oldest.attempt)], running: held })
    for (const run of harness.startReadyTasks()) running.set(run, turn)
    if ([...running.keys()].some(run => run.task.step.spec.lasting)) return
  }
  assert.fail('the long-running task never started')
})
