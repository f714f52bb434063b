import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LostWorkerDetector, type Run } from '@wisteriaslip/jobs.scheduler'
import { SchedulerHarness, ended, running, worker } from './harness.ts'

const TASK = '00000000000000aa.0.0.0'
/** The clock of the next incarnation starts anew. */
const NEW_CLOCK_MS = 40

/** A leader that has not noticed that w1 has restarted: the next incarnation has executed and confirmed a start. */
function startAtNextIncarnation () {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.addJob()
  harness.now += 700
  const [run] = harness.scheduler.placeReadyTasks()
  assert.ok(run !== undefined)
  harness.now += 10
  harness.scheduler.handleStartResponse(run, undefined, { clockMs: NEW_CLOCK_MS, sentAt: harness.now - 10 })
  harness.now += 100
  return { harness, run }
}

/** Registers the next incarnation of w1, beside an idle worker. */
function registerNextIncarnation (harness: SchedulerHarness): void {
  harness.scheduler.setWorkers([worker('w1', { born: 2 }), worker('w2')], { unknownRunsUntil: 0 })
  harness.persist()
  harness.report('w2')
}

function reportOfNextIncarnation (harness: SchedulerHarness, lists: { running?: Array<ReturnType<typeof running>>, ended?: Array<ReturnType<typeof ended>> }): void {
  harness.now += 10
  harness.scheduler.applyReport(harness.worker('w1'), { moreEnded: false, clockMs: NEW_CLOCK_MS + 110, born: 2, running: lists.running ?? [], ended: lists.ended ?? [] }, { sentAt: harness.now - 5, receivedAt: harness.now })
  harness.scheduler.tick()
}

const startedOn = (runs: readonly Run[]): string[] => runs.map(run => run.worker.registration.id)

// Starts that the next incarnation of a worker had confirmed were taken for lost with the previous one, and ran twice.
test('a start that the next incarnation of a worker has confirmed is not repeated elsewhere', () => {
  const { harness } = startAtNextIncarnation()
  registerNextIncarnation(harness)
  assert.deepEqual(harness.startReadyTasks(), [])
  reportOfNextIncarnation(harness, { running: [running(TASK, 1)] })
  assert.deepEqual(harness.startReadyTasks(), [])
  assert.deepEqual(harness.scheduler.collectDueStops(), [], 'it goes on where it runs')
  reportOfNextIncarnation(harness, { ended: [ended(1, TASK, 1)] })
  assert.equal(harness.scheduler.table.jobs.get('00000000000000aa')?.outcome, 'completed')
})

// The same, noticed by a poll before the next incarnation is registered.
test('a confirmed start is kept while only a poll has shown that its worker has restarted', () => {
  const { harness, run } = startAtNextIncarnation()
  harness.scheduler.setWorkers([worker('w1'), worker('w2')], { unknownRunsUntil: 0 })
  harness.report('w2')
  harness.scheduler.endIncarnation(run.worker)
  harness.persist()
  harness.scheduler.tick()
  assert.deepEqual(harness.startReadyTasks(), [])
})

test('a confirmed start that the next incarnation does not list is over', () => {
  const { harness } = startAtNextIncarnation()
  registerNextIncarnation(harness)
  reportOfNextIncarnation(harness, {})
  assert.equal(harness.startReadyTasks().length, 1)
})

test('a start that was confirmed with the clock of the incarnation that has ended is over', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.addJob()
  harness.now += 2_000
  const [run] = harness.scheduler.placeReadyTasks()
  assert.ok(run !== undefined)
  harness.scheduler.handleStartResponse(run, undefined, { clockMs: harness.now - 0.02 * 2_000, sentAt: harness.now })
  registerNextIncarnation(harness)
  assert.deepEqual(startedOn(harness.startReadyTasks()), ['w2'])
})

