import assert from 'node:assert/strict'
import { readdirSync, readFileSync } from 'node:fs'
import { test } from 'node:test'
import { CLOCK_DRIFT_FACTOR, WORKER_LEASE_MS, type Queue } from '@wisteriaslip/jobs.model'
import { findHolds, findUnserved, holds, longestMsOf, noLimits, serviceHolds, type HoldCode, type HoldKind, type LimitFigures, type Task } from '@wisteriaslip/jobs.scheduler'
import { limits, SchedulerHarness, step, worker } from './harness.ts'

const OTHER_ID = '00000000000000bb'
const nothing = { cpu: 0, memMb: 0, accelerators: 0 }
const small = { cpu: 500, memMb: 100, accelerators: 0 }
const guarded: Queue = { name: 'q', host: 'h', pathPrefix: '/q/', service: 's', priority: 0, attempts: 2, stretch: 1.6, objectiveMs: 600, timeoutMs: 3_000, needsPermit: true }
const figures: LimitFigures = { account: 'a', quota: nothing, isRead: true, part: nothing, inUse: nothing, mayHaveMore: false, elsewhere: nothing, neverFits: false }
const times = { longestLeaseMs: limits.longestLeaseMs, maxEarlierLeaseMs: limits.longestLeaseMs }

const root = new URL('../../../', import.meta.url)
const page = readFileSync(new URL('docs/incidents/states-that-hold-a-task.md', root), 'utf8')
const testFiles = new Set(['jobs', 'testing'].flatMap(folder => readdirSync(new URL(folder, root), { recursive: true, encoding: 'utf8' })).map(path => path.split(/[\\/]/).at(-1)))

/** A long-running task that waits. */
function addTask (harness: SchedulerHarness, overrides: Parameters<typeof step>[0] = {}, opts: { acceptedThisTerm?: boolean } = {}): Task {
  harness.addJob({ steps: [step({ lasting: true, ...overrides })] }, opts)
  const [task] = findUnserved(harness.scheduler)
  assert.ok(task !== undefined)
  return task
}

/** Makes a task suspected, or the only task of another job. */
function suspect (harness: SchedulerHarness, task?: Task): Task {
  if (task === undefined) harness.addJob({ id: OTHER_ID, steps: [step({ lasting: true, demand: small })] })
  const suspected = task ?? harness.scheduler.table.jobs.get(OTHER_ID)?.task({ occurrence: 0, step: 0, index: 0 })
  assert.ok(suspected !== undefined)
  suspected.crashes = [{ worker: 'w0@1', survivedMs: 10 }]
  suspected.step.suspects = 1
  return suspected
}

function withWorker (...ids: string[]): SchedulerHarness {
  const harness = new SchedulerHarness()
  harness.addWorkers(...(ids.length === 0 ? ['w1'] : ids).map(id => worker(id)))
  return harness
}

function codesOf (harness: SchedulerHarness, task: Task, opts: { queue?: Queue, pass?: { mayAct: boolean, freeStarts: number } } = {}): HoldCode[] {
  return findHolds(harness.scheduler, task, { queue: () => opts.queue, now: harness.now, pass: opts.pass }).map(({ code }) => code)
}

function limitedBy (harness: SchedulerHarness, quota: LimitFigures): SchedulerHarness {
  return Object.assign(harness, { scheduler: Object.assign(harness.scheduler, { limiter: { ...noLimits, whyNot: () => quota } }) })
}

/** A task whose start was sent to w1. */
function startTask (): { harness: SchedulerHarness, task: Task } {
  const harness = withWorker()
  const task = addTask(harness)
  assert.equal(harness.scheduler.placeReadyTasks().length, 1)
  return { harness, task }
}

/** The code of a worker that was changed, and has room for a task. */
function whenWorker (change: (harness: SchedulerHarness) => void): HoldCode[] {
  const harness = withWorker()
  change(harness)
  return codesOf(harness, addTask(harness))
}

