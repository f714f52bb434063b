import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { AddressedJob } from '@wisteriaslip/jobs.model'
import { JobKeys, JobRecords } from '@wisteriaslip/jobs.store'
import { StoreClient, type DriverTxn } from '@wisteriaslip/store.client'
import { plainStep } from '@wisteriaslip/testing.jobs'
import { ManualClock, MemoryDriver } from '@wisteriaslip/testing.stand-ins'

const TTL_MS = 10_000
const job: AddressedJob = { id: 'j', queue: 'q', address: 'h/q/', service: 's', payload: '', steps: [plainStep()], acceptedAt: 0, acceptedUnder: 1 }

/** Records over a store in memory that notes leases and writes, and forgets leases as told. */
function createRecords () {
  const driver = new MemoryDriver()
  const clock = new ManualClock()
  const leases: number[] = []
  const forgotten = new Set<string>()
  const writes: DriverTxn[] = []
  driver.grantLease = async (ttlMs?: number) => {
    leases.push(ttlMs ?? 0)
    return { ok: true, value: `lease-${leases.length}` }
  }
  const txn = driver.txn.bind(driver)
  driver.txn = async call => {
    if (call.puts.some(({ leaseId }) => leaseId !== undefined && forgotten.has(leaseId))) return { ok: false, error: { kind: 'refused', code: 'lease-not-found', message: 'gone' } }
    writes.push(call)
    return await txn(call)
  }
  const store = new StoreClient(driver, { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics(), clock })
  const records = new JobRecords(store, new JobKeys('w'), { tombstoneTtlMs: TTL_MS, clock })
  const leasesUsed = () => writes.flatMap(({ puts }) => puts.map(({ leaseId }) => leaseId))
  return { driver, records, clock, leases, forgotten, writes, leasesUsed }
}

// Anyone may cancel any id: what that stores has to end by itself, at whatever rate it comes.
test('each tombstone is one key under a lease that expires by itself, and few leases serve many', async () => {
  const { records, clock, leases, writes, leasesUsed } = createRecords()
  for (let number = 0; number < 40; number++) {
    assert.ok((await records.index.cancelId({ ...job, id: `j${number}` })).ok)
    clock.advance(TTL_MS / 20)
  }
  assert.deepEqual(leases, [TTL_MS, TTL_MS, TTL_MS, TTL_MS])
  assert.equal(writes.length, 40)
  assert.ok(writes.every(({ puts }) => puts.length === 1))
  assert.deepEqual(new Set(leasesUsed()), new Set(['lease-1', 'lease-2', 'lease-3', 'lease-4']))
})

test('a tombstone is stored under another lease when the store has lost the first', async () => {
  const { records, forgotten, leasesUsed } = createRecords()
  assert.ok((await records.index.cancelId(job)).ok)
  forgotten.add('lease-1')
  const both = await Promise.all(['j1', 'j2'].map(async id => await records.index.cancelId({ ...job, id })))
  assert.ok(both.every(({ ok }) => ok))
  assert.deepEqual(leasesUsed().slice(1), ['lease-2', 'lease-2'])
})

test('a job that replaces the tombstone of another account does not end with its lease', async () => {
  const { records, leasesUsed } = createRecords()
  assert.ok((await records.index.cancelId({ ...job, account: 'b' })).ok)
  assert.equal((await records.accept({ ...job, account: 'b' })).kind, 'cancelled')
  assert.equal((await records.accept({ ...job, account: 'a' })).kind, 'stored')
  assert.deepEqual(leasesUsed().slice(-2), [undefined, undefined])
  assert.equal((await records.index.cancelId({ ...job, account: 'b' })).ok, false)
})

// The submission was answered as a repeat of an accepted job, and nothing was stored.
test('a submission whose obstacle has gone before it was read is not taken for a repeat', async () => {
  const { driver, records } = createRecords()
  assert.ok((await records.index.cancelId(job)).ok)
  const range = driver.range.bind(driver)
  driver.range = async (key, opts) => {
    await driver.txn({ guards: [], puts: [], deletes: [records.keys.indexEntry(job.address, job.id)] })
    return await range(key, opts)
  }
  assert.deepEqual(await records.accept(job), { kind: 'unknown' })
  assert.deepEqual(await records.accept(job), { kind: 'stored' })
})

test('an unexpected error of a lease does not outlast the call', async () => {
  const { driver, records } = createRecords()
  const grant = driver.grantLease.bind(driver)
  driver.grantLease = async () => { throw new Error('injected') }
  await assert.rejects(records.index.cancelId(job))
  driver.grantLease = grant
  assert.ok((await records.index.cancelId(job)).ok)
})
