import assert from 'node:assert/strict'
import { test } from 'node:test'
import { FaultyService, type Fault } from './faulty-service.ts'

const CHANGE_AT_MS = 3_500
/** From the change of leader on, the leader before may act for 1.5 s, and a lease that it has given lasts for 4.2 s, with the drift of clocks. */
const WHOLE_WAIT_MS = 5_700
const START_MS = 500
const OUTAGE_MS = 2_000

/** The worker on `vm0` is cut off before the change and stays registered, so that only leases prove the end of its runs. */
const cut: Fault = { kind: 'unreachable', atMs: 3_000, forMs: 60_000, first: 0, count: 1 }
/** The store is away when the new leader has just been elected, and has not read its records. */
const storeAway: Fault = { kind: 'store-down', atMs: CHANGE_AT_MS + 1, forMs: OUTAGE_MS, first: 0, count: 1 }

// A new leader began to count its wait for a silent worker when it had read its records, however long after its election that was.
test('the wait for a silent worker goes on while a new leader cannot read its records', async () => {
  const service = new FaultyService(1)
  try {
    const waitedMs = await service.playUntilAllRun({ seed: 1, faults: [cut, storeAway], changes: [{ atMs: CHANGE_AT_MS, entry: 1, overlapMs: 0 }] }, CHANGE_AT_MS)
    assert.deepEqual(service.workers.history.violations(), [])
    assert.ok(waitedMs <= WHOLE_WAIT_MS + START_MS, `${waitedMs} ms`)
  } finally {
    service.close()
  }
})
