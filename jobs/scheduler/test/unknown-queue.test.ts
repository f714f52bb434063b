import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ended, SchedulerHarness, worker } from './harness.ts'

const ID = '00000000000000aa'
const TASK = `${ID}.0.0.0`

function failOneRun (harness: SchedulerHarness, seq: number): string | undefined {
  const [run] = harness.startReadyTasks()
  assert.equal(run?.task.name, TASK)
  harness.report('w1', { ended: [ended(seq, TASK, run.attempt, 'failed')] })
  harness.now += 5_000
  return harness.scheduler.table.jobs.get(ID)?.outcome
}

// Guards against jobs that fail after one failed run, because the leader has no settings of their queue.
test('a job whose queue the leader does not know fails after as many failed runs as its queue allowed at acceptance', () => {
  const harness = new SchedulerHarness()
  harness.queueKnown = false
  harness.addWorkers(worker('w1'))
  harness.addJob({ attempts: 2 })
  assert.equal(failOneRun(harness, 1), undefined)
  assert.equal(failOneRun(harness, 2), 'failed')
})

// Guards against a limit at acceptance that outlives the configuration in force.
test('the number of attempts in the configuration in force goes before that at acceptance', () => {
  const harness = new SchedulerHarness({ queue: { attempts: 1 } })
  harness.addWorkers(worker('w1'))
  harness.addJob({ attempts: 2 })
  assert.equal(failOneRun(harness, 1), 'failed')
})
