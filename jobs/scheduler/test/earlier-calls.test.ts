import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Vm } from '@wisteriaslip/jobs.model'
import { LostWorkerDetector } from '@wisteriaslip/jobs.scheduler'
import { SchedulerHarness, worker } from './harness.ts'

function vm (overrides: Partial<Vm> = {}): Vm {
  return { id: 'vm-w1', pool: 's', state: 'up', zone: 'z', rack: 'r1', labels: [], capacity: { cpu: 4_000, memMb: 8_000, accelerators: 0 }, worker: 'w1', ...overrides }
}

// A leader that had been replaced started a task on the next incarnation of a worker that lists had proved to be lost: it ran twice.
test('lists prove the loss of a worker that has not responded in this term once the calls of earlier leaders have ended', () => {
  for (const { listed, provenAtOnce } of [
    { listed: vm({ state: 'down', worker: '' }), provenAtOnce: false },
    { listed: vm({ worker: 'w9' }), provenAtOnce: true }
  ]) {
    const harness = new SchedulerHarness({ term: 1 })
    harness.scheduler.setWorkers([worker('w1'), worker('w2')], { unknownRunsUntil: harness.now + 6_000 })
    harness.report('w2')
    const earlierCallsEndAt = harness.now + 2_300
    const detector = new LostWorkerDetector(harness.scheduler, { now: () => harness.now }, { earlierCallsEndAt })
    const provenAt: number[] = []
    for (; harness.now < earlierCallsEndAt + 1_000; harness.now += 100) {
      if (detector.needsVmList() && detector.applyVmList([listed], harness.now).length > 0) provenAt.push(harness.now - earlierCallsEndAt)
    }
    assert.equal(provenAt.length, 1)
    assert.equal((provenAt[0] ?? 0) < 0, provenAtOnce, `${provenAt[0]} ms`)
  }
})

test('lists prove the loss of a worker that has responded in this term at once', () => {
  const harness = new SchedulerHarness({ term: 1 })
  const [w1] = harness.addWorkers(worker('w1'), worker('w2'))
  harness.addJob()
  harness.startReadyTasks()
  w1?.markUnreachable(harness.now)
  const beganAt = harness.now
  const detector = new LostWorkerDetector(harness.scheduler, { now: () => harness.now }, { earlierCallsEndAt: harness.now + 2_300 })
  for (; w1?.ended === false && harness.now < beganAt + 5_000; harness.now += 100) {
    if (detector.needsVmList()) detector.applyVmList([vm({ state: 'down', worker: '' })], harness.now)
  }
  assert.ok(harness.now - beganAt <= 1_000, `${harness.now - beganAt} ms`)
})
