import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Vm } from '@wisteriaslip/jobs.model'
import { LostWorkerDetector } from '@wisteriaslip/jobs.scheduler'
import { SchedulerHarness, step, worker } from './harness.ts'

const TASK = '00000000000000aa.0.0.0'

function vm (overrides: Partial<Vm> = {}): Vm {
  return { id: 'vm-w1', pool: 's', state: 'up', zone: 'z', rack: 'r1', labels: [], capacity: { cpu: 4_000, memMb: 8_000, accelerators: 0 }, worker: 'w1', ...overrides }
}

/** A leader that has taken over while the term record names a worker that does not respond. */
function takeOver () {
  const harness = new SchedulerHarness({ term: 1 })
  harness.addJob({}, { acceptedThisTerm: false })
  harness.scheduler.setWorkers([worker('w1'), worker('w2')], { unknownRunsUntil: harness.now + 6_000 })
  harness.report('w2')
  return { harness, detector: new LostWorkerDetector(harness.scheduler, { now: () => harness.now }) }
}

function applyVmListAfterDelay (harness: SchedulerHarness, detector: LostWorkerDetector, vms: Vm[]): number {
  detector.needsVmList()
  harness.now += 300
  return detector.needsVmList() ? detector.applyVmList(vms, harness.now).length : 0
}

test('after a takeover, jobs continue once the VM of an unresponsive worker proves to be powered off', () => {
  const { harness, detector } = takeOver()
  const off = [vm({ pool: 'spare', worker: '' })]
  assert.equal(applyVmListAfterDelay(harness, detector, off), 0, 'a single list may be outdated')
  assert.deepEqual(harness.startReadyTasks(), [])
  assert.equal(applyVmListAfterDelay(harness, detector, off), 1)
  assert.deepEqual(harness.startReadyTasks().map(run => run.task.name), [TASK])
})

for (const [name, listedVm] of [['up with this worker', vm()], ['up with no worker named', vm({ worker: '' })], ['not listed', vm({ id: 'vm-other' })]] as const) {
  test(`an unresponsive worker may still execute runs when its VM is ${name}`, () => {
    const { harness, detector } = takeOver()
    for (let times = 0; times < 4; times++) assert.equal(applyVmListAfterDelay(harness, detector, [listedVm]), 0)
    assert.deepEqual(harness.startReadyTasks(), [])
  })
}

// Starts without a response were looked for on a worker that was gone; as there was none, its end was never concluded.
test('after a takeover, jobs continue once lists that have shown the VM of an unresponsive worker have not shown it for a while', () => {
  const { harness, detector } = takeOver()
  assert.equal(applyVmListAfterDelay(harness, detector, [vm()]), 0)
  for (let times = 0; times < 5; times++) assert.equal(applyVmListAfterDelay(harness, detector, [vm({ id: 'vm-other' })]), 0)
  assert.deepEqual(harness.startReadyTasks(), [])
  assert.equal(applyVmListAfterDelay(harness, detector, [vm({ id: 'vm-other' })]), 1)
  assert.deepEqual(harness.startReadyTasks().map(run => run.task.name), [TASK])
})

test('contradictory VM lists do not prove a loss', () => {
  const { harness, detector } = takeOver()
  assert.equal(applyVmListAfterDelay(harness, detector, [vm({ state: 'moving' })]), 0)
  assert.equal(applyVmListAfterDelay(harness, detector, [vm()]), 0)
  assert.equal(applyVmListAfterDelay(harness, detector, [vm({ state: 'moving' })]), 0)
})

test('a worker that responds is not suspected', () => {
  const { harness, detector } = takeOver()
  detector.needsVmList()
  harness.report('w1')
  harness.now += 300
  assert.equal(detector.needsVmList(), false)
})

