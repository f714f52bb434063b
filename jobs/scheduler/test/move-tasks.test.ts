import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { ActiveRun } from '@wisteriaslip/jobs.model'
import type { Run } from '@wisteriaslip/jobs.scheduler'
import { ended, limits, running, SchedulerHarness, step, worker } from './harness.ts'

const TASKS = ['00000000000000aa.0.0.0', '00000000000000aa.0.0.1'] as const
const ATTEMPT = 1

/** A new term's leader of two tasks of which one may be away, on w1 and w2, and a third worker with room. */
class Takeover extends SchedulerHarness {
  constructor () {
    super({ term: 1 })
    this.addJob({ steps: [step({ tasks: 2, lasting: true, mayMiss: 1, perWorker: 1 })] }, { acceptedThisTerm: false })
    this.scheduler.setWorkers(['w1', 'w2', 'w3'].map(id => worker(id)), { unknownRunsUntil: this.now + 6_000 })
    this.reportAll()
  }

  /** Each worker reports: w1 and w2 their task at work, w3 nothing. */
  reportAll (): void {
    this.report('w1', { running: [this.atWork(0)] })
    this.report('w2', { running: [this.atWork(1)] })
    this.report('w3')
  }

  atWork (index: 0 | 1): ActiveRun {
    return running(TASKS[index], ATTEMPT, 100)
  }

  /** Drains a worker and returns what it has to stop. */
  drain (id: string): Run[] {
    this.worker(id).withdraw(this.now)
    this.scheduler.stopLongRunningTasks(this.worker(id))
    return this.scheduler.collectDueStops()
  }
}

// A worker lists a run for as long as it takes to stop it: a new leader took a task that its predecessor had stopped for one at work, and stopped another.
test('a new leader stops no task of a step while its predecessor may have stopped another', () => {
  const harness = new Takeover()
  assert.deepEqual(harness.drain('w2'), [])
  harness.now += limits.stopMs - 50
  harness.reportAll()
  assert.deepEqual(harness.drain('w2'), [])
  harness.now += 50
  harness.report('w1', { ended: [ended(1, TASKS[0], ATTEMPT, 'stopped')] })
  harness.report('w2', { running: [harness.atWork(1)] })
  harness.now += 100
  harness.report('w2', { running: [harness.atWork(1)] })
  assert.deepEqual(harness.drain('w2'), [], 'the other task has no run')
  const [restarted] = harness.startReadyTasks()
  assert.equal(restarted?.task.name, TASKS[0])
  assert.deepEqual(harness.drain('w2'), [], 'the other task is not at work yet')
  harness.report(restarted.worker.registration.id, { running: [running(restarted.task.name, restarted.attempt, 100)] })
  harness.worker('w1').endWithdrawal()
  assert.deepEqual(harness.drain('w2').map(run => run.task.name), [TASKS[1]])
})

test('a new leader moves a task once those of its step have outlasted the stops of its predecessor', () => {
  const harness = new Takeover()
  harness.now += limits.stopMs * 1.1
  assert.deepEqual(harness.drain('w2'), [], 'no report since')
  harness.reportAll()
  assert.deepEqual(harness.drain('w2').map(run => run.task.name), [TASKS[1]])
})
