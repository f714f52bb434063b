import assert from 'node:assert/strict'
import { test } from 'node:test'
import { FaultyService, type Fault } from './faulty-service.ts'

const SEEDS = 10
const CALM_MS = 9_000
const CUT_AT_MS = 13_300
/** Leases last for 4 s, and the lists that prove nothing do not delay that. */
const MAX_WAIT_MS = 6_000
/** Three workers restart under their ids, and one of them is cut off soon afterwards; it stays registered. */
function faults (cutAtMs: number): Fault[] {
  return [{ kind: 'reborn', atMs: 12_258, forMs: 104, first: 0, count: 3 }, { kind: 'unreachable', atMs: cutAtMs, forMs: 9_051, first: 2, count: 1 }]
}

// A start that was meant for the incarnation before gives the next one the longest lease (10 s). The term that saw the restart knows that; its
// successors reckon with 4 s.
for (const { name, cutAtMs, changesMs } of [
  { name: 'before a change of leader', cutAtMs: 13_174, changesMs: [14_473] },
  { name: 'before two changes of leader', cutAtMs: 13_174, changesMs: [14_473, 18_500] },
  { name: 'at once, before two changes of leader', cutAtMs: 12_480, changesMs: [12_540, 17_340] }
]) {
  test(`no task runs twice when a worker that has restarted is cut off ${name}`, async () => {
    const found: string[] = []
    for (let seed = 1; seed <= SEEDS; seed++) {
      const service = new FaultyService(seed)
      try {
        await service.play({ seed, faults: faults(cutAtMs), changes: changesMs.map((atMs, number) => ({ atMs, entry: number + 1, overlapMs: 0 })) }, CALM_MS)
        found.push(...service.workers.history.violations().slice(0, 1).map(each => `${seed}: ${each}`))
      } finally {
        service.close()
      }
    }
    assert.deepEqual(found, [])
  })
}

// For a moment after a takeover each worker with runs was recorded as one that may hold the longest lease, for which the next leader waited.
test('tasks of a worker that never restarted do not wait for the longest lease after two changes of leader', async () => {
  const found: string[] = []
  for (let seed = 1; seed <= SEEDS; seed++) {
    const service = new FaultyService(seed)
    try {
      const restart: Fault = { kind: 'reborn', atMs: 11_950, forMs: 104, first: 7, count: 1 }
      const cut: Fault = { kind: 'unreachable', atMs: CUT_AT_MS, forMs: 30_000, first: 0, count: 1 }
      const waitedMs = await service.playUntilAllRun({ seed, faults: [restart, cut], changes: [{ atMs: 12_000, entry: 1, overlapMs: 0 }, { atMs: 12_500, entry: 2, overlapMs: 0 }] }, CUT_AT_MS)
      if (waitedMs > MAX_WAIT_MS) found.push(`${seed}: ${waitedMs} ms`)
    } finally {
      service.close()
    }
  }
  assert.deepEqual(found, [])
})