test('runs of a lost VM restart before their lease expires, and the ended incarnation is not tracked again', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  const detector = new LostWorkerDetector(harness.scheduler, { now: () => harness.now })
  harness.addJob()
  assert.equal(harness.startReadyTasks().length, 1)
  harness.worker('w1').reachable = false
  const down = [vm({ state: 'down' })]
  assert.equal(applyVmListAfterDelay(harness, detector, down) + applyVmListAfterDelay(harness, detector, down), 1)
  harness.persist()
  harness.scheduler.setWorkers([worker('w1'), worker('w2')], { unknownRunsUntil: 0 })
  harness.report('w2')
  assert.deepEqual(harness.startReadyTasks().map(run => run.worker.registration.id), ['w2'])
  assert.equal(harness.worker('w1').ended, true)
})

/** A task whose start gets no response, on a worker whose VM has proved to be down before the call ends; another worker could run it. */
function loseWorkerWithUnansweredStart () {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  const detector = new LostWorkerDetector(harness.scheduler, { now: () => harness.now })
  harness.addJob({ steps: [step({ lasting: true })] })
  const [run] = harness.scheduler.placeReadyTasks()
  assert.ok(run !== undefined)
  harness.worker('w1').reachable = false
  harness.scheduler.setWorkers([worker('w2')], { unknownRunsUntil: 0 })
  harness.report('w2')
  const down = [vm({ state: 'down', worker: '' })]
  assert.equal(applyVmListAfterDelay(harness, detector, down) + applyVmListAfterDelay(harness, detector, down), 1)
  harness.scheduler.handleStartResponse(run, { kind: 'unknown', message: 'timeout' })
  harness.persist()
  return { harness, detector, run }
}

// A long-running task whose start got no response from a crashed worker was not started again for twice the longest lease.
for (const [name, vms] of [['has another worker', [vm({ worker: 'w9' })]], ['is gone', [vm({ id: 'vm-other' })]]] as const) {
  test(`an unanswered start on a lost worker is released once its VM ${name}`, () => {
    const { harness, detector } = loseWorkerWithUnansweredStart()
    assert.deepEqual(harness.startReadyTasks(), [], 'the worker may restart under its id')
    for (let lists = 0; lists < 3; lists++) applyVmListAfterDelay(harness, detector, [...vms])
    harness.report('w2')
    harness.scheduler.tick()
    assert.deepEqual(harness.startReadyTasks().map(run => run.worker.registration.id), ['w2'])
  })
}

// The start may still arrive at the next incarnation under the same id, and would run twice.
for (const [name, listedVm] of [['has no worker yet', vm({ worker: '' })], ['has this worker again', vm()]] as const) {
  test(`an unanswered start on a lost worker is kept while its VM ${name}`, () => {
    const { harness, detector } = loseWorkerWithUnansweredStart()
    for (let lists = 0; lists < 4; lists++) assert.equal(applyVmListAfterDelay(harness, detector, [listedVm]), 0)
    harness.report('w2')
    harness.scheduler.tick()
    assert.deepEqual(harness.startReadyTasks(), [])
  })
}

// An incarnation that begins after the call has ended never gets the start, but it was kept for twice the longest lease.
for (const [name, listedVm] of [['is down', vm({ state: 'down', worker: '' })], ['is in another pool without a worker', vm({ pool: 'other', worker: '' })], ['is being moved', vm({ state: 'moving', worker: '' })]] as const) {
  test(`an unanswered start on a lost worker is released once two lists that were requested after its call show that its VM ${name}`, () => {
    const { harness, detector } = loseWorkerWithUnansweredStart()
    assert.equal(applyVmListAfterDelay(harness, detector, [listedVm]), 0, 'a single list may be outdated')
    harness.report('w2')
    harness.scheduler.tick()
    assert.deepEqual(harness.startReadyTasks(), [])
    assert.equal(applyVmListAfterDelay(harness, detector, [listedVm]), 1)
    harness.report('w2')
    assert.deepEqual(harness.startReadyTasks().map(run => run.worker.registration.id), ['w2'])
  })

  test(`a start whose call is still in progress is kept although its VM ${name}`, () => {
    const { harness, detector, run } = loseWorkerWithUnansweredStart()
    run.startCallEndedAt = undefined
    for (let lists = 0; lists < 4; lists++) assert.equal(applyVmListAfterDelay(harness, detector, [listedVm]), 0)
    harness.report('w2')
    assert.deepEqual(harness.startReadyTasks(), [])
  })
}

