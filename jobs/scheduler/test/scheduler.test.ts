import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Bench, ended, job, limits, running, step, worker } from './harness.ts'

const ID = '00000000000000aa'
const TASK = `${ID}.0.0.0`

test('a run that an earlier leader started is adopted, and not started again', () => {
  const bench = new Bench({ term: 1 })
  bench.admit({}, { acceptedThisTerm: false })
  bench.scheduler.setWorkers([worker('w1'), worker('w2')], { unknownRunsUntil: bench.now + 6_000 })
  const held = bench.worker('w1')
  bench.scheduler.applyReport(held, { clockMs: 500_000, born: 1, running: [running(TASK, 1)], ended: [] }, { sentAt: bench.now, receivedAt: bench.now })
  bench.report('w2')
  bench.now += 50
  bench.scheduler.tick()
  assert.deepEqual(bench.startAll(), [])
  assert.equal(held.runs.size, 1)
})

test('nothing of an earlier leader is started while a worker has not answered', () => {
  const bench = new Bench({ term: 1 })
  bench.admit({}, { acceptedThisTerm: false })
  bench.admit({ id: '00000000000000bb' }, { acceptedThisTerm: true })
  bench.scheduler.setWorkers([worker('w1'), worker('w2')], { unknownRunsUntil: bench.now + 6_000 })
  bench.report('w2')
  assert.deepEqual(bench.startAll().map(run => run.task.name), ['00000000000000bb.0.0.0'])
  bench.now += 6_001
  bench.report('w2', { running: [running('00000000000000bb.0.0.0', 10_001)] })
  bench.scheduler.tick()
  assert.deepEqual(bench.startAll().map(run => run.task.name), [TASK])
})

test('steps start in their order, and the job is completed only when its record is durable', () => {
  const bench = new Bench()
  bench.meet(worker('w1'))
  bench.admit({ steps: [step({ tasks: 2 }), step({ after: [0] })] })
  assert.equal(bench.scheduler.table.stateOf(ID), 'queued')
  assert.equal(bench.startAll().length, 2)
  bench.report('w1', { ended: [ended(1, `${ID}.0.0.0`, 1)], running: [running(`${ID}.0.0.1`, 1)] })
  assert.equal(bench.startAll().length, 0)
  bench.report('w1', { ended: [ended(2, `${ID}.0.0.1`, 1)] })
  assert.deepEqual(bench.startAll().map(run => run.task.name), [`${ID}.0.1.0`])
  bench.report('w1', { ended: [ended(3, `${ID}.0.1.0`, 1)] })
  assert.equal(bench.scheduler.table.stateOf(ID), 'running')
  assert.equal(bench.worker('w1').seenSeq(), 0)
  for (const { tracked, ends } of bench.scheduler.table.takeDirty()) bench.scheduler.table.markDurable(tracked, tracked.outcome, ends)
  assert.equal(bench.scheduler.table.stateOf(ID), 'completed')
  assert.equal(bench.worker('w1').seenSeq(), 3)
})

test('a start without an answer keeps its task until a stop was answered and a later look does not show it', () => {
  const bench = new Bench()
  bench.meet(worker('w1'), worker('w2'))
  bench.admit()
  const run = bench.loseStart()
  bench.now += 100
  bench.report(run.worker.registration.id)
  assert.deepEqual(bench.scheduler.placeReadyTasks(), [])
  assert.deepEqual(bench.scheduler.collectDueStops(), [run])
  bench.report(run.worker.registration.id)
  assert.deepEqual(bench.scheduler.placeReadyTasks(), [], 'the stop is not answered')
  bench.scheduler.handleStopResponse(run, true)
  bench.report(run.worker.registration.id, { sentAt: bench.now })
  assert.deepEqual(bench.scheduler.placeReadyTasks(), [], 'the look left no later than the answer came')
  bench.now += 1
  bench.report(run.worker.registration.id)
  const [again] = bench.scheduler.placeReadyTasks()
  assert.equal(again?.attempt, run.attempt + 1)
})

