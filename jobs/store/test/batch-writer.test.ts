import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Metrics } from '@wisteriaslip/core.metrics'
import { StoreClient } from '@wisteriaslip/store.client'
import { MemoryDriver } from '@wisteriaslip/testing.stand-ins'
import { BatchWriter } from '../src/batch-writer.ts'

const TOO_LARGE = 'x'.repeat(2_000_000)

// A record that the store rejects for its size failed with all that were written in the same batch, and so did each repetition.
test('a change that the store rejects does not fail the others of its batch', async () => {
  const store = new StoreClient(new MemoryDriver(), { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics() })
  const writer = new BatchWriter(store, { batchWindowMs: 5, maxBatchChanges: 12 })
  const written = await Promise.all(['small', TOO_LARGE, 'small too'].map(async (value, number) => await writer.write([{ key: `k${number}`, prior: undefined, value }])))
  assert.deepEqual(written.map(({ ok }) => ok), [true, false, true])
  assert.ok(store.available(), 'the store is not taken for unavailable')
})

// What a write threw was swallowed, and the changes of its batch were never settled: the caller of an accepted job waited forever.
test('an unexpected error of a write rejects each change of its batch, and later ones are written', async () => {
  const store = new StoreClient(new MemoryDriver(), { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics() })
  const update = store.update.bind(store)
  let calls = 0
  store.update = async (...args) => {
    calls += 1
    if (calls === 1) throw new Error('injected')
    return await update(...args)
  }
  const writer = new BatchWriter(store, { batchWindowMs: 5, maxBatchChanges: 12 })
  const settled = await Promise.race([
    Promise.allSettled(['a', 'b'].map(async key => await writer.write([{ key, prior: undefined, value: 1 }]))),
    new Promise<undefined>(resolve => setTimeout(() => resolve(undefined), 500))
  ])
  assert.deepEqual(settled?.map(({ status }) => status), ['rejected', 'rejected'])
  assert.ok((await writer.write([{ key: 'c', prior: undefined, value: 1 }])).ok)
})

test('the changes of a request are in one write, and no write has more than the limit', async () => {
  const store = new StoreClient(new MemoryDriver(), { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics() })
  const update = store.update.bind(store)
  const sizes: number[] = []
  store.update = async (...args) => {
    sizes.push(args[0].length)
    return await update(...args)
  }
  const writer = new BatchWriter(store, { batchWindowMs: 5, maxBatchChanges: 5 })
  const pair = (name: string) => [`${name}1`, `${name}2`].map(key => ({ key, prior: undefined, value: 1 }))
  const written = await Promise.all(['a', 'b', 'c', 'd', 'e'].map(async name => await writer.write(pair(name))))
  assert.ok(written.every(({ ok }) => ok))
  assert.deepEqual(sizes, [4, 4, 2])
  const [half, whole] = await Promise.all([writer.write([...pair('f').slice(0, 1), ...pair('a').slice(1)]), writer.write(pair('g'))])
  assert.equal(half?.ok, false)
  assert.equal(whole?.ok, true)
  assert.deepEqual(await store.get('f1'), { ok: true, value: undefined })
})