test('a VM that is up between two lists that show it off may have run an unanswered start', () => {
  const { harness, detector } = loseWorkerWithUnansweredStart()
  for (const listedVm of [vm({ state: 'down', worker: '' }), vm(), vm({ state: 'down', worker: '' }), vm()]) assert.equal(applyVmListAfterDelay(harness, detector, [listedVm]), 0)
  harness.report('w2')
  assert.deepEqual(harness.startReadyTasks(), [])
})

// Its call had ended before the lists that proved the end of the worker were requested, and it was kept nevertheless.
test('an unanswered start is released with the proof that its worker has ended if its call had ended before', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  const detector = new LostWorkerDetector(harness.scheduler, { now: () => harness.now })
  harness.addJob({ steps: [step({ lasting: true })] })
  harness.startWithoutResponse()
  harness.worker('w1').reachable = false
  harness.scheduler.setWorkers([worker('w2')], { unknownRunsUntil: 0 })
  const down = [vm({ state: 'down', worker: '' })]
  assert.equal(applyVmListAfterDelay(harness, detector, down) + applyVmListAfterDelay(harness, detector, down), 1)
  harness.persist()
  harness.report('w2')
  harness.now += 3_000
  harness.report('w2')
  assert.deepEqual(harness.startReadyTasks().map(run => run.worker.registration.id), ['w2'])
})

test('no VM list proves that a worker without a known VM cannot restart', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1', { vm: '' }))
  const detector = new LostWorkerDetector(harness.scheduler, { now: () => harness.now })
  harness.addJob()
  harness.scheduler.endIncarnation(harness.startWithoutResponse().worker)
  for (let lists = 0; lists < 4; lists++) assert.equal(applyVmListAfterDelay(harness, detector, [vm(), vm({ id: '', worker: 'w9' })]), 0)
})

test('contradictory VM lists do not prove that a lost worker cannot restart', () => {
  const { harness, detector } = loseWorkerWithUnansweredStart()
  for (const listedVm of [vm({ worker: 'w9' }), vm(), vm({ worker: 'w9' }), vm({ worker: '' }), vm({ worker: 'w9' })]) {
    assert.equal(applyVmListAfterDelay(harness, detector, [listedVm]), 0)
  }
})

// A list that proved only the end of the incarnation counted as one of the two that prove that the id does not return.
test('a list that showed the VM down does not count towards the proof that a restarted worker is replaced', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  const detector = new LostWorkerDetector(harness.scheduler, { now: () => harness.now })
  harness.addJob()
  harness.startWithoutResponse()
  harness.worker('w1').reachable = false
  assert.equal(applyVmListAfterDelay(harness, detector, [vm({ state: 'down', worker: '' })]), 0)
  harness.scheduler.endIncarnation(harness.worker('w1'))
  const replaced = [vm({ worker: 'w9' })]
  assert.equal(detector.applyVmList(replaced, harness.now).length, 0, 'the list was requested before the incarnation ended')
  assert.equal(applyVmListAfterDelay(harness, detector, replaced), 0, 'a single list may be outdated')
  assert.equal(applyVmListAfterDelay(harness, detector, replaced), 1)
})

// A restarted worker on a VM that the platform does not list counted as gone, and its unanswered start could run twice.
test('a VM that was never listed does not prove that a restarted worker is gone', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  const detector = new LostWorkerDetector(harness.scheduler, { now: () => harness.now })
  harness.addJob()
  harness.scheduler.endIncarnation(harness.startWithoutResponse().worker)
  for (let lists = 0; lists < 4; lists++) assert.equal(applyVmListAfterDelay(harness, detector, [vm({ id: 'vm-other' })]), 0)
})

