import assert from 'node:assert/strict'
import { test } from 'node:test'
import { findHolds, findUnserved, longestMsOf, type HoldCode, type Task } from '@wisteriaslip/jobs.scheduler'
import { capacityOfUnknownRuns } from '../src/start-limiter.ts'
import { ended, limits, running, SchedulerHarness, step, worker } from './harness.ts'

const PASS_MS = 100
/** A term looks after workers and tasks once in a pass, and a report comes within one more. */
const SLACK_MS = 2 * PASS_MS
const LEASE_MS = 4_000
const OTHER_ID = '00000000000000bb'
const demand = { cpu: 500, memMb: 100, accelerators: 0 }
const times = { longestLeaseMs: limits.longestLeaseMs, maxEarlierLeaseMs: limits.longestLeaseMs }

function longestOf (code: HoldCode): number {
  return longestMsOf(code, { times, isLasting: true }) ?? assert.fail(`${code} has no longest time`)
}

function has (harness: SchedulerHarness, task: Task, code: HoldCode): boolean {
  return findHolds(harness.scheduler, task, { queue: () => undefined, now: harness.now }).some(hold => hold.code === code)
}

/** Plays passes, and returns for how long the task has the hold. */
function lastsMs (harness: SchedulerHarness, task: Task, code: HoldCode, pass: () => void = () => undefined): number {
  assert.ok(has(harness, task, code), `the task has no hold ${code}`)
  const begunAt = harness.now
  while (!task.done && has(harness, task, code) && harness.now - begunAt < 60_000) {
    harness.now += PASS_MS
    pass()
    harness.scheduler.tick()
    harness.startReadyTasks()
  }
  return harness.now - begunAt
}

function assertEnds (ms: number, code: HoldCode): void {
  assert.ok(ms <= longestOf(code) + SLACK_MS, `${code} lasts ${ms} ms, longest ${longestOf(code)}`)
}

function addTask (harness: SchedulerHarness, opts: { acceptedThisTerm?: boolean } = {}): Task {
  harness.addJob({ steps: [step({ lasting: true, demand })] }, opts)
  return findUnserved(harness.scheduler)[0] ?? assert.fail('no task waits')
}

function suspect (task: Task): void {
  task.crashes = [{ worker: 'w0@1', survivedMs: 10 }, { worker: 'w9@1', survivedMs: 10 }]
  task.step.suspects = 1
}

test('EARLIER_LEADERS_WORKERS_SILENT ends in its time while a worker of the record stays silent', () => {
  const code = 'EARLIER_LEADERS_WORKERS_SILENT'
  const harness = new SchedulerHarness()
  harness.scheduler.setWorkers([worker('w1'), worker('silent')], { unknownRunsUntil: harness.now + longestOf(code) })
  harness.report('w1')
  const task = addTask(harness, { acceptedThisTerm: false })
  assertEnds(lastsMs(harness, task, code), code)
  assert.equal(task.runs.length, 1)
})

for (const code of ['ONLY_WITHDRAWN_ROOM', 'CLAIMED'] as const) {
  test(`${code} ends in its time although the only worker with room is withdrawn, and was just called drained`, () => {
    const harness = new SchedulerHarness()
    const [withdrawn] = harness.addWorkers(worker('w1'))
    assert.ok(withdrawn !== undefined)
    withdrawn.withdraw(harness.now)
    withdrawn.noteCalledDrained(harness.now)
    const task = addTask(harness)
    harness.startReadyTasks()
    assertEnds(lastsMs(harness, task, code, () => {
      withdrawn.withdraw(harness.now)
      harness.report('w1')
    }), code)
    assert.equal(task.runs.length, 1)
  })
}

test('SUSPECTED_OF_CRASHES ends in its time while an isolated run of the job is undecided', () => {
  const code = 'SUSPECTED_OF_CRASHES'
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.addJob({ steps: [step({ lasting: true, tasks: 2, demand })] })
  const [first, second] = findUnserved(harness.scheduler)
  assert.ok(first !== undefined && second !== undefined)
  for (const task of [first, second]) suspect(task)
  first.step.suspects = 2
  harness.startWithoutResponse()
  const waiting = first.runs.length === 0 ? first : second
  assertEnds(lastsMs(harness, waiting, code, () => harness.report('w1')), code)
  assert.equal(waiting.runs.length, 1)
})

