import assert from 'node:assert/strict'
import { test } from 'node:test'
import { FaultyService, type Fault } from './faulty-service.ts'

/** The workers on two VMs are cut off, and their registrations expire 1.5 s later. Leases that they have then end after 4 s. */
const DARK_AT_MS = 3_000
const dark: Fault = { kind: 'dark', atMs: DARK_AT_MS, forMs: 12_000, first: 0, count: 2 }

// The record of a term that dropped a worker together with its registration, while its leases last, would let the next leader start its tasks elsewhere.
test('no task runs twice when two leaders follow each other while workers that are no longer registered have leases', async () => {
  const found: string[] = []
  for (let seed = 1; seed <= 12; seed++) {
    const service = new FaultyService(seed)
    const secondChangeMs = 6_000 + (seed % 6) * 150
    try {
      await service.play({ seed, faults: [dark], changes: [{ atMs: 4_600, entry: 1, overlapMs: 0 }, { atMs: secondChangeMs, entry: 2, overlapMs: 0 }] }, 1_000)
      found.push(...service.workers.history.violations().map(each => `${seed}: ${each}`))
    } finally {
      service.close()
    }
  }
  assert.deepEqual(found, [])
})