test('a list that is requested as soon as an incarnation ends does not count', () => {
  const { harness, detector } = loseWorkerWithUnansweredStart()
  const replaced = [vm({ worker: 'w9' })]
  detector.needsVmList()
  assert.equal(detector.applyVmList(replaced, harness.now).length, 0)
  assert.equal(applyVmListAfterDelay(harness, detector, replaced), 0)
  assert.equal(applyVmListAfterDelay(harness, detector, replaced), 1)
})

test('a release tells how many starts it ends, after which no list is needed', () => {
  const { harness, detector } = loseWorkerWithUnansweredStart()
  const replaced = [vm({ worker: 'w9' })]
  applyVmListAfterDelay(harness, detector, replaced)
  harness.report('w2')
  harness.now += 300
  const released = detector.applyVmList(replaced, harness.now).map(({ worker, ...proven }) => ({ id: worker.registration.id, ...proven }))
  assert.deepEqual(released, [{ id: 'w1', proof: 'off', unansweredStarts: 1, vmState: 'up' }])
  harness.now += 300
  detector.needsVmList()
  harness.now += 300
  assert.equal(detector.needsVmList(), false)
})

test('lists of VMs are requested quickly at first, and then at a pace that spares the VM platform', () => {
  const { harness, detector } = takeOver()
  let lists = 0
  for (const startedAt = harness.now; harness.now <= startedAt + 3_000; harness.now += 20) if (detector.needsVmList()) lists += 1
  assert.ok(lists >= 11 && lists <= 13, `${lists} lists in 3 s`)
})

// While the list of VMs is not to be had, the lease of a crashed worker expires, and nothing was known of the crash afterwards.
test('a crash that is proven only after the lease of the worker has expired counts for the tasks that ran there', () => {
  const { harness, detector, task } = loseLease()
  const down = [vm({ state: 'down', worker: '' })]
  assert.equal(applyVmListAfterDelay(harness, detector, down) + applyVmListAfterDelay(harness, detector, down), 1)
  assert.equal(task()?.crashes.length, 1)
})

test('a worker whose lease has expired and that responds again has not crashed', () => {
  const { harness, detector, task } = loseLease()
  harness.report('w1')
  assert.equal(applyVmListAfterDelay(harness, detector, [vm()]), 0)
  assert.equal(task()?.crashes.length, 0)
  harness.scheduler.endIncarnation(harness.worker('w1'))
  assert.equal(task()?.crashes.length, 0, 'nothing ran there any more')
})

test('a worker that is no longer registered and whose crash nothing proves is tracked no longer after a while', () => {
  const { harness } = loseLease()
  harness.scheduler.setWorkers([], { unknownRunsUntil: 0 })
  harness.now += 20_000
  harness.scheduler.tick()
  assert.equal(harness.scheduler.workers.size, 0)
})

/** A task on a worker that stopped responding, so that its lease has expired. */
function loseLease () {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  const detector = new LostWorkerDetector(harness.scheduler, { now: () => harness.now })
  harness.addJob()
  harness.startReadyTasks()
  harness.worker('w1').markUnreachable(harness.now)
  harness.now += 4_200
  harness.scheduler.tick()
  assert.equal(harness.worker('w1').runs.size, 0)
  const task = () => harness.scheduler.table.jobs.get('00000000000000aa')?.task({ occurrence: 0, step: 0, index: 0 })
  return { harness, detector, task }
}

