import assert from 'node:assert/strict'
import { test } from 'node:test'
import { FaultyService, type Change, type Loss } from './faulty-service.ts'

const LOST_AT_MS = 3_000
/** Lists of VMs that do not show it for 1.5 s prove that a VM is gone; they begin 0.1 s after its worker fell silent. */
const PROOF_MS = 1_600
/** From the proof to the start: a list may be 0.3 s late, and takes some time. */
const START_MS = 700

/** Returns how long after the loss all long-running tasks run again, in milliseconds. */
async function waitAfterLoss (seed: number, { atMs = LOST_AT_MS, vm = 'vm0' }: Partial<Loss>, changes: readonly Change[]): Promise<number> {
  const service = new FaultyService(seed)
  try {
    const waitedMs = await service.playUntilAllRun({ seed, faults: [], losses: [{ atMs, vm, listedAs: 'absent' }], changes }, atMs)
    assert.deepEqual(service.workers.history.violations(), [])
    return waitedMs
  } finally {
    service.close()
  }
}

// A leader asked for its first list of VMs only after a loss; that list did not show the VM, which no list of the term had shown, so
// that it did not prove to be gone: its tasks waited until the worker's lease had run out, or for the next leader.
test('tasks of a VM that is removed run again within the time for its proof, although nothing was lost in the term before', async () => {
  for (const seed of [1, 2, 3]) {
    const waitedMs = await waitAfterLoss(seed, {}, [])
    assert.ok(waitedMs <= PROOF_MS + START_MS, `seed ${seed}: ${waitedMs} ms`)
  }
})

test('tasks of a VM that is removed under a second leader run again within the time for its proof', async () => {
  const waitedMs = await waitAfterLoss(1, { atMs: 6_000 }, [{ atMs: 3_000, entry: 1, overlapMs: 0 }])
  assert.ok(waitedMs <= PROOF_MS + START_MS, `${waitedMs} ms`)
})
