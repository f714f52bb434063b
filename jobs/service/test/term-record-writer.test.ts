import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err, ok, type Result } from '@wisteriaslip/core.result'
import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { Queue, WorkerRegistration } from '@wisteriaslip/jobs.model'
import { Scheduler, type Run, type TrackedWorker } from '@wisteriaslip/jobs.scheduler'
import { plainStep } from '@wisteriaslip/testing.jobs'
import { JobKeys, JobRecords, type TermRecord } from '@wisteriaslip/jobs.store'
import type { Change, Store, StoreError, Versioned } from '@wisteriaslip/store.client'
import { TermRecordWriter } from '../src/term-record-writer.ts'
import type { ServiceTermOpts } from '../src/ports.ts'

const limits = { longestLeaseMs: 6_000, stopMs: 400, shutdownGraceMs: 6_000, keepMs: 1e9, maintenanceMs: 2_000 }
const queue: Queue = { name: 'q', host: '', pathPrefix: '', service: 's', priority: 0, attempts: 2, stretch: 1, objectiveMs: 0, timeoutMs: 0, needsPermit: false }

const NO_RESPONSE = err<StoreError>({ kind: 'unavailable', code: 'STORE_UNAVAILABLE', maybeApplied: true, message: 'no response' })

/** A store of one document, whose next write can be lost, or take effect without a response. */
class OneDocumentStore {
  stored: Versioned | undefined
  loseResponse = false
  loseCall = false

  async get (): Promise<Result<Versioned | undefined, StoreError>> {
    return ok(this.stored)
  }

  async update ([change]: readonly Change[]): Promise<Result<number, StoreError>> {
    if (change === undefined || (this.stored?.modRevision ?? 0) !== (change.prior?.modRevision ?? 0)) return err({ kind: 'conflict', code: 'STORE_CONFLICT', message: 'changed' })
    if (this.loseCall) {
      this.loseCall = false
      return NO_RESPONSE
    }
    const modRevision = (this.stored?.modRevision ?? 0) + 1
    this.stored = { key: change.key, value: change.value, createRevision: 1, modRevision, writeIds: [] }
    if (!this.loseResponse) return ok(modRevision)
    this.loseResponse = false
    return NO_RESPONSE
  }

  unknownRunsMs (): TermRecord['unknownRunsMs'] {
    return (this.stored?.value as TermRecord).unknownRunsMs
  }

  workers (): string[] {
    return (this.stored?.value as TermRecord).workers.map(worker => worker.id)
  }
}

function worker (id: string): WorkerRegistration {
  return { id, born: 1, service: 's', host: '', port: 0, zone: '', vm: '', draining: false, capacity: { cpu: 1, memMb: 1, accelerators: 0 }, labels: [], rack: '' }
}

/** A term whose record names w1 and w2, and that knows of no earlier runs by default. */
async function startTerm ({ unknownRunsUntil = 0 } = {}) {
  const time = { now: 10_000, confirmedAt: Infinity }
  const clock = { now: () => time.now }
  const store = new OneDocumentStore()
  const opts = { service: 's', token: 1, guard: { key: 'leader', createRevision: 1 }, records: new JobRecords(store as unknown as Store, new JobKeys('w')), limits, clock, logger: silentLogger, metrics: new Metrics() } as unknown as ServiceTermOpts
  const writer = new TermRecordWriter(opts)
  const scheduler = new Scheduler({ clock, wallClock: () => 10_000, limits, queue: () => queue, term: 0, leadershipConfirmedAt: () => time.confirmedAt, maxEarlierLeaseMs: 6_000 })
  const register = (...ids: string[]): void => {
    scheduler.setWorkers(ids.map(worker), { unknownRunsUntil })
    scheduler.tick()
  }
  await writer.startTerm()
  register('w1', 'w2')
  assert.equal(await writer.writeIfChanged(scheduler), true)
  return { store, writer, scheduler, register, time }
}

/** Places a run on a worker that has responded. */
function placeRun (scheduler: Scheduler, tracked: TrackedWorker): Run {
  scheduler.applyReport(tracked, { clockMs: 1, born: 1, running: [], ended: [], moreEnded: false }, { sentAt: 10_000, receivedAt: 10_000 })
  scheduler.addJob({ id: '00000000000000aa', queue: 'q', service: 's', payload: '', steps: [plainStep({ demand: { cpu: 1, memMb: 1, accelerators: 0 } })], acceptedAt: 0, acceptedUnder: 0 }, { acceptedThisTerm: true })
  const [run] = scheduler.placeReadyTasks()
  assert.ok(run !== undefined)
  return run
}

