import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Vm, WorkerRegistration } from '@wisteriaslip/jobs.model'
import { LostWorkerDetector } from '@wisteriaslip/jobs.scheduler'
import { SchedulerHarness, worker } from './harness.ts'

const TASK = '00000000000000aa.0.0.0'
const LIST_INTERVAL_MS = 300
/** Lists that are requested within the time for which a VM must be missing. */
const LISTS_BEFORE_PROOF = 5

/** A leader that has taken over, and has had a response of the worker `w2` alone; by default the others are not registered any more. */
function takeOver (registrations: readonly WorkerRegistration[] = [worker('w1'), worker('w2')], opts: { registered?: boolean } = {}) {
  const harness = new SchedulerHarness({ term: 1 })
  harness.addJob({}, { acceptedThisTerm: false })
  harness.scheduler.setWorkers(registrations, { unknownRunsUntil: harness.now + 6_000 })
  harness.report('w2')
  if (opts.registered !== true) deregisterAllBut(harness, 'w2')
  return { harness, detector: new LostWorkerDetector(harness.scheduler, { now: () => harness.now }) }
}

function deregisterAllBut (harness: SchedulerHarness, id: string): void {
  harness.scheduler.setWorkers([worker(id)], { unknownRunsUntil: harness.now + 6_000 })
}

function vm (id: string, workerId: string): Vm {
  return { id, pool: 's', state: 'up', zone: 'z', rack: 'r1', labels: [], capacity: { cpu: 4_000, memMb: 8_000, accelerators: 0 }, worker: workerId }
}

/** Returns how many workers a number of lists proved to have ended. */
function applyLists ({ harness, detector }: ReturnType<typeof takeOver>, count: number, list: { vms: Vm[], complete?: boolean }): number {
  let ended = 0
  for (let times = 0; times < count; times++) {
    detector.needsVmList()
    harness.now += LIST_INTERVAL_MS
    if (detector.needsVmList()) ended += detector.applyVmList(list.vms, harness.now, { unreadable: [], complete: list.complete ?? true }).length
  }
  return ended
}

// A worker that was lost with its VM before a change of leader kept all tasks of earlier jobs waiting for 5.7 s in each new term.
test('jobs continue once lists that show the VMs of other workers have not shown that of a silent one for a while', () => {
  const leader = takeOver()
  const others = { vms: [vm('vm-w2', 'w2')] }
  assert.equal(applyLists(leader, LISTS_BEFORE_PROOF, others), 0)
  assert.deepEqual(leader.harness.startReadyTasks(), [])
  assert.equal(applyLists(leader, 1, others), 1)
  assert.deepEqual(leader.harness.startReadyTasks().map(run => run.task.name), [TASK])
})

// Lists that left a VM out began to count only when the registration of its worker had expired, so that tasks waited for both in turn.
test('lists that do not show a VM count while the registration of its worker expires', () => {
  const leader = takeOver(undefined, { registered: true })
  const others = { vms: [vm('vm-w2', 'w2')] }
  assert.equal(applyLists(leader, 2 * LISTS_BEFORE_PROOF, others), 0)
  deregisterAllBut(leader.harness, 'w2')
  assert.equal(applyLists(leader, 1, others), 1)
  assert.deepEqual(leader.harness.startReadyTasks().map(run => run.task.name), [TASK])
})

test('a worker that has lost its registration just after it joined is not taken for lost before lists have left its VM out for long', () => {
  const leader = takeOver(undefined, { registered: true })
  const others = { vms: [vm('vm-w2', 'w2')] }
  assert.equal(applyLists(leader, 2, others), 0)
  deregisterAllBut(leader.harness, 'w2')
  assert.equal(applyLists(leader, LISTS_BEFORE_PROOF - 2, others), 0)
  assert.equal(applyLists(leader, 1, others), 1)
})

// Starts without a response on a worker that proved to be gone were kept for twice the longest lease, as its VM had never been listed.
test('unanswered starts on a worker that is gone are released although its VM was never listed', () => {
  const leader = takeOver(undefined, { registered: true })
  const { harness, detector } = leader
  const others = { vms: [vm('vm-w2', 'w2')] }
  harness.report('w1')
  harness.worker('w2').cooldownUntil = Infinity
  const run = harness.startWithoutResponse()
  harness.worker('w1').markUnreachable(harness.now)
  deregisterAllBut(harness, 'w2')
  detector.needsVmList()
  harness.now += LIST_INTERVAL_MS
  detector.applyVmList(others.vms, harness.now)
  run.startCallEndedAt = harness.now + 1
  assert.equal(applyLists(leader, LISTS_BEFORE_PROOF, others), 1)
  assert.equal(run.task.runs.length, 1)
  assert.equal(applyLists(leader, 3, others), 1)
  assert.equal(run.task.runs.length, 0)
})