test('tasks of a worker that cannot be reached are free when its lease is surely over', () => {
  const bench = new Bench()
  bench.meet(worker('w1'))
  bench.admit()
  assert.equal(bench.startAll().length, 1)
  bench.worker('w1').reachable = false
  bench.scheduler.setWorkers([worker('w1'), worker('w2')], { unknownRunsUntil: 0 })
  bench.now += 3_900
  bench.report('w2')
  bench.scheduler.tick()
  assert.equal(bench.worker('w1').runs.size, 1)
  bench.now += 300
  bench.scheduler.tick()
  assert.equal(bench.worker('w1').runs.size, 0)
  assert.equal(bench.startAll()[0]?.worker.registration.id, 'w2')
})

test('an end that is listed again after a takeover counts once', () => {
  const bench = new Bench({ term: 1 })
  bench.scheduler.setWorkers([worker('w1')], { unknownRunsUntil: bench.now + 6_000 })
  bench.scheduler.table.addJob(job(), {
    acceptedThisTerm: false,
    progress: { tasks: { '0.0.0': { failedAttempts: [1] } }, stepsDone: [], occurrencesEnded: [] }
  })
  bench.report('w1', { ended: [ended(1, TASK, 1, 'failed')] })
  assert.equal(bench.scheduler.table.stateOf(ID), 'running')
  bench.now += 200
  assert.equal(bench.startAll()[0]?.attempt, 10_001)
})

test('a job fails when a task has failed as often as its queue allows, and its other runs are stopped', () => {
  const bench = new Bench({ queue: { attempts: 1 } })
  bench.meet(worker('w1'))
  bench.admit({ steps: [step({ tasks: 2 })] })
  const runs = bench.startAll()
  bench.report('w1', { ended: [ended(1, `${ID}.0.0.0`, 1, 'failed')], running: [running(`${ID}.0.0.1`, 1)] })
  assert.deepEqual(bench.scheduler.collectDueStops(), [runs[1]])
  const [dirty] = bench.scheduler.table.takeDirty()
  assert.equal(dirty?.tracked.outcome, 'failed')
})

test('a job that is cancelled before the leader hears of it never starts', () => {
  const bench = new Bench()
  bench.meet(worker('w1'))
  bench.scheduler.table.cancel(ID)
  bench.admit()
  assert.deepEqual(bench.startAll(), [])
  assert.equal(bench.scheduler.table.stateOf(ID), 'cancelled')
})

test('a gang starts only with room for all of it, under one attempt', () => {
  const bench = new Bench()
  bench.meet(worker('w1'))
  bench.admit({ steps: [step({ tasks: 6, gang: true })] })
  assert.deepEqual(bench.startAll(), [])
  assert.equal(bench.worker('w1').runs.size, 0)
  bench.meet(worker('w1'), worker('w2'))
  const runs = bench.startAll()
  assert.equal(runs.length, 6)
  assert.equal(new Set(runs.map(run => run.attempt)).size, 1)
  bench.report(runs[0]?.worker.registration.id ?? '', { ended: [ended(1, runs[0]?.task.name ?? '', runs[0]?.attempt ?? 0)] })
  assert.equal(bench.scheduler.table.takeDirty()[0]?.tracked.outcome, 'completed')
})

test('a scheduled job starts when it is due, and each time of it once', () => {
  const bench = new Bench()
  bench.meet(worker('w1'))
  bench.admit({ schedule: { times: 2, firstMs: 12_000, everyMs: 1_000 } })
  bench.scheduler.tick()
  assert.deepEqual(bench.startAll(), [])
  bench.now = 12_000
  bench.scheduler.tick()
  assert.deepEqual(bench.startAll().map(run => run.task.name), [TASK])
  bench.now = 13_000
  bench.scheduler.tick()
  assert.deepEqual(bench.startAll().map(run => run.task.name), [`${ID}.1.0.0`])
})

