import assert from 'node:assert/strict'
import { test } from 'node:test'
import { recordingLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import { holds } from '@wisteriaslip/jobs.scheduler'
import type { ServiceTermOpts } from '../src/ports.ts'
import { UnservedMonitor } from '../src/unserved-monitor.ts'
import { SchedulerHarness, step, worker } from '../../scheduler/test/harness.ts'

const OVERDUE = 'a hold has lasted longer than it may'

/** A service with a monitor that looks at it each 100 ms. */
function createService () {
  const harness = new SchedulerHarness()
  const lines: Array<Record<string, unknown>> = []
  const metrics = new Metrics()
  const add = (fields: Record<string, unknown>, msg: string): void => { lines.push({ ...fields, msg }) }
  const logger = Object.assign(recordingLogger([]), { info: add, warn: add })
  const monitor = new UnservedMonitor({ service: 's', token: 1, clock: { now: () => harness.now }, logger, metrics, queue: () => undefined } as unknown as ServiceTermOpts)
  const pass = (ms: number): void => {
    for (const until = harness.now + ms; harness.now < until;) {
      harness.now += 100
      monitor.observe(harness.scheduler, { mayAct: true, freeStarts: 8 })
    }
  }
  const overdue = () => lines.filter(({ msg }) => msg === OVERDUE)
  const listed = () => lines.filter(({ msg }) => msg !== OVERDUE).at(-1)?.tasks as Array<Record<string, unknown>>
  return { harness, pass, overdue, listed, counted: () => /holds_overdue_total\S* \d+/.exec(metrics.render())?.[0] }
}

/** Two tasks on one worker, which falls silent while nothing releases its runs. */
function loseWorker () {
  const service = createService()
  const { harness } = service
  harness.addWorkers(worker('w1'))
  harness.addJob({ steps: [step({ lasting: true, tasks: 2 })] })
  assert.equal(harness.startReadyTasks().length, 2)
  harness.worker('w1').markUnreachable(harness.now)
  return service
}

// Nothing told whether a wait was longer than the code means it to be.
test('a hold that has lasted longer than it may is logged once, with its owner and age, and counted once', () => {
  const { pass, overdue, counted } = loseWorker()
  pass(9_000)
  assert.deepEqual(overdue(), [])
  pass(9_000)
  const [line, ...others] = overdue()
  assert.deepEqual(others, [])
  assert.deepEqual({ code: line?.code, owner: line?.owner, name: line?.name, hint: line?.hint }, { code: 'RUN_ON_SILENT_WORKER', owner: 'worker', name: 'w1', hint: holds.RUN_ON_SILENT_WORKER.hint })
  assert.ok(Number(line?.forMs) > 9_000 && Number(line?.overdueMs) > 1_500, JSON.stringify(line))
  assert.equal(counted(), 'holds_overdue_total{code="RUN_ON_SILENT_WORKER"} 1')
})

test('one that comes back and lasts too long again is logged again', () => {
  const { harness, pass, overdue } = loseWorker()
  pass(15_000)
  const running = [...harness.worker('w1').runs.values()].map(({ task, attempt }) => ({ task: task.name, attempt, checkpoint: '', percent: 1, load: 0 }))
  harness.report('w1', { running })
  pass(3_000)
  harness.worker('w1').markUnreachable(harness.now)
  pass(15_000)
  assert.equal(overdue().length, 2)
})

test('a hold without a longest time is never overdue', () => {
  const { harness, pass, overdue, listed } = createService()
  harness.addWorkers(worker('w1'))
  harness.addJob({ steps: [step({ lasting: true, demand: { cpu: 5_000, memMb: 100, accelerators: 0 } })] })
  pass(60_000)
  assert.deepEqual(overdue(), [])
  assert.deepEqual(listed()[0]?.holds, [{ code: 'NO_ROOM', owner: 'step', forMs: 57_000 }])
})

// `forMs` begins anew with each term, so that a wait over three terms looked like three short ones.
test('the line says how long ago the job was accepted, and whether a run was known in this term', () => {
  const { harness, pass, listed } = createService()
  const acceptedAt = harness.now - 8_000
  harness.addJob({ acceptedAt, steps: [step({ lasting: true })] }, { acceptedThisTerm: false })
  pass(4_000)
  const waiting = listed()[0]
  assert.deepEqual({ acceptedMsAgo: waiting?.acceptedMsAgo, ranInThisTerm: waiting?.ranInThisTerm }, { acceptedMsAgo: harness.now - acceptedAt - 900, ranInThisTerm: false })
  assert.ok(Number(waiting?.forMs) < 4_000)

  harness.addWorkers(worker('w1'))
  harness.startReadyTasks()
  harness.scheduler.endIncarnation(harness.worker('w1'))
  pass(4_000)
  assert.equal(listed()[0]?.ranInThisTerm, true)
})
