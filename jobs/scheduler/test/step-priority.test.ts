import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SchedulerHarness, step, worker } from './harness.ts'

const SMALL = '00000000000000a1'
const LARGE = '00000000000000b1'
const LATE = '00000000000000c1'

function firstStartedJob (harness: SchedulerHarness): string | undefined {
  return harness.startReadyTasks()[0]?.task.step.job.job.id
}

test('with five times more work than capacity, small jobs that can meet their objective start before large ones', () => {
  const harness = new SchedulerHarness()
  harness.addJob({ id: LARGE, steps: [step({ tasks: 20 })] })
  harness.addJob({ id: SMALL, steps: [step({ tasks: 2 })] })
  harness.addWorkers(worker('w1'))
  assert.equal(firstStartedJob(harness), SMALL)
})

test('a small job that has missed its objective starts after a large one that can still meet it', () => {
  const harness = new SchedulerHarness()
  harness.addJob({ id: LATE, steps: [step()] })
  harness.now += 5_000
  harness.addJob({ id: LARGE, steps: [step({ tasks: 20 })] })
  harness.addWorkers(worker('w1'))
  assert.equal(firstStartedJob(harness), LARGE)
})

test('long-running steps start first, then similar jobs by least slack', () => {
  const harness = new SchedulerHarness()
  harness.addJob({ id: SMALL, steps: [step({ tasks: 4 })] })
  harness.now += 300
  harness.addJob({ id: LATE, steps: [step({ tasks: 4 })] })
  harness.addJob({ id: LARGE, steps: [step({ lasting: true })] })
  harness.addWorkers(worker('w1'))
  assert.deepEqual(harness.startReadyTasks().map(run => run.task.step.job.job.id), [LARGE, SMALL, SMALL, SMALL])
})