test('a lasting task is started again however it ends, and is stopped for maintenance only within what may be missed', () => {
  const bench = new Bench()
  bench.meet(worker('w1'), worker('w2'), worker('w3'))
  bench.admit({ steps: [step({ tasks: 2, lasting: true, mayMiss: 1, perWorker: 1 })] })
  const runs = bench.startAll()
  assert.equal(runs.length, 2)
  for (const run of runs) bench.report(run.worker.registration.id, { running: [running(run.task.name, run.attempt, 100)] })
  bench.scheduler.stopLongRunningTasks(bench.worker('w1'))
  bench.scheduler.stopLongRunningTasks(bench.worker('w2'))
  assert.deepEqual(bench.scheduler.collectDueStops().map(run => run.worker.registration.id), ['w1'])
  bench.now += 100
  bench.report('w1', { ended: [ended(1, bench.scheduler.collectDueStops()[0]?.task.name ?? runs[0]?.task.name ?? '', 1, 'stopped')] })
  assert.equal(bench.startAll().length, 1)
})

test('an end of a step that an earlier leader had closed closes no other step', () => {
  const bench = new Bench({ term: 1 })
  bench.scheduler.setWorkers([worker('w1')], { unknownRunsUntil: bench.now + 6_000 })
  bench.scheduler.table.addJob(job({ steps: [step(), step({ after: [0] })] }), {
    acceptedThisTerm: false,
    progress: { tasks: {}, stepsDone: ['0.0'], occurrencesEnded: [] }
  })
  bench.report('w1', { ended: [ended(1, TASK, 1)] })
  assert.equal(bench.scheduler.table.jobs.get(ID)?.outcome, undefined)
  const [run] = bench.startAll()
  assert.equal(run?.task.name, `${ID}.0.1.0`)
  bench.report('w1', { ended: [ended(2, `${ID}.0.1.0`, 10_001)] })
  assert.equal(bench.scheduler.table.jobs.get(ID)?.outcome, 'completed')
})

test('a lasting task on a worker that does not answer counts as missing', () => {
  const bench = new Bench()
  bench.meet(worker('w1'), worker('w2'))
  bench.admit({ steps: [step({ tasks: 2, lasting: true, mayMiss: 1, perWorker: 1 })] })
  for (const run of bench.startAll()) bench.report(run.worker.registration.id, { running: [running(run.task.name, run.attempt, 100)] })
  bench.worker('w2').reachable = false
  bench.scheduler.stopLongRunningTasks(bench.worker('w1'))
  assert.deepEqual(bench.scheduler.collectDueStops(), [])
})

test('a lasting task is not stopped for maintenance while no other worker could take it', () => {
  const bench = new Bench()
  bench.meet(worker('w1'), worker('w2'))
  bench.admit({ steps: [step({ tasks: 2, lasting: true, mayMiss: 1, perWorker: 1 })] })
  for (const run of bench.startAll()) bench.report(run.worker.registration.id, { running: [running(run.task.name, run.attempt, 100)] })
  bench.scheduler.stopLongRunningTasks(bench.worker('w1'))
  assert.deepEqual(bench.scheduler.collectDueStops(), [])
  bench.scheduler.setWorkers([worker('w1'), worker('w2'), worker('w3')], { unknownRunsUntil: 0 })
  bench.report('w3')
  bench.scheduler.stopLongRunningTasks(bench.worker('w1'))
  assert.equal(bench.scheduler.collectDueStops().length, 1)
})

