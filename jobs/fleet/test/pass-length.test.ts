import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err } from '@wisteriaslip/core.result'
import { FleetPlatform } from './fleet-platform.ts'

/** How long a withdrawal holds after it was last asked for (jobs/scheduler/src/tracked-worker.ts). */
const WITHDRAWAL_TTL_MS = 5_000
/** Within the time-out of a call to the VM platform, 1.5 s. */
const SLOW_LIST_MS = 1_400
const CALL_TIMEOUT_MS = 1_500
const RECORD_MS = 300
/** Longest time between two passes. */
const MAX_STEP_INTERVAL_MS = 1_000

// A withdrawal ran out while the fleet's leader went on asking for it, as its calls to a slow platform took longer.
test('a withdrawal is asked for again before it ends, although the VM platform is slow', async () => {
  const platform = new FleetPlatform(['a1', 'a2'])
  platform.declare(1, ['a1', 'a2'], { cap: 2 })
  const list = platform.listVms
  platform.listVms = () => {
    platform.clock.advance(SLOW_LIST_MS)
    return { ...list(), vms: list().vms.map(vm => ({ ...vm, pool: 'a' })) }
  }
  platform.intercept = () => {
    platform.clock.advance(CALL_TIMEOUT_MS / 2)
    return err({ kind: 'unknown', message: 'no response' })
  }
  const leader = platform.createLeader()
  Object.assign(leader['opts'], { config: () => ({ version: 1, queues: [], services: [{ name: 'a', guardsCapacity: true, standby: false }], maxBodyBytes: 1 }) })
  const asked: number[] = []
  leader['opts'].services.withdraw = async (_service, vms) => {
    asked.push(platform.clock.now())
    return { kind: 'withdrawn', empty: vms }
  }
  const store = leader['waves']['records']['store']
  const { write } = store
  store.write = async records => {
    platform.clock.advance(RECORD_MS)
    return await write(records)
  }
  for (let pass = 0; pass < 5; pass++) {
    await leader.step(new AbortController().signal)
    platform.clock.advance(MAX_STEP_INTERVAL_MS)
  }
  const gaps = asked.slice(1).map((at, index) => at - (asked[index] ?? at))
  assert.ok(gaps.length > 2 && Math.max(...gaps) < WITHDRAWAL_TTL_MS, `asked again after ${gaps.join(', ')} ms`)
})