for (const [name, others] of [
  ['show no VM of a known worker', { vms: [vm('vm-w9', 'w9')] }],
  ['show another worker than is registered', { vms: [vm('vm-w2', 'w9')] }],
  ['show the VM of a known worker without it', { vms: [vm('vm-w2', '')] }],
  ['may leave VMs out', { vms: [vm('vm-w2', 'w2')], complete: false }]
] as const) {
  test(`a VM that was never listed may run a worker if the lists ${name}`, () => {
    const leader = takeOver()
    assert.equal(applyLists(leader, 2 * LISTS_BEFORE_PROOF, { ...others, vms: [...others.vms] }), 0)
    assert.deepEqual(leader.harness.startReadyTasks(), [])
  })
}

test('a VM that was never listed may run a worker that is registered', () => {
  const leader = takeOver(undefined, { registered: true })
  assert.equal(applyLists(leader, 2 * LISTS_BEFORE_PROOF, { vms: [vm('vm-w2', 'w2')] }), 0)
})

test('a VM that was never listed may run a worker if the lists show only workers that are as silent', () => {
  const leader = takeOver([worker('w1'), worker('w2'), worker('w3')])
  assert.equal(applyLists(leader, 2 * LISTS_BEFORE_PROOF, { vms: [vm('vm-w3', 'w3')] }), 0)
})

test('no list proves that a worker without a known VM has ended', () => {
  const leader = takeOver([worker('w1', { vm: '' }), worker('w2')])
  assert.equal(applyLists(leader, 2 * LISTS_BEFORE_PROOF, { vms: [vm('vm-w2', 'w2')] }), 0)
})

test('a list that shows no other worker interrupts the absence of a VM that was never listed', () => {
  const leader = takeOver()
  assert.equal(applyLists(leader, LISTS_BEFORE_PROOF, { vms: [vm('vm-w2', 'w2')] }), 0)
  assert.equal(applyLists(leader, 1, { vms: [vm('vm-w9', 'w9')] }), 0)
  assert.equal(applyLists(leader, LISTS_BEFORE_PROOF, { vms: [vm('vm-w2', 'w2')] }), 0)
})

// A worker that responded and fell silent again between two passes of the detector stayed suspected: lists from before its response went on to count.
test('a response between two lists ends what the lists before it have shown', () => {
  const leader = takeOver(undefined, { registered: true })
  const { harness } = leader
  const others = { vms: [vm('vm-w2', 'w2')] }
  assert.equal(applyLists(leader, LISTS_BEFORE_PROOF, others), 0)
  harness.worker('w2').cooldownUntil = Infinity
  harness.report('w1')
  const [run] = harness.startReadyTasks()
  assert.equal(run?.worker, harness.worker('w1'))
  harness.worker('w1').markUnreachable(harness.now)
  deregisterAllBut(harness, 'w2')
  assert.equal(applyLists(leader, 2, others), 0)
  assert.equal(run?.task.runs.length, 1)
})

// The VM of a worker that names none was taken for listed once a row without a name could not be read.
test('a list with an unreadable row that names no VM does not prove that a worker without a known VM has ended', () => {
  const leader = takeOver([worker('w1', { vm: '' }), worker('w2')])
  leader.detector.applyVmList([vm('vm-w2', 'w2')], leader.harness.now, { unreadable: [''], complete: true })
  assert.equal(applyLists(leader, 2 * LISTS_BEFORE_PROOF, { vms: [vm('vm-w2', 'w2')] }), 0)
})

// Lists that may leave VMs out counted, so that no first list was asked for any more.
test('a first list is asked for again while lists may leave VMs out', () => {
  const { harness, detector } = takeOver([worker('w2')])
  for (let times = 0; times < 2 * LISTS_BEFORE_PROOF; times++) {
    assert.equal(detector.needsFirstList(), true)
    detector.applyVmList([], harness.now, { unreadable: [], complete: false })
    harness.now += 1_000
  }
})
