import assert from 'node:assert/strict'
import { test } from 'node:test'
import { withdrawWorkers } from '@wisteriaslip/jobs.service'
import { ended, running, SchedulerHarness, step, worker } from '../../scheduler/test/harness.ts'

/** Answers the permit requests that are due, allowing only the given workers. */
function answerPermitRequests (harness: SchedulerHarness, allowed: readonly string[]): void {
  for (const request of harness.scheduler.permitRequester.collect()) {
    const ids = request.workers.map(each => each.registration.id)
    harness.scheduler.permitRequester.handleResponse(request, { permits: new Map(ids.filter(id => allowed.includes(id)).map(id => [id, 'permit'])), validMs: 60_000 })
  }
}

/** Drains w1 for some time, with a report each 100 ms; stops take 400 ms. Returns the number of runs that were stopped. */
function drainW1 (harness: SchedulerHarness, ms: number, allowed: readonly string[]): number {
  let stops = 0
  let seq = 0
  for (const until = harness.now + ms; harness.now < until;) {
    harness.now += 100
    answerPermitRequests(harness, allowed)
    for (const id of ['w1', 'w2']) {
      const each = harness.worker(id)
      const over = [...each.runs.values()].filter(run => run.stopAcknowledgedAt !== undefined && harness.now - run.stopAcknowledgedAt >= 400)
      const runs = [...each.runs.values()].filter(run => !over.includes(run))
      stops += over.length
      harness.report(id, {
        running: runs.map(run => running(run.task.name, run.attempt, harness.now - run.startedAt >= 500 ? 100 : 50)),
        ended: over.map(run => {
          seq += 1
          return ended(seq, run.task.name, run.attempt, 'stopped')
        })
      })
    }
    harness.persist()
    withdrawWorkers(harness.scheduler, ['vm-w1'], harness.now)
    for (const run of harness.scheduler.collectDueStops()) harness.scheduler.handleStopResponse(run, true)
    harness.startReadyTasks()
  }
  return stops
}

// A long-running task was stopped again and again for room on a worker on which the policy does not allow it.
test('a task is not stopped over and over for room that it cannot have', () => {
  const harness = new SchedulerHarness({ queue: { needsPermit: true } })
  harness.addWorkers(worker('w1'), worker('w2'))
  harness.addJob({ steps: [step({ lasting: true, mayMiss: 1 })] })
  answerPermitRequests(harness, ['w1'])
  harness.startReadyTasks()
  const stops = drainW1(harness, 20_000, ['w1'])
  assert.ok(stops <= 1, `stopped ${stops} times in 20 s`)
})