/** Makes the hold of each code. */
const scenes: Readonly<Record<Exclude<HoldCode, keyof typeof serviceHolds>, () => HoldCode[]>> = {
  EARLIER_LEADERS_WORKERS_SILENT () {
    const harness = new SchedulerHarness()
    harness.scheduler.setWorkers([worker('w1')], { unknownRunsUntil: harness.now + 1_000 })
    return codesOf(harness, addTask(harness, {}, { acceptedThisTerm: false }))
  },
  ACCOUNT_QUOTA () {
    const harness = limitedBy(withWorker(), figures)
    return codesOf(harness, addTask(harness))
  },
  QUOTA_NOT_READ () {
    const harness = limitedBy(withWorker(), { ...figures, isRead: false })
    return codesOf(harness, addTask(harness))
  },
  QUOTA_NOT_KNOWN () {
    const harness = limitedBy(withWorker(), { ...figures, quota: undefined })
    return codesOf(harness, addTask(harness))
  },
  QUOTA_OF_SILENT_WORKERS () {
    const harness = limitedBy(withWorker(), { ...figures, mayHaveMore: true })
    return codesOf(harness, addTask(harness))
  },
  NO_USABLE_WORKER () {
    const harness = new SchedulerHarness()
    return codesOf(harness, addTask(harness))
  },
  NO_WORKER_WITH_LABEL () {
    const harness = withWorker()
    return codesOf(harness, addTask(harness, { label: 'other' }))
  },
  ONLY_WITHDRAWN_ROOM: () => whenWorker(harness => harness.worker('w1').withdraw(harness.now)),
  NO_ROOM () {
    const harness = withWorker()
    return codesOf(harness, addTask(harness, { demand: { ...small, cpu: 5_000 } }))
  },
  NO_PERMIT () {
    const harness = new SchedulerHarness({ queue: { needsPermit: true } })
    harness.addWorkers(worker('w1'))
    return codesOf(harness, addTask(harness), { queue: guarded })
  },
  SUSPECTED_OF_CRASHES () {
    const harness = withWorker()
    return codesOf(harness, suspect(harness, addTask(harness)))
  },
  UNSETTLED_OR_RESTING () {
    const harness = withWorker()
    return codesOf(harness, addTask(harness))
  },
  TASK_RESTS () {
    const { harness, task } = startTask()
    const [run] = task.runs
    assert.ok(run !== undefined)
    harness.scheduler.handleStartResponse(run, { kind: 'refused', reason: 'fence' })
    return codesOf(harness, task)
  },
  CRASHES_NOT_STORED () {
    const harness = withWorker()
    const task = suspect(harness, addTask(harness))
    task.step.job.crashVersion += 1
    return codesOf(harness, task)
  },
  START_IN_PROGRESS () {
    const { harness, task } = startTask()
    return codesOf(harness, task)
  },
  START_UNANSWERED () {
    const harness = withWorker()
    const task = addTask(harness)
    harness.startWithoutResponse()
    return codesOf(harness, task)
  },
  RUN_BEING_STOPPED () {
    const harness = withWorker()
    const task = addTask(harness)
    for (const run of harness.startReadyTasks()) harness.scheduler.requestStop(run, 'worker withdrawn')
    return codesOf(harness, task)
  },
  RUN_ON_SILENT_WORKER () {
    const harness = withWorker()
    const task = addTask(harness)
    harness.startReadyTasks()
    harness.worker('w1').markUnreachable(harness.now)
    return codesOf(harness, task)
  },
  RUN_OF_ENDED_INCARNATION () {
    const harness = withWorker()
    const task = addTask(harness)
    harness.startWithoutResponse()
    harness.scheduler.endIncarnation(harness.worker('w1'))
    return codesOf(harness, task)
  },
  LIFE_ENDED: () => whenWorker(harness => { harness.worker('w1').ended = true }),
  NOT_MET: () => whenWorker(harness => { harness.worker('w1').fenced = false }),
  NO_ANSWER: () => whenWorker(harness => harness.worker('w1').markUnreachable(harness.now)),
  NO_COMMAND_CHANNEL: () => whenWorker(harness => { harness.worker('w1').takesCommands = false }),
  LEASE_NOT_RECORDED: () => whenWorker(harness => { harness.worker('w1').mayGetLeases = false }),
  HAS_UNTRACKED_RUNS: () => whenWorker(harness => { harness.worker('w1').hasUntrackedRuns = true }),
  NOT_REGISTERED: () => whenWorker(harness => { harness.worker('w1').deregistered = true }),
  DRAINING: () => whenWorker(harness => { harness.worker('w1').registration = worker('w1', { draining: true }) }),
  BEING_EMPTIED: () => whenWorker(harness => harness.worker('w1').withdraw(harness.now)),
  RESTS: () => whenWorker(harness => { harness.worker('w1').cooldownUntil = harness.now + 1 }),
  NO_CLOCK () {
    const harness = new SchedulerHarness()
    harness.scheduler.setWorkers([worker('w1')], { unknownRunsUntil: 0 })
    Object.assign(harness.worker('w1'), { fenced: true, reachable: true })
    return codesOf(harness, addTask(harness))
  },
  CLAIMED () {
    const harness = withWorker()
    harness.worker('w1').withdraw(harness.now)
    const task = addTask(harness)
    harness.scheduler.placeReadyTasks()
    return codesOf(harness, task)
  },
  NO_LABEL () {
    const harness = withWorker()
    return codesOf(harness, addTask(harness, { label: 'other' }))
  },
  PER_WORKER () {
    const harness = withWorker()
    const task = addTask(harness, { tasks: 2, perWorker: 1 }).step.tasks[1]
    assert.ok(task !== undefined)
    harness.startReadyTasks()
    return codesOf(harness, task)
  },
  REFUSED_BY_POLICY () {
    const harness = new SchedulerHarness({ queue: { needsPermit: true } })
    const workers = harness.addWorkers(worker('w1'))
    const task = addTask(harness)
    task.step.permits.update(new Map(), { workers, validUntil: Infinity, askAgainAt: 0 })
    return codesOf(harness, task, { queue: guarded })
  },
  CLOSED_BY_ISOLATED_RUN () {
    const harness = withWorker()
    suspect(harness)
    harness.scheduler.placeReadyTasks()
    harness.addJob({ steps: [step({ lasting: true })] })
    const task = harness.scheduler.table.jobs.get('00000000000000aa')?.task({ occurrence: 0, step: 0, index: 0 })
    assert.ok(task !== undefined)
    harness.scheduler.placeReadyTasks()
    return codesOf(harness, task)
  },
  RESERVED_FOR_ANOTHER () {
    const harness = withWorker()
    harness.addJob({ id: '00000000000000b0', steps: [step({ demand: { ...small, cpu: 1_000 } })] })
    harness.startReadyTasks()
    harness.addJob({ id: '00000000000000b1', steps: [step({ lasting: true, demand: { ...small, cpu: 4_000 } })] })
    harness.addJob({ id: '00000000000000b2', steps: [step({ demand: small })] })
    harness.scheduler.placeReadyTasks()
    const task = harness.scheduler.table.jobs.get('00000000000000b2')?.task({ occurrence: 0, step: 0, index: 0 })
    assert.ok(task !== undefined)
    return codesOf(harness, task)
  },
  LEADERSHIP_NOT_CONFIRMED () {
    const harness = withWorker()
    return codesOf(harness, addTask(harness), { pass: { mayAct: false, freeStarts: 8 } })
  },
  NO_FREE_STARTS () {
    const harness = withWorker()
    return codesOf(harness, addTask(harness), { pass: { mayAct: true, freeStarts: 0 } })
  }
}