// Without an end to it, a start on a worker that is gone would keep its task for twice the longest lease.
for (const [name, isConfirmedBefore] of [['before', true], ['after', false]] as const) {
  test(`a start that was confirmed ${name} the lists of VMs were requested is ${isConfirmedBefore ? 'over' : 'kept'} when they show that its VM is down`, () => {
    const { harness, run } = startAtNextIncarnation()
    harness.scheduler.setWorkers([worker('w1'), worker('w2')], { unknownRunsUntil: 0 })
    const detector = new LostWorkerDetector(harness.scheduler, { now: () => harness.now })
    run.worker.markUnreachable(harness.now)
    if (!isConfirmedBefore) run.startCallEndedAt = harness.now + 1_000
    detector.needsVmList()
    for (let lists = 0; lists < 2; lists++) {
      harness.now += 150
      detector.needsVmList()
      detector.applyVmList([{ id: 'vm-w1', pool: 's', state: 'down', zone: 'z', rack: 'r1', labels: [], capacity: { cpu: 4_000, memMb: 8_000, accelerators: 0 }, worker: '' }], harness.now)
    }
    harness.persist()
    harness.report('w2')
    assert.deepEqual(startedOn(harness.startReadyTasks()), isConfirmedBefore ? ['w2'] : [])
  })
}

// Commands for the previous incarnation do not reach the next one, so that it holds no other lease than those that were meant for it.
test('runs of a restarted worker are released when its own lease has expired, and not before', () => {
  const { harness } = startAtNextIncarnation()
  registerNextIncarnation(harness)
  reportOfNextIncarnation(harness, { running: [running(TASK, 1)] })
  harness.worker('w1').extendLease(harness.now, 4_000)
  harness.worker('w1').markUnreachable(harness.now)
  harness.now += 4_000
  harness.report('w2')
  harness.scheduler.tick()
  assert.deepEqual(harness.startReadyTasks(), [])
  harness.now += 200
  harness.report('w2')
  harness.scheduler.tick()
  assert.equal(harness.startReadyTasks().length, 1)
})

// A start without a response was kept at the next incarnation, for up to twice the longest lease, although it cannot reach that one.
test('a start that was sent on a connection of its incarnation is over with that, and is not carried over', () => {
  for (const isSentHere of [true, false]) {
    const { harness, run } = startAtNextIncarnation()
    harness.scheduler.handleStartResponse(run, { kind: 'unknown', message: 'timeout' })
    run.sentHere = isSentHere
    registerNextIncarnation(harness)
    assert.equal(run.task.runs.length, isSentHere ? 0 : 1)
    assert.equal(harness.worker('w1').runs.size, isSentHere ? 0 : 1)
  }
})

// A leader that took over didn't ask workers that had restarted meanwhile before it started their tasks elsewhere.
test('after a takeover, a worker that has restarted may execute starts of earlier leaders until it has responded', () => {
  const harness = new SchedulerHarness({ term: 1 })
  harness.addJob({}, { acceptedThisTerm: false })
  harness.scheduler.setWorkers([worker('w1'), worker('w2')], { unknownRunsUntil: harness.now + 6_000 })
  harness.scheduler.setWorkers([worker('w1', { born: 2 }), worker('w2')], { unknownRunsUntil: harness.now + 6_000 })
  harness.report('w2')
  assert.deepEqual(harness.startReadyTasks(), [])
  harness.report('w1', { running: [running(TASK, 1)] })
  assert.deepEqual(harness.startReadyTasks(), [])
})

// A leader granted the lease that it only allowed for. The next leader, which allows for the usual one, started the tasks of a worker again that
// was silent and still ran them.
test('a leader does not grant a restarted worker the longest lease because commands for the one before may have', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  registerNextIncarnation(harness)
  reportOfNextIncarnation(harness, {})
  const tracked = harness.worker('w1')
  assert.ok(tracked.extendLease(harness.now, 4_000) - tracked.clockAt(harness.now) <= 4_000)
})

// A restarted worker that was then lost for good kept its tasks for the longest lease, 10 s for some users, whatever it had been sent before.
test('runs of a restarted worker are released with its lease, whatever the one before was granted', () => {
  const harness = new SchedulerHarness()
  const [previous] = harness.addWorkers(worker('w1'))
  previous?.extendLease(harness.now, 4_000)
  harness.addJob()
  harness.now += 1_000
  harness.scheduler.setWorkers([worker('w1', { born: 2 })], { unknownRunsUntil: 0 })
  reportOfNextIncarnation(harness, {})
  harness.worker('w1').extendLease(harness.now, 4_000)
  const [run] = harness.startReadyTasks()
  assert.equal(run?.worker.registration.born, 2)
  run.worker.markUnreachable(harness.now)
  harness.now += 4_200
  harness.scheduler.tick()
  assert.equal(run.task.runs.length, 0)
})

