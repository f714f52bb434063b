import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { AddressedJob } from '@wisteriaslip/jobs.model'
import { JobKeys, JobRecords } from '@wisteriaslip/jobs.store'
import { StoreClient, type Store } from '@wisteriaslip/store.client'
import { plainStep } from '@wisteriaslip/testing.jobs'
import { ManualClock, MemoryDriver } from '@wisteriaslip/testing.stand-ins'

const KEYS = new JobKeys('w')
const PROGRESS = KEYS.progress('s', 'j')
const CANCELLATION = KEYS.cancellation('s', 'j')

/** Records over an in-memory store; `beforeRead` runs before each read of a key. */
function createRecords (beforeRead: (key: string, client: StoreClient) => Promise<void>): JobRecords {
  const client = new StoreClient(new MemoryDriver(), { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics(), clock: new ManualClock() })
  const store = {
    get: async (key: string) => {
      await beforeRead(key, client)
      return await client.get(key)
    }
  } as unknown as Store
  return new JobRecords(store, KEYS)
}

// A job that was completed and then cancelled between two reads was reported as cancelled, and as completed afterwards.
test('a cancellation that comes after the completion does not change the state of a job', async () => {
  const records = createRecords(async (key, client) => {
    if (key !== CANCELLATION) return
    await client.update([{ key: PROGRESS, prior: undefined, value: { outcome: 'completed' } }])
    await client.update([{ key: CANCELLATION, prior: undefined, value: {} }])
  })
  assert.deepEqual(await records.state('s', 'j'), { ok: true, value: 'completed' })
})

test('a job whose cancellation is stored and that has not ended is cancelled', async () => {
  const records = createRecords(async (key, client) => {
    if (key === CANCELLATION) await client.update([{ key, prior: undefined, value: {} }])
  })
  assert.deepEqual(await records.state('s', 'j'), { ok: true, value: 'cancelled' })
})

// A new leader could not load the records of its service while callers asked for states: all jobs waited until they stopped asking.
test('a leader reads and writes the records of its service however many jobs callers query, submit and cancel', async () => {
  const clock = new ManualClock()
  const client = new StoreClient(new MemoryDriver(), { readsPerSecond: 60, writesPerSecond: 30, metrics: new Metrics(), clock })
  const records = new JobRecords(client, KEYS)
  const job: AddressedJob = { id: 'j', queue: 'q', address: 'q', service: 's', attempts: 1, payload: '', steps: [plainStep()], acceptedAt: 0, acceptedUnder: 1 }
  const refusedOf = async (calls: number, call: (id: string) => Promise<boolean>): Promise<number> => {
    const answers = await Promise.all(Array.from({ length: calls }, async (_, number) => await call(`j${number}`)))
    return answers.filter(succeeded => !succeeded).length
  }
  while ((await records.state('s', 'j')).ok);
  assert.ok((await records.readAll('s')).ok)
  await client.update([{ key: PROGRESS, prior: undefined, value: { outcome: 'completed' } }])
  clock.advance(2_000)
  while ((await records.state('s', 'j')).ok);
  assert.ok((await records.readAll('s')).ok)
  assert.ok((await records.job('s', 'j')).ok)
  assert.ok(await refusedOf(2_000, async id => (await records.accept({ ...job, id })).kind === 'stored') > 0)
  assert.ok((await records.startTerm('s', () => ({ number: 1, workers: [] }), { key: 'leader', modRevision: 0 })).ok)
  assert.ok(await refusedOf(2_000, async id => (await records.cancel('s', id)).ok) > 0)
  assert.ok((await records.startTerm('s', () => ({ number: 2, workers: [] }), { key: 'leader', modRevision: 0 })).ok)
})

test('a job is accepted by one write, and no write names more than 32 keys', async () => {
  const driver = new MemoryDriver()
  const writes: number[] = []
  const txn = driver.txn.bind(driver)
  driver.txn = async call => {
    writes.push(call.guards.length + call.puts.length + call.deletes.length)
    return await txn(call)
  }
  const records = new JobRecords(new StoreClient(driver, { readsPerSecond: 0, writesPerSecond: 1e6, metrics: new Metrics() }), KEYS)
  const job: AddressedJob = { id: 'j', queue: 'q', address: 'h/q/', service: 's', payload: '', steps: [plainStep()], acceptedAt: 0, acceptedUnder: 1 }
  assert.deepEqual(await records.accept(job), { kind: 'stored' })
  const accepted = await Promise.all(Array.from({ length: 20 }, async (_, number) => await records.accept({ ...job, id: `j${number}` })))
  assert.ok(accepted.every(({ kind }) => kind === 'stored'))
  assert.deepEqual(writes, [4, 32, 32, 16])
})
