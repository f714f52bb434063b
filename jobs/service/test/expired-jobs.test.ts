import assert from 'node:assert/strict'
import { test } from 'node:test'
import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { AddressedJob, Queue } from '@wisteriaslip/jobs.model'
import { Scheduler } from '@wisteriaslip/jobs.scheduler'
import { JobKeys, JobRecords } from '@wisteriaslip/jobs.store'
import { StoreClient } from '@wisteriaslip/store.client'
import { plainStep } from '@wisteriaslip/testing.jobs'
import { ManualClock, MemoryDriver } from '@wisteriaslip/testing.stand-ins'
import { removeExpiredJobs } from '../src/expired-jobs.ts'
import type { ServiceTermOpts } from '../src/ports.ts'
import { ProgressWriter } from '../src/progress-writer.ts'

const KEEP_MS = 1_000
const LEADER_KEY = 'w/leaders/s'
const limits = { longestLeaseMs: 6_000, stopMs: 400, shutdownGraceMs: 6_000, keepMs: KEEP_MS, maintenanceMs: 2_000 }
const queue: Queue = { name: 'q', host: '', pathPrefix: '', service: 's', priority: 0, attempts: 2, stretch: 1, objectiveMs: 0, timeoutMs: 0, needsPermit: false }

function job (id: string): AddressedJob {
  return { id, queue: 'q', address: 'q', service: 's', payload: '', steps: [plainStep({})], acceptedAt: 0, acceptedUnder: 1 }
}

/** A leader with two cancelled jobs, whose records are stored and have expired. */
async function createLeader () {
  const driver = new MemoryDriver()
  const time = { now: 0 }
  // The store client's circuit breaker has a clock of its own, on which it closes between two calls.
  const storeClock = new ManualClock()
  const store = new StoreClient(driver, { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics(), clock: storeClock })
  const elected = await store.update([{ key: LEADER_KEY, prior: undefined, value: {} }])
  assert.ok(elected.ok)
  const token = elected.value
  const records = new JobRecords(store, new JobKeys('w'))
  const scheduler = new Scheduler({ clock: { now: () => time.now }, wallClock: () => time.now, limits, queue: () => queue, term: 1, leadershipConfirmedAt: () => Infinity, maxEarlierLeaseMs: 0 })
  const opts = { service: 's', token, guard: { key: LEADER_KEY, createRevision: token }, store, records, limits, logger: silentLogger, metrics: new Metrics(), wallClock: () => time.now } as unknown as ServiceTermOpts
  const writer = new ProgressWriter(scheduler, opts, { onRecorded: () => {}, onNewerLeader: () => {} })
  for (const id of ['00000000000000aa', '00000000000000bb']) {
    assert.equal((await records.accept(job(id))).kind, 'stored')
    scheduler.table.addJob(job(id), { acceptedThisTerm: true })
    scheduler.table.cancel(id)
  }
  assert.ok(await writer.flush())
  time.now = 2 * KEEP_MS
  const removeExpired = async (): Promise<void> => {
    await removeExpiredJobs(scheduler, writer, opts)
    storeClock.advance(2_000)
  }
  const storedKeys = async (): Promise<string[] | undefined> => {
    const range = await driver.range('w-', { prefix: true })
    return range.ok ? range.value.kvs.map(kv => kv.key) : undefined
  }
  return { driver, scheduler, removeExpired, storedKeys }
}

// A leader that did not know whether it had removed a job removed no job any more.
for (const faults of [[], ['lose-reply'], ['lose-reply', 'lose-call', 'lose-call', 'lose-call']] as const) {
  test(`expired jobs are removed when ${faults.length} calls of a removal get no reply`, async () => {
    const { driver, scheduler, removeExpired, storedKeys } = await createLeader()
    driver.faults.push(...faults)
    for (let call = 0; call < 3; call++) await removeExpired()
    assert.equal(scheduler.table.jobs.size, 0)
    assert.deepEqual(await storedKeys(), [])
  })
}