// A worker that registered again counted as recorded, although a write without a response had removed it from the record.
test('a worker that a write with an unknown outcome removes is recorded again before it gets a lease', async () => {
  const { store, writer, scheduler, register } = await startTerm()
  register('w1')
  store.loseResponse = true
  assert.equal(await writer.writeIfChanged(scheduler), false)
  assert.deepEqual(store.workers(), ['w1'])
  register('w1', 'w2')
  assert.equal(writer.contains(worker('w2')), false)
  assert.equal(writer.contains(worker('w1')), true)
  for (let tries = 0; tries < 3 && !await writer.writeIfChanged(scheduler); tries++) continue
  assert.deepEqual(store.workers(), ['w1', 'w2'])
  assert.equal(writer.contains(worker('w2')), true)
})

test('a write that was lost is repeated until the record no longer names a worker that is gone', async () => {
  const { store, writer, scheduler, register } = await startTerm()
  register('w1')
  store.loseCall = true
  assert.equal(await writer.writeIfChanged(scheduler), false)
  for (let tries = 0; tries < 3 && !await writer.writeIfChanged(scheduler); tries++) continue
  assert.deepEqual(store.workers(), ['w1'])
})

test('after a conflict, the record of a newer term is not taken', async () => {
  const { store, writer, scheduler, register } = await startTerm()
  const newer = { number: 1, leaseMs: 4_000, workers: [worker('w1')] }
  store.stored = { key: 'term', value: newer, createRevision: 1, modRevision: 50, writeIds: [] }
  register('w1', 'w2', 'w3')
  for (let tries = 0; tries < 3; tries++) assert.equal(await writer.writeIfChanged(scheduler), false)
  assert.deepEqual(store.stored.value, newer)
  assert.equal(writer.contains(worker('w3')), false)
})

// The next leader started a task again that the worker's next incarnation carried out late: the record no longer named the worker.
test('a worker that has ended is recorded for as long as its next incarnation may carry out a start', async () => {
  const { store, writer, scheduler, register } = await startTerm()
  const [w1] = [...scheduler.workers.values()]
  assert.ok(w1 !== undefined)
  const run = placeRun(scheduler, w1)
  scheduler.handleStartResponse(run, { kind: 'unknown', message: '' })
  scheduler.endIncarnation(w1)
  register('w2')
  assert.equal(await writer.writeIfChanged(scheduler), true)
  assert.deepEqual(store.workers(), ['w1', 'w2'])
  scheduler.releaseRuns(w1, 'vm-replaced')
  assert.equal(await writer.writeIfChanged(scheduler), true)
  assert.deepEqual(store.workers(), ['w2'])
})

// The next leader would not wait for the worker's list of ends, and start a task again that is done there.
test('a worker that is no longer registered is recorded until its completions are durable', async () => {
  const { store, writer, scheduler, register } = await startTerm()
  const [w1] = [...scheduler.workers.values()]
  assert.ok(w1 !== undefined)
  const run = placeRun(scheduler, w1)
  scheduler.handleStartResponse(run, undefined, { clockMs: 1, sentAt: 10_000 })
  scheduler.applyReport(w1, { clockMs: 2, born: 1, running: [], ended: [{ seq: 1, task: run.task.name, attempt: run.attempt, how: 'done', checkpoint: '' }], moreEnded: false }, { sentAt: 10_001, receivedAt: 10_001 })
  register('w2')
  await writer.writeIfChanged(scheduler)
  assert.deepEqual(store.workers(), ['w1', 'w2'])
  for (const { tracked, completions } of scheduler.table.takeDirty()) scheduler.table.markDurable(tracked, tracked.outcome, completions)
  register('w2')
  assert.equal(await writer.writeIfChanged(scheduler), true)
  assert.deepEqual(store.workers(), ['w2'])
})

/** Lets the term have gone on for a while in which w2 has responded and w1 has not. */
async function startTermWithSilentWorker () {
  const term = await startTerm({ unknownRunsUntil: 15_700 })
  const [w1, w2] = [...term.scheduler.workers.values()]
  assert.ok(w1 !== undefined && w2 !== undefined)
  w1.polledSince = 10_000
  term.time.now = 12_000
  term.scheduler.applyReport(w2, { clockMs: 1, born: 1, running: [], ended: [], moreEnded: false }, { sentAt: 12_000, receivedAt: 12_000 })
  return { ...term, w1, w2 }
}

