import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Vm } from '@wisteriaslip/jobs.model'
import { LostWorkerDetector } from '@wisteriaslip/jobs.scheduler'
import { Bench, worker } from './harness.ts'

const TASK = '00000000000000aa.0.0.0'

function vm (overrides: Partial<Vm> = {}): Vm {
  return { id: 'vm-w1', pool: 's', state: 'up', zone: 'z', rack: 'r1', labels: [], capacity: { cpu: 4_000, memMb: 8_000, accelerators: 0 }, worker: 'w1', ...overrides }
}

/** A leader that took over while the record names a worker that does not answer. */
function takeOver () {
  const bench = new Bench({ term: 1 })
  bench.admit({}, { acceptedThisTerm: false })
  bench.scheduler.setWorkers([worker('w1'), worker('w2')], { unknownRunsUntil: bench.now + 6_000 })
  bench.report('w2')
  return { bench, lives: new LostWorkerDetector(bench.scheduler, { now: () => bench.now }) }
}

function list (bench: Bench, lives: LostWorkerDetector, vms: Vm[]): number {
  lives.needsVmList()
  bench.now += 300
  return lives.needsVmList() ? lives.applyVmList(vms, bench.now).length : 0
}

test('after a takeover work goes on when the VM of a silent worker was switched off', () => {
  const { bench, lives } = takeOver()
  const off = [vm({ pool: 'spare', worker: '' })]
  assert.equal(list(bench, lives, off), 0, 'one list may be old')
  assert.deepEqual(bench.startAll(), [])
  assert.equal(list(bench, lives, off), 1)
  assert.deepEqual(bench.startAll().map(run => run.task.name), [TASK])
})

for (const [name, listed] of [['up with this worker', vm()], ['up with no worker named', vm({ worker: '' })], ['not listed', vm({ id: 'vm-other' })]] as const) {
  test(`a silent worker may still run when its VM is ${name}`, () => {
    const { bench, lives } = takeOver()
    for (let times = 0; times < 4; times++) assert.equal(list(bench, lives, [listed]), 0)
    assert.deepEqual(bench.startAll(), [])
  })
}

test('lists that do not agree prove nothing', () => {
  const { bench, lives } = takeOver()
  assert.equal(list(bench, lives, [vm({ state: 'moving' })]), 0)
  assert.equal(list(bench, lives, [vm()]), 0)
  assert.equal(list(bench, lives, [vm({ state: 'moving' })]), 0)
})

test('a worker that answers is not doubted', () => {
  const { bench, lives } = takeOver()
  lives.needsVmList()
  bench.report('w1')
  bench.now += 300
  assert.equal(lives.needsVmList(), false)
})

test('what ran on a lost VM starts again before its lease is over, and the dead life is not met again', () => {
  const bench = new Bench()
  bench.meet(worker('w1'))
  const lives = new LostWorkerDetector(bench.scheduler, { now: () => bench.now })
  bench.admit()
  assert.equal(bench.startAll().length, 1)
  bench.worker('w1').reachable = false
  const down = [vm({ state: 'down' })]
  assert.equal(list(bench, lives, down) + list(bench, lives, down), 1)
  bench.scheduler.setWorkers([worker('w1'), worker('w2')], { unknownRunsUntil: 0 })
  bench.report('w2')
  assert.deepEqual(bench.startAll().map(run => run.worker.registration.id), ['w2'])
  assert.equal(bench.worker('w1').ended, true)
})
