import assert from 'node:assert/strict'
import { test } from 'node:test'
import { FaultyService, type Scenario } from './faulty-service.ts'

const LOST_AT_MS = 3_000
const LEADER_ENDS_AT_MS = 3_500
/** Nobody leads for longer than any lease lasts, as when all entries have lost power. */
const VACANT_MS = 9_500
/** The users' rule excuses 7 s after the entries are back, of which their start, their leases, an election and a start of the task take their part. */
const CALM_MS = 7_000
const UNTIL_TERM_MS = 1_600

const scenario: Scenario = {
  seed: 1,
  faults: [],
  losses: [{ atMs: LOST_AT_MS, vm: 'vm0', listedAs: 'up' }],
  changes: [{ atMs: LEADER_ENDS_AT_MS, entry: 1, overlapMs: 0, vacantMs: VACANT_MS }]
}

// A leader that begins after all leases have run out does not know that, and waits for them at a worker that is gone, its VM listed as up without one.
test('tasks of a lost worker whose VM stays listed run within the users\' rule after nobody has led for longer than any lease', async () => {
  const service = new FaultyService(scenario.seed)
  try {
    const waitedMs = await service.playUntilAllRun(scenario, LEADER_ENDS_AT_MS + VACANT_MS)
    assert.deepEqual(service.workers.history.violations(), [])
    assert.ok(waitedMs <= CALM_MS - UNTIL_TERM_MS, `${waitedMs} ms`)
  } finally {
    service.close()
  }
})