// The next leader waited the whole time for a worker that had been silent for all of this term.
test('the record says for how long runs may still be in progress on a silent worker, and grants it nothing while it does', async () => {
  const { store, writer, scheduler, time, w1, w2 } = await startTermWithSilentWorker()
  assert.equal(await writer.writeIfChanged(scheduler), true)
  assert.deepEqual(store.unknownRunsMs(), { 'w1/1': 3_700 })
  assert.deepEqual([writer.allowsLeases(w1.registration), w1.mayGetLeases], [false, false])
  assert.deepEqual([writer.allowsLeases(w2.registration), w2.mayGetLeases], [true, true])
  time.now = 30_000
  assert.equal(await writer.writeIfChanged(scheduler), true)
  assert.deepEqual(store.unknownRunsMs(), { 'w1/1': 0 })
  scheduler.applyReport(w1, { clockMs: 1, born: 1, running: [], ended: [], moreEnded: false }, { sentAt: 30_000, receivedAt: 30_000 })
  assert.equal(writer.allowsLeases(w1.registration), false)
  assert.equal(await writer.writeIfChanged(scheduler), true)
  assert.deepEqual(store.unknownRunsMs(), {})
  assert.equal(writer.allowsLeases(w1.registration), true)
})

// A write without a response may have told the next leader that the worker holds no lease.
test('a worker whose silence a write with an unknown outcome records gets no lease before it is recorded anew', async () => {
  for (const fault of ['loseResponse', 'loseCall'] as const) {
    const { store, writer, scheduler, w1 } = await startTermWithSilentWorker()
    assert.equal(writer.allowsLeases(w1.registration), true)
    store[fault] = true
    assert.equal(await writer.writeIfChanged(scheduler), false)
    assert.deepEqual([writer.allowsLeases(w1.registration), w1.mayGetLeases], [false, false], fault)
    scheduler.applyReport(w1, { clockMs: 1, born: 1, running: [], ended: [], moreEnded: false }, { sentAt: 12_000, receivedAt: 12_000 })
    for (let tries = 0; tries < 3 && !await writer.writeIfChanged(scheduler); tries++) continue
    assert.deepEqual(store.unknownRunsMs(), {}, fault)
    assert.equal(writer.allowsLeases(w1.registration), true, fault)
  }
})

// Time that nothing confirms the leadership for is no time in which certainly nobody has granted anything.
test('a silence counts only for as long as the leadership was confirmed', async () => {
  const { store, writer, scheduler, time } = await startTermWithSilentWorker()
  time.confirmedAt = 11_000
  assert.equal(await writer.writeIfChanged(scheduler), true)
  assert.deepEqual(store.unknownRunsMs(), { 'w1/1': 4_700 })
})

// Each worker that had not been asked yet had to be recorded a second time, and got its first tasks later.
test('a worker is recorded as silent once it has been asked for a while', async () => {
  const { store, writer, scheduler, time, register } = await startTerm({ unknownRunsUntil: 15_700 })
  time.now = 13_000
  register('w1', 'w2', 'w3')
  assert.equal(await writer.writeIfChanged(scheduler), true)
  assert.deepEqual(store.unknownRunsMs(), {})
  const w3 = [...scheduler.workers.values()].at(-1)
  assert.ok(w3 !== undefined)
  w3.polledSince = 13_000
  time.now = 13_500
  assert.equal(await writer.writeIfChanged(scheduler), true)
  assert.deepEqual(store.unknownRunsMs(), {})
  time.now = 14_000
  assert.equal(await writer.writeIfChanged(scheduler), true)
  assert.deepEqual(store.unknownRunsMs(), { 'w3/1': 1_700 })
})

// A duration without an end was stored as null, which the next leader took for none: tasks ran twice.
test('nothing is recorded of a silent worker when the leadership is not confirmed at all', async () => {
  const { store, writer, scheduler, time } = await startTermWithSilentWorker()
  time.confirmedAt = Number.NEGATIVE_INFINITY
  assert.equal(await writer.writeIfChanged(scheduler), true)
  assert.deepEqual(store.unknownRunsMs(), {})
})

test('a new term takes over what the record says of silent workers', async () => {
  const { store } = await startTerm()
  const before: TermRecord = { number: 0, leaseMs: 4_000, workers: [worker('w1')], unknownRunsMs: { 'w1/1': 900 } }
  store.stored = { key: 'term', value: before, createRevision: 1, modRevision: 60, writeIds: [] }
  const records = new JobRecords(store as unknown as Store, new JobKeys('w'))
  const writer = new TermRecordWriter({ service: 's', token: 2, guard: { key: 'leader', createRevision: 2 }, records, limits } as unknown as ServiceTermOpts)
  const started = await writer.startTerm()
  assert.ok(started.ok)
  assert.deepEqual([started.value.number, started.value.unknownRunsMs], [1, { 'w1/1': 900 }])
})