// Reasons for a task, a step and a worker came from three places, and a new one could be missing in any of them.
for (const [code, makeHold] of Object.entries(scenes)) {
  test(`hold ${code} is found`, () => {
    assert.ok(makeHold().includes(code as HoldCode), makeHold().join())
  })
}

test('each code is in the catalogue, and each one of the catalogue can be produced, here or by the entry', () => {
  assert.deepEqual([...Object.keys(scenes), ...Object.keys(serviceHolds)].sort(), Object.keys(holds).sort())
})

test('each hold says what ends it, and for how long it may last or why it has no such time', () => {
  for (const [code, kind] of Object.entries<HoldKind>(holds)) {
    assert.ok(kind.ends.length > 0, code)
    assert.ok(kind.hint.length > 0, code)
    const longestMs = longestMsOf(code as HoldCode, { times, isLasting: true })
    if (kind.longest.kind === 'bounded') assert.ok(longestMs !== undefined && longestMs > 0 && Number.isFinite(longestMs), code)
    else assert.ok(longestMs === undefined && kind.longest.why.length > 0, code)
  }
})

test('a hold says for how long it has lasted, and when it ends at the latest', () => {
  const harness = withWorker()
  const task = addTask(harness)
  harness.startReadyTasks()
  harness.worker('w1').markUnreachable(harness.now)
  const silentAt = harness.now
  harness.now += 1_000
  const [hold] = findHolds(harness.scheduler, task, { queue: () => undefined, now: harness.now })
  assert.deepEqual({ code: hold?.code, owner: hold?.owner, name: hold?.name, since: hold?.since }, { code: 'RUN_ON_SILENT_WORKER', owner: 'worker', name: 'w1', since: silentAt })
  assert.equal(hold?.until, silentAt + (longestMsOf('RUN_ON_SILENT_WORKER', { times, isLasting: true }) ?? NaN))
})

// The page of the states was right when it was written, and old a month later.
test('each code has a row on the page of the states, each row a code or none, and the tests that it names exist', () => {
  const rows = page.split('\n').filter(line => line.startsWith('| ')).map(line => line.split('|').slice(1, -1).map(cell => cell.trim()))
  const coded = rows.filter(cells => cells.length === 7 && cells[0] !== 'code' && !cells[0]?.startsWith('---'))
  assert.deepEqual(coded.map(([code]) => code).sort(), Object.keys(holds).sort())
  for (const [code, owner] of coded) assert.equal(owner, holds[code as HoldCode].owner, code)
  const missing = [...new Set(page.match(/[\w.-]+\.test\.ts/g))].filter(name => !testFiles.has(name))
  assert.deepEqual(missing, [])
})

test('the longest times on the page are those of the code', () => {
  const usual = { longestLeaseMs: 10_000, maxEarlierLeaseMs: WORKER_LEASE_MS * CLOCK_DRIFT_FACTOR }
  const rowOf = (code: string): string => page.split('\n').find(line => line.startsWith(`| ${code} |`)) ?? ''
  const differing = Object.entries<HoldKind>(holds).filter(([code, { longest }]) => {
    if (longest.kind === 'unbounded') return false
    const longestMs = longestMsOf(code as HoldCode, { times: usual, isLasting: true }) ?? NaN
    const text = code === 'RUN_OF_ENDED_INCARNATION' && longestMs === 2 * usual.longestLeaseMs ? '2 L' : `${Number((longestMs / 1_000).toFixed(1))} s`
    return !rowOf(code).split('|')[5]?.split(/[;,(]/).some(part => part.trim().startsWith(text))
  })
  assert.deepEqual(differing.map(([code]) => code), [])
})