test('TASK_RESTS ends in its time after a refused start', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  const task = addTask(harness)
  const [run] = harness.scheduler.placeReadyTasks()
  assert.ok(run !== undefined)
  harness.scheduler.handleStartResponse(run, { kind: 'refused', reason: 'fence' })
  assertEnds(lastsMs(harness, task, 'TASK_RESTS'), 'TASK_RESTS')
})

test('RUN_ON_SILENT_WORKER ends in its time after the last lease that a silent worker may be sent', () => {
  const code = 'RUN_ON_SILENT_WORKER'
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  const task = addTask(harness)
  harness.startReadyTasks()
  const silent = harness.worker('w1')
  const heardAt = harness.now
  silent.markUnreachable(harness.now)
  assertEnds(lastsMs(harness, task, code, () => {
    if (harness.now - heardAt < 3_000) silent.extendLease(harness.now, LEASE_MS)
  }), code)
  assert.deepEqual(task.runs, [])
})

test('RUN_OF_ENDED_INCARNATION ends in its time while nothing proves the end of its start', () => {
  const code = 'RUN_OF_ENDED_INCARNATION'
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  const task = addTask(harness)
  harness.startWithoutResponse()
  harness.scheduler.endIncarnation(harness.worker('w1'))
  assertEnds(lastsMs(harness, task, code), code)
})

test('RESTS ends in its time after failed runs', () => {
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  for (const [at, id] of ['00000000000000b0', '00000000000000b1'].entries()) {
    harness.addJob({ id, steps: [step({ demand })] })
    const [run] = harness.startReadyTasks()
    assert.ok(run !== undefined)
    harness.report('w1', { ended: [ended(at + 1, run.task.name, run.attempt, 'failed')] })
  }
  const task = addTask(harness)
  assertEnds(lastsMs(harness, task, 'RESTS', () => harness.report('w1')), 'RESTS')
})

test('CLOSED_BY_ISOLATED_RUN ends in its time once the isolated run goes on', () => {
  const code = 'CLOSED_BY_ISOLATED_RUN'
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.addJob({ id: OTHER_ID, steps: [step({ lasting: true, demand })] })
  const suspected = findUnserved(harness.scheduler)[0] ?? assert.fail('no task waits')
  suspect(suspected)
  const [isolated] = harness.startReadyTasks()
  assert.equal(isolated?.isolation, 'whole')
  const task = addTask(harness)
  harness.startReadyTasks()
  assertEnds(lastsMs(harness, task, code, () => harness.report('w1', { running: suspected.runs.map(run => running(run.task.name, run.attempt, 1)) })), code)
  assert.equal(task.runs.length, 1)
})

test('RESERVED_FOR_ANOTHER ends in its time for a long-running task beside a suspected one that fits nowhere', () => {
  const code = 'RESERVED_FOR_ANOTHER'
  const harness = new SchedulerHarness()
  harness.addWorkers(worker('w1'))
  harness.addJob({ id: '00000000000000b0', steps: [step({ demand })] })
  harness.startReadyTasks()
  harness.addJob({ id: OTHER_ID, steps: [step({ lasting: true, demand: { ...demand, cpu: 4_000 } })] })
  suspect(findUnserved(harness.scheduler)[0] ?? assert.fail('no task waits'))
  const task = harness.scheduler.table.jobs.get(harness.addJob({ steps: [step({ lasting: true, demand })] }).id)?.task({ occurrence: 0, step: 0, index: 0 })
  assert.ok(task !== undefined)
  harness.startReadyTasks()
  const [other] = [...harness.worker('w1').runs.values()]
  assert.ok(other !== undefined)
  assertEnds(lastsMs(harness, task, code, () => harness.report('w1', { running: [running(other.task.name, other.attempt)] })), code)
  assert.equal(task.runs.length, 1)
})

test('QUOTA_OF_SILENT_WORKERS ends in its time while a worker of the record stays silent', () => {
  const harness = new SchedulerHarness()
  harness.scheduler.setWorkers([worker('silent')], { unknownRunsUntil: harness.now + longestOf('QUOTA_OF_SILENT_WORKERS') })
  const unknown = () => capacityOfUnknownRuns(harness.scheduler.workers.values(), harness.scheduler.leasesKnownAt()).cpu
  assert.equal(unknown(), 4_000)
  harness.now += longestOf('QUOTA_OF_SILENT_WORKERS')
  assert.equal(unknown(), 0)
})
