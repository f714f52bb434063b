import assert from 'node:assert/strict'
import { test } from 'node:test'
import { FaultyService, type Fault } from './faulty-service.ts'

const SEEDS = 10
const CALM_MS = 9_000
/** Three workers restart under their ids, and one of them is cut off 0.9 s later; it stays registered. */
const faults: readonly Fault[] = [{ kind: 'reborn', atMs: 12_258, forMs: 104, first: 0, count: 3 }, { kind: 'unreachable', atMs: 13_174, forMs: 9_051, first: 2, count: 1 }]

// A start that was meant for the incarnation before gives the next one the longest lease (10 s). The term that saw the restart knows that; its
// successors reckon with 4 s.
for (const changesMs of [[14_473], [14_473, 18_500]]) {
  test(`no task runs twice when a worker that has restarted is cut off before ${changesMs.length === 1 ? 'a change' : 'two changes'} of leader`, async () => {
    const found: string[] = []
    for (let seed = 1; seed <= SEEDS; seed++) {
      const service = new FaultyService(seed)
      try {
        await service.play({ seed, faults, changes: changesMs.map((atMs, number) => ({ atMs, entry: number + 1, overlapMs: 0 })) }, CALM_MS)
        found.push(...service.workers.history.violations().slice(0, 1).map(each => `${seed}: ${each}`))
      } finally {
        service.close()
      }
    }
    assert.deepEqual(found, [])
  })
}