test('runs that stand still or are slow are started elsewhere, once, and their worker rests', () => {
  const bench = new Bench()
  bench.meet(worker('w1'), worker('w2'))
  bench.worker('w2').restUntil = bench.now + 500
  bench.admit()
  bench.admit({ id: '00000000000000bb' })
  const runs = bench.startAll()
  assert.deepEqual(runs.map(run => run.worker.registration.id), ['w1', 'w1'])
  const names = runs.map(run => run.task.name)
  bench.now += 600
  bench.report('w1', { running: names.map(name => running(name, 1, 10)) })
  bench.report('w2')
  assert.deepEqual(bench.scheduler.collectDueStops().map(run => run.stopReason), ['slow', 'slow'])
  assert.equal(bench.worker('w1').takesStarts(bench.now), false)
  bench.report('w1', { ended: names.map((name, at) => ended(at + 1, name, 1, 'stopped')) })
  assert.deepEqual(bench.startAll().map(run => run.worker.registration.id), ['w2', 'w2'])
  bench.now += 3_000
  bench.report('w2', { running: names.map(name => running(name, 2, 10)) })
  assert.deepEqual(bench.scheduler.collectDueStops(), [])
})

test('runs at their usual speed are left alone', () => {
  const bench = new Bench()
  bench.meet(worker('w1'), worker('w2'))
  bench.admit()
  const [run] = bench.startAll()
  bench.now += 900
  bench.report('w1', { running: [running(run?.task.name ?? '', 1, 45)] })
  assert.deepEqual(bench.scheduler.collectDueStops(), [])
})

test('a busy leader, which hears late, does not take runs for slow', () => {
  const bench = new Bench()
  bench.meet(worker('w1'), worker('w2'))
  bench.admit({ steps: [step({ estimateMs: 400 })] })
  const [run] = bench.scheduler.placeReadyTasks()
  assert.ok(run !== undefined)
  const held = bench.worker('w1')
  bench.now += 600
  held.recordClock(10_500, bench.now)
  bench.scheduler.handleStartResponse(run, undefined)
  bench.now += 900
  bench.scheduler.applyReport(held, { clockMs: 10_800, born: 1, running: [running(run.task.name, 1, 70)], ended: [] }, { sentAt: bench.now - 800, receivedAt: bench.now })
  assert.deepEqual(bench.scheduler.collectDueStops(), [])
  bench.now += 900
  bench.scheduler.applyReport(held, { clockMs: 10_850, born: 1, running: [running(run.task.name, 1, 70)], ended: [] }, { sentAt: bench.now - 800, receivedAt: bench.now })
  assert.deepEqual(bench.scheduler.collectDueStops(), [])
})

test('a worker that fails what others run rests, and a failed task goes elsewhere', () => {
  const bench = new Bench({ queue: { attempts: 3 } })
  bench.meet(worker('w1'), worker('w2'))
  bench.admit({ steps: [step({ tasks: 2 })] })
  const runs = bench.startAll()
  bench.report('w1', { ended: runs.map((run, at) => ended(at + 1, run.task.name, 1, 'failed')) })
  bench.now += 150
  assert.equal(bench.worker('w1').takesStarts(bench.now), false)
  assert.deepEqual(bench.startAll().map(run => run.worker.registration.id), ['w2', 'w2'])
})

test('a start without an answer stays unsettled when its worker starts anew, until the new life has barred it', () => {
  const bench = new Bench()
  bench.meet(worker('w1'))
  bench.admit()
  const run = bench.loseStart()
  bench.scheduler.endIncarnation(run.worker)
  bench.scheduler.setWorkers([worker('w1', { born: 2 }), worker('w2')], { unknownRunsUntil: 0 })
  const next = bench.worker('w1')
  bench.report('w2')
  bench.scheduler.applyReport(next, { clockMs: 1, born: 2, running: [], ended: [] }, { sentAt: bench.now, receivedAt: bench.now })
  bench.now += 100
  bench.scheduler.tick()
  assert.deepEqual(bench.startAll(), [])
  const [carried] = bench.scheduler.collectDueStops()
  assert.equal(carried?.worker, next)
  bench.scheduler.handleStopResponse(carried as typeof run, true)
  bench.now += 100
  bench.report('w1')
  assert.equal(bench.startAll().length, 1)
})