// Only a worker that ends by itself has crashed.
for (const [name, listedVm, crashes] of [
  ['being maintained', vm({ state: 'maintenance' }), 0],
  ['moving', vm({ state: 'moving' }), 0],
  ['in another pool', vm({ pool: 'spare', worker: '' }), 0],
  ['down', vm({ state: 'down' }), 1],
  ['up with another worker', vm({ worker: 'w9' }), 1]
] as const) {
  test(`a worker whose VM is ${name} has ${crashes === 0 ? 'not ' : ''}crashed`, () => {
    const harness = new SchedulerHarness()
    harness.addWorkers(worker('w1'))
    const detector = new LostWorkerDetector(harness.scheduler, { now: () => harness.now })
    harness.addJob()
    harness.startReadyTasks()
    harness.worker('w1').markUnreachable(harness.now)
    assert.equal(applyVmListAfterDelay(harness, detector, [listedVm]) + applyVmListAfterDelay(harness, detector, [listedVm]), 1)
    assert.equal(harness.scheduler.table.jobs.get('00000000000000aa')?.task({ occurrence: 0, step: 0, index: 0 })?.crashes.length, crashes)
  })
}

/** Applies a list every 100 ms, as the first ones are requested. */
function applyQuickLists (harness: SchedulerHarness, detector: LostWorkerDetector, lists: ReadonlyArray<{ vms: Vm[], unreadable?: readonly string[], complete?: boolean }>): number {
  let released = 0
  detector.needsVmList()
  for (const { vms, unreadable = [], complete = true } of lists) {
    harness.now += 100
    detector.needsVmList()
    released += detector.applyVmList(vms, harness.now, { unreadable, complete }).length
  }
  return released
}

const OTHER_VM = vm({ id: 'vm-other' })

// A VM that was left out of two lists 100 ms apart counted as gone; its worker restarted, and an unanswered start could run twice.
test('a VM that some lists do not show for a moment is not gone', () => {
  const { harness, detector } = loseWorkerWithUnansweredStart()
  const absent = { vms: [OTHER_VM] }
  const shown = { vms: [vm({ state: 'down', worker: '' })] }
  assert.equal(applyQuickLists(harness, detector, [absent, absent, absent, shown, absent, absent, absent, shown]), 0)
  assert.deepEqual(harness.startReadyTasks(), [])
})

// A list without some of its pages, or without the rows that could not be read, counted as proof that a VM is gone.
for (const [name, list] of [['incomplete', { complete: false }], ['without a readable entry of it', { unreadable: ['vm-w1'] }]] as const) {
  test(`a VM is not gone while lists are ${name}`, () => {
    const { harness, detector } = loseWorkerWithUnansweredStart()
    assert.equal(applyQuickLists(harness, detector, Array.from({ length: 12 }, () => ({ vms: [OTHER_VM], ...list }))), 0)
    assert.deepEqual(harness.startReadyTasks(), [])
  })
}

test('an incomplete list interrupts the absence of a VM', () => {
  const { harness, detector } = loseWorkerWithUnansweredStart()
  const absent = { vms: [OTHER_VM] }
  const incomplete = { ...absent, complete: false }
  assert.equal(applyQuickLists(harness, detector, [absent, absent, absent, absent, incomplete, absent, absent]), 0)
  assert.equal(applyQuickLists(harness, detector, [absent, absent, absent, absent]), 1)
})

test('an absence and another worker do not add up to a proof', () => {
  const { harness, detector } = loseWorkerWithUnansweredStart()
  assert.equal(applyQuickLists(harness, detector, [{ vms: [OTHER_VM] }, { vms: [vm({ worker: 'w9' })] }, { vms: [OTHER_VM] }]), 0)
})

/** A leader with a confirmed run on a worker that does not respond any more. */
function loseWorker () {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  const detector = new LostWorkerDetector(harness.scheduler, { now: () => harness.now })
  applyVmListAfterDelay(harness, detector, [vm()])
  detector.applyVmList([vm()], harness.now)
  harness.addJob()
  const run = harness.startReadyTasks()[0]
  assert.ok(run !== undefined)
  harness.worker('w1').markUnreachable(harness.now)
  return { harness, detector, run }
}

