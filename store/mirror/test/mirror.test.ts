import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { Mirror } from '@wisteriaslip/store.mirror'
import { encodeEnvelope, type Versioned, type WatchBatch } from '@wisteriaslip/store.client'

type Write = { key: string, value: number | undefined }

/** Converts writes to watch batches with one revision each. */
function historyOf (writes: readonly Write[]): WatchBatch[] {
  const created = new Map<string, number>()
  return writes.map(({ key, value }, index) => {
    const revision = index + 1
    if (value === undefined) {
      created.delete(key)
      return { revision, changed: [], deleted: [{ key, modRevision: revision }] }
    }
    if (!created.has(key)) created.set(key, revision)
    return { revision, changed: [{ key, value: encodeEnvelope(value, 'w', undefined), createRevision: created.get(key) ?? revision, modRevision: revision }], deleted: [] }
  })
}

function stateAt (writes: readonly Write[], revision: number): Record<string, number> {
  const state: Record<string, number> = {}
  for (const { key, value } of writes.slice(0, revision)) {
    if (value === undefined) Reflect.deleteProperty(state, key)
    else state[key] = value
  }
  return state
}

function contents (mirror: Mirror): Record<string, number> {
  return Object.fromEntries(mirror.list<number>('').map(doc => [doc.key, doc.value]))
}

const write = fc.record({ key: fc.constantFrom('a', 'b', 'c'), value: fc.option(fc.nat(99), { nil: undefined }) })
const step = fc.oneof(
  fc.record({ kind: fc.constant('watch' as const), mirror: fc.nat(2) }),
  fc.record({ kind: fc.constant('list' as const), mirror: fc.nat(2), back: fc.nat(5) }),
  fc.record({ kind: fc.constant('peer' as const), mirror: fc.nat(2), other: fc.nat(2), delayed: fc.boolean() })
)

test('mirrors never go back and equal the store at their revision, whether updated by watch, list or delayed peer deltas', () => {
  fc.assert(fc.property(fc.array(write, { minLength: 5, maxLength: 30 }), fc.array(step, { maxLength: 80 }), (writes, steps) => {
    const history = historyOf(writes)
    const mirrors = [new Mirror(), new Mirror(), new Mirror()]
    const delayed: Array<{ to: number, delta: ReturnType<Mirror['since']> }> = []
    for (const each of steps) {
      const mirror = mirrors[each.mirror] as Mirror
      const before = mirror.revision()
      if (each.kind === 'watch' && history[before] !== undefined) mirror.applyBatch(history[before])
      if (each.kind === 'list') list(mirror, writes, Math.max(1, before + 3 - each.back))
      if (each.kind === 'peer') {
        const delta = (mirrors[each.other] as Mirror).since(before)
        if (each.delayed) delayed.push({ to: each.mirror, delta })
        else if (delta !== undefined) mirror.merge(delta)
      }
      if (delayed.length > 2) {
        const message = delayed.shift()
        if (message?.delta !== undefined) mirrors[message.to]?.merge(message.delta)
      }
      assert.ok(mirror.revision() >= before)
      for (const replica of mirrors) assert.deepEqual(contents(replica), stateAt(writes, replica.revision()))
    }
  }), { seed: 5, numRuns: 500 })
})

function list (mirror: Mirror, writes: readonly Write[], revision: number): void {
  const at = Math.min(writes.length, revision)
  const last = new Map<string, number>()
  writes.slice(0, at).forEach(({ key }, index) => last.set(key, index + 1))
  const docs: Versioned[] = Object.entries(stateAt(writes, at)).map(([key, value]) => ({ key, value, createRevision: 1, modRevision: last.get(key) ?? 1, writeIds: [] }))
  mirror.replaceAll(at, docs)
}

test('a batch older than the mirror is ignored', () => {
  const mirror = new Mirror()
  const [first, second] = historyOf([{ key: 'a', value: 1 }, { key: 'a', value: 2 }]) as [WatchBatch, WatchBatch]
  mirror.applyBatch(first)
  mirror.applyBatch(second)
  mirror.applyBatch(first)
  assert.deepEqual(contents(mirror), { a: 2 })
  assert.equal(mirror.revision(), 2)
})