// A leader that took over knew that nothing ran on a worker any more, started its tasks elsewhere, and then met the next incarnation
// with them: the earlier leader's starts had reached it.
test('after a takeover, a worker that responds as another incarnation is asked before tasks are started elsewhere', () => {
  const harness = new SchedulerHarness({ term: 1 })
  harness.addJob({}, { acceptedThisTerm: false })
  harness.scheduler.setWorkers([worker('w1'), worker('w2')], { unknownRunsUntil: harness.now + 6_000 })
  harness.report('w2')
  harness.scheduler.replaceIncarnation(harness.worker('w1'), 2)
  assert.deepEqual(harness.startReadyTasks(), [])
  harness.report('w1', { running: [running(TASK, 1)] })
  assert.deepEqual(harness.startReadyTasks(), [])
})

// An incarnation that only a poll had shown got starts by the capacity, labels and state of the one before.
test('an incarnation that is not registered yet gets no starts', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.scheduler.replaceIncarnation(harness.worker('w1'), 2)
  harness.addJob()
  harness.now += 100
  harness.report('w1')
  assert.deepEqual(harness.scheduler.placeReadyTasks(), [])
  harness.scheduler.setWorkers([worker('w1', { born: 2 })], { unknownRunsUntil: 0 })
  harness.report('w1')
  assert.equal(harness.scheduler.placeReadyTasks().length, 1)
})

/** After a takeover, an id that is registered as born at 2 has responded as born at 1: its machine's time was set back. */
function respondAsEarlierBorn () {
  const harness = new SchedulerHarness({ term: 1 })
  harness.addJob({}, { acceptedThisTerm: false })
  const listed = [worker('w1', { born: 2 }), worker('w2')]
  harness.scheduler.setWorkers(listed, { unknownRunsUntil: harness.now + 6_000 })
  harness.report('w2')
  harness.scheduler.replaceIncarnation(harness.worker('w1'), 1)
  return { harness, listed }
}

// An incarnation that was born earlier, by the clock of its machine, than the one before it was taken for one that had ended, so
// that the tasks it ran for an earlier leader were started elsewhere.
test('after a takeover, a worker that responds as an incarnation with an earlier birth is asked before tasks are started', () => {
  const { harness } = respondAsEarlierBorn()
  assert.deepEqual(harness.startReadyTasks(), [])
  harness.report('w1', { running: [running(TASK, 1)] })
  assert.deepEqual(harness.startReadyTasks(), [])
  assert.equal(harness.worker('w1').registration.born, 1)
})

// The registration of the incarnation that had ended, still listed, ended the one that was alive.
test('an incarnation that has proved to be over by a report is not tracked again while it is listed', () => {
  const { harness, listed } = respondAsEarlierBorn()
  harness.report('w1', { running: [running(TASK, 1)] })
  harness.scheduler.setWorkers(listed, { unknownRunsUntil: 0 })
  assert.equal(harness.worker('w1').registration.born, 1)
  assert.deepEqual(harness.startReadyTasks(), [])
  harness.scheduler.setWorkers([worker('w1', { born: 1 }), worker('w2')], { unknownRunsUntil: 0 })
  harness.report('w1', { ended: [ended(1, TASK, 1)] })
  assert.equal(harness.scheduler.table.jobs.get('00000000000000aa')?.outcome, 'completed')
})

// An odd entry under a worker's id, without a start, ended the incarnation that ran on, and its tasks were started elsewhere.
for (const borns of [[5, 0, 5], [0, 5, 0]]) {
  test(`registrations that do not say when the worker started end no incarnation (${borns.join(', ')})`, () => {
    const harness = new SchedulerHarness()
    harness.addWorkers(worker('w1', { born: borns[0] ?? 0 }))
    harness.addJob({})
    const tracked = harness.worker('w1')
    assert.equal(harness.startReadyTasks().length, 1)
    for (const born of borns) harness.scheduler.setWorkers([worker('w1', { born }), worker('w2')], { unknownRunsUntil: 0 })
    assert.equal(harness.worker('w1'), tracked)
    assert.equal(tracked.ended, false)
    assert.equal(tracked.registration.born, 5)
  })
}

// An odd entry without a start moved the calls of a worker to its own address; 421 there ended the incarnation that ran on.
test('a registration that does not say when the worker started does not move one whose start is known', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1', { born: 5, host: 'h1' }))
  harness.scheduler.setWorkers([worker('w1', { born: 0, host: 'h2' })], { unknownRunsUntil: 0 })
  assert.equal(harness.worker('w1').registration.host, 'h1')
  assert.equal(harness.worker('w1').deregistered, false)
})
