import assert from 'node:assert/strict'
import { test } from 'node:test'
import { silentLogger } from '@wisteriaslip/core.logger'
import { ok } from '@wisteriaslip/core.result'
import type { Store } from '@wisteriaslip/store.client'
import { StoredWaveRecords } from '../src/wave-record-store.ts'

function createRecords (value: unknown): StoredWaveRecords {
  const store = { get: async () => ok({ key: 'waves', value, createRevision: 1, modRevision: 1, writeIds: [] }) } as unknown as Store
  return new StoredWaveRecords(store, { key: 'waves', guard: { key: 'leader', createRevision: 1 }, logger: silentLogger })
}

const record = { createRevision: 5, revision: 6, begun: ['v1'], requested: [], gone: ['v2'], completed: false, reported: false, elapsedMs: 10, at: 20 }

// Guards against: one record that cannot be read ends the term of each leader, or hides the records of other waves.
test('a wave record that cannot be read is left out, the others are read', async () => {
  for (const odd of [null, 'noise', { ...record, begun: 'v1' }, { ...record, begun: [1] }, { ...record, elapsedMs: null }, { ...record, completed: 1 }]) {
    const records = await createRecords({ 1: odd, 2: record }).read()
    assert.deepEqual([...records?.entries() ?? []], [[2, record]])
  }
  assert.deepEqual([...(await createRecords('noise').read())?.keys() ?? []], [])
})

test('a record of an older version is read without the revisions of its document', async () => {
  const records = await createRecords({ 1: { begun: ['v1'], completed: true, elapsedMs: 10, at: 20 } }).read()
  assert.deepEqual(records?.get(1), { createRevision: undefined, revision: undefined, begun: ['v1'], requested: [], gone: [], completed: true, reported: true, elapsedMs: 10, at: 20 })
})

// Guards against: a wave that begins anew, or a term that fails, because of what is only said about the turns of its drains.
test('the turns of drains are read, and a record with turns that cannot be read is read without them', async () => {
  const turns = { drains: [{ vm: 'v3', waitedMs: 4_000, lastingRuns: 2 }], rests: [{ vm: 'v4', restedMs: 0 }] }
  assert.deepEqual((await createRecords({ 1: { ...record, turns } }).read())?.get(1), { ...record, turns })
  for (const odd of [null, 'noise', [], { drains: [] }, { ...turns, rests: [{ vm: 'v4', restedMs: -1 }] }, { ...turns, drains: [{ vm: 1 }] }]) {
    assert.deepEqual((await createRecords({ 1: { ...record, turns: odd } }).read())?.get(1), record)
  }
})
