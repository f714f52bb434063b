import assert from 'node:assert/strict'
import { test } from 'node:test'
import { UNKNOWN_BORN } from '@wisteriaslip/jobs.model'
import { job, SchedulerHarness, step, worker } from './harness.ts'

const PASS_MS = 100
const MAX_WAIT_MS = 60_000

// Its registration was taken for that of the incarnation that had ended, for as long as the term lasted.
test('a worker whose registration does not say when it was born gets tasks after a restart, its end having been seen first', () => {
  const harness = new SchedulerHarness()
  const [before] = harness.addWorkers(worker('w1', { born: UNKNOWN_BORN, revision: 20 }))
  assert.ok(before !== undefined)
  harness.scheduler.endIncarnation(before, { planned: true })
  const restarted = [worker('w1', { born: UNKNOWN_BORN, revision: 30 })]
  harness.addJob(job({ steps: [step({ lasting: true })] }))
  const handedInAt = harness.now
  let startedAt: number | undefined
  while (startedAt === undefined && harness.now - handedInAt < MAX_WAIT_MS) {
    harness.now += PASS_MS
    harness.scheduler.setWorkers(restarted, { unknownRunsUntil: 0 })
    const tracked = harness.scheduler.workers.get('w1')
    if (tracked !== undefined && !tracked.ended) harness.report('w1')
    harness.scheduler.tick()
    if (harness.startReadyTasks().length > 0) startedAt = harness.now
  }
  assert.ok(startedAt !== undefined, `not started within ${MAX_WAIT_MS} ms`)
})
