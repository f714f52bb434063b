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

// Tasks were started without a permit once the route of their queue was gone, and refused by each worker, again and again.
test('a job whose queue the leader does not know is started with permits if its queue needed them at acceptance', () => {
  const harness = new SchedulerHarness()
  harness.queueKnown = false
  harness.addWorkers(worker('w1'), worker('w2'))
  harness.addJob({ needsPermit: true, permitCost: { decisionMs: 400, perWorkerMs: 1_000 } })
  assert.deepEqual(harness.startReadyTasks(), [])
  const [request] = harness.scheduler.permitRequester.collect()
  assert.ok(request !== undefined)
  assert.equal(request.workers.length, 1, 'what a request takes is known as well')
  const [asked = ''] = request.workers.map(each => each.registration.id)
  harness.scheduler.permitRequester.handleResponse(request, { permits: new Map([[asked, 'permit']]), validMs: 5_000 })
  assert.deepEqual(harness.startReadyTasks().map(run => run.worker.registration.id), [asked])
})
