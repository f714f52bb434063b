import assert from 'node:assert/strict'
import { test } from 'node:test'
import { FaultyService } from './faulty-service.ts'

const MAX_WAIT_MS = 7_000
const LOST_AT_MS = 10_611
/** The first one broke the rule at first; the last four do where a channel opens its connection again whatever has ended it. */
const SEEDS = [1_212, 8, 49, 407, 675, 765]

/** Workers restart under their ids, and one of them is lost for good just after it has confirmed starts. */
async function waitingTasks (seed: number): Promise<string[]> {
  const service = new FaultyService(seed)
  try {
    const restarts = { kind: 'reborn', atMs: 9_901, forMs: 599, first: 3, count: 4 } as const
    const loss = { kind: 'gone', atMs: LOST_AT_MS, forMs: 100, first: 6, count: 1 } as const
    await service.play({ seed, faults: [restarts, loss], changes: [{ atMs: 7_265, overlapMs: 658, entry: 1 }, { atMs: 8_873, overlapMs: 0, entry: 0 }] }, MAX_WAIT_MS)
    return service.waitingTasks()
  } finally {
    service.close()
  }
}

// A start that was meant for the incarnation before gave the next one the longest lease, so that its tasks waited for its end.
test('tasks of a worker that had restarted and is lost, its VM listed as up without a worker, run within 7 s', async () => {
  const broken: number[] = []
  for (const seed of SEEDS) if ((await waitingTasks(seed)).length > 0) broken.push(seed)
  assert.deepEqual(broken, [])
})