// A worker that was removed with its VM kept its tasks until its lease had expired, which took 10 s if it had restarted before.
test('runs of an unresponsive worker are over once its VM has been missing from all lists for a while', () => {
  const { harness, detector, run } = loseWorker()
  for (let times = 0; times < 4; times++) assert.equal(applyVmListAfterDelay(harness, detector, [vm({ id: 'vm-other' })]), 0)
  for (let times = 0; times < 3; times++) applyVmListAfterDelay(harness, detector, [vm({ id: 'vm-other' })])
  assert.equal(run.task.runs.length, 0)
})

test('two lists without the VM of an unresponsive worker, far apart, do not prove that it has ended', () => {
  const { harness, detector, run } = loseWorker()
  for (let times = 0; times < 2; times++) {
    harness.now += 1_700
    assert.equal(applyVmListAfterDelay(harness, detector, [vm({ id: 'vm-other' })]), 0)
  }
  assert.equal(run.task.runs.length, 1)
})

test('lists that show the VM of an unresponsive worker without a worker do not prove that it has ended', () => {
  const { harness, detector, run } = loseWorker()
  for (let times = 0; times < 10; times++) assert.equal(applyVmListAfterDelay(harness, detector, [vm({ worker: '' })]), 0)
  assert.equal(run.task.runs.length, 1)
})

test('lists that may leave VMs out do not prove that one is missing', () => {
  const { harness, detector, run } = loseWorker()
  for (let times = 0; times < 10; times++) {
    detector.needsVmList()
    harness.now += 300
    assert.deepEqual(detector.applyVmList([vm({ id: 'vm-other' })], harness.now, { unreadable: [], complete: false }), [])
  }
  assert.equal(run.task.runs.length, 1)
})

// A start without a response on a worker that had ended was kept for twice the longest lease while its VM was up without a worker.
test('an unanswered start on an ended worker is released once its VM has been up without a worker for a while', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  const detector = new LostWorkerDetector(harness.scheduler, { now: () => harness.now })
  harness.addJob()
  const run = harness.startWithoutResponse()
  harness.worker('w1').markUnreachable(harness.now)
  harness.scheduler.endIncarnation(run.worker)
  for (let times = 0; times < 4; times++) assert.equal(applyVmListAfterDelay(harness, detector, [vm({ worker: '' })]), 0)
  for (let times = 0; times < 3; times++) applyVmListAfterDelay(harness, detector, [vm({ worker: '' })])
  assert.equal(run.task.runs.length, 0)
})

// A start that had been carried over to an incarnation which never responded was kept for twice the longest lease.
test('an unanswered start that was carried over is released once its VM has been up without a worker for a while', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  const detector = new LostWorkerDetector(harness.scheduler, { now: () => harness.now })
  harness.addJob()
  const { task } = harness.startWithoutResponse()
  harness.scheduler.setWorkers([worker('w1', { born: 2 })], { unknownRunsUntil: 0 })
  assert.equal(task.runs[0]?.worker.registration.born, 2)
  for (let times = 0; times < 4; times++) assert.equal(applyVmListAfterDelay(harness, detector, [vm({ worker: '' })]), 0)
  for (let times = 0; times < 3; times++) applyVmListAfterDelay(harness, detector, [vm({ worker: '' })])
  assert.equal(task.runs.length, 0)
})

// The end of a call that was in progress when its start was carried over was not noted: the start was kept for twice the longest lease.
test('a start that was carried over while its call was in progress is over once its VM is down after the call', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  const detector = new LostWorkerDetector(harness.scheduler, { now: () => harness.now })
  harness.addJob()
  const [run] = harness.scheduler.placeReadyTasks()
  assert.ok(run !== undefined)
  harness.scheduler.setWorkers([worker('w1', { born: 2 })], { unknownRunsUntil: 0 })
  harness.scheduler.handleStartResponse(run, { kind: 'unknown', message: 'aborted' })
  assert.equal(run.task.runs.length, 1)
  for (let times = 0; times < 5; times++) applyVmListAfterDelay(harness, detector, [vm({ state: 'down', worker: '' })])
  assert.equal(run.task.runs.length, 0)
})