test('a queue with a policy starts only where it has a permit, and asks again when one is refused', () => {
  const bench = new Bench({ queue: { needsPermit: true } })
  bench.meet(worker('w1'), worker('w2'))
  bench.admit()
  assert.deepEqual(bench.startAll(), [])
  const [question] = bench.scheduler.collectPermitRequests()
  assert.ok(question !== undefined)
  assert.equal(question.name, `${ID}.0.0`)
  assert.deepEqual(bench.scheduler.collectPermitRequests(), [], 'one question at a time')
  bench.scheduler.handlePermitResponse(question, { permits: new Map([['w2', 'permit']]), validMs: 3_000 })
  const [run] = bench.scheduler.placeReadyTasks()
  assert.equal(run?.worker.registration.id, 'w2')
  bench.scheduler.handleStartResponse(run as NonNullable<typeof run>, { kind: 'refused', reason: 'permit' })
  bench.now += 100
  assert.deepEqual(bench.scheduler.placeReadyTasks(), [])
  assert.equal(bench.scheduler.collectPermitRequests()[0]?.workers.some(named => named.registration.id === 'w2'), true)
})

test('a start without an answer at a worker that ended for good is free again in time', () => {
  const bench = new Bench()
  bench.meet(worker('w1'))
  bench.admit()
  const run = bench.loseStart()
  bench.scheduler.setWorkers([worker('w2')], { unknownRunsUntil: 0 })
  bench.scheduler.endIncarnation(run.worker)
  bench.report('w2')
  bench.scheduler.tick()
  assert.deepEqual(bench.startAll(), [])
  bench.now += 2 * limits.longestLeaseMs
  bench.report('w2')
  bench.scheduler.tick()
  assert.equal(bench.startAll().length, 1)
})

test('a run whose end stands behind that of a job to be looked up does not count as vanished', () => {
  const bench = new Bench()
  bench.meet(worker('w1'))
  bench.admit()
  const [run] = bench.startAll()
  bench.now += 100
  const ends = [ended(1, '00000000000000ff.0.0.0', 1), ended(2, run?.task.name ?? '', 1)]
  assert.deepEqual(bench.report('w1', { ended: ends }).unknownJobs, ['00000000000000ff'])
  assert.deepEqual(bench.startAll(), [])
  bench.scheduler.table.markNotStored('00000000000000ff')
  bench.report('w1', { ended: ends })
  assert.equal(bench.scheduler.table.jobs.get(ID)?.outcome, 'completed')
})

test('a lasting task that needs much room is not kept out by small ones that take each bit that frees', () => {
  const bench = new Bench()
  bench.meet(worker('w1'), worker('w2'))
  const small = step({ tasks: 4, demand: { cpu: 500, memMb: 2_000, accelerators: 0 } })
  for (let number = 0; number < 8; number++) bench.admit({ id: `00000000000001${String(number).padStart(2, '0')}`, steps: [small] })
  const running = new Map(bench.startAll().map((run, number) => [run, number]))
  bench.admit({ id: '00000000000000bb', steps: [step({ lasting: true, demand: { cpu: 500, memMb: 6_000, accelerators: 0 } })] })
  let seq = 0
  for (let turn = 0; turn < 24; turn++) {
    bench.now += 100
    const [oldest] = running.keys()
    if (oldest === undefined) break
    running.delete(oldest)
    seq += 1
    const held = [...oldest.worker.runs.values()].filter(run => run !== oldest).map(run => ({ task: run.task.name, attempt: run.attempt, checkpoint: '', percent: 90, load: 0 }))
    bench.report(oldest.worker.registration.id, { ended: [ended(seq, oldest.task.name, oldest.attempt)], running: held })
    for (const run of bench.startAll()) running.set(run, turn)
    if ([...running.keys()].some(run => run.task.step.spec.lasting)) return
  }
  assert.fail('it never ran')
})
