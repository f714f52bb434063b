import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LostWorkerDetector } from '@wisteriaslip/jobs.scheduler'
import { SchedulerHarness, worker } from './harness.ts'

// A worker that had registered and was not reached yet was taken for ended as no list showed its VM, and was not used for the rest of the
// term when lists showed it.
test('a worker whose VM no list has shown yet is used once the worker responds', () => {
  const harness = new SchedulerHarness({ term: 1 })
  harness.scheduler.setWorkers([worker('w1'), worker('w2')], { unknownRunsUntil: harness.now + 6_000 })
  harness.report('w2')
  const detector = new LostWorkerDetector(harness.scheduler, { now: () => harness.now })
  const listed = { id: 'vm-w2', pool: 's', state: 'up' as const, zone: 'z', rack: 'r1', labels: [], capacity: { cpu: 4_000, memMb: 8_000, accelerators: 0 }, worker: 'w2' }
  for (let times = 0; times < 8; times++) {
    detector.needsVmList()
    harness.now += 300
    if (detector.needsVmList()) detector.applyVmList([listed], harness.now)
  }
  harness.scheduler.setWorkers([worker('w1'), worker('w2')], { unknownRunsUntil: harness.now + 6_000 })
  assert.equal(harness.worker('w1').ended, false)
})
