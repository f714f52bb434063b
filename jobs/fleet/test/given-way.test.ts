import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { FleetTerm } from '@wisteriaslip/jobs.fleet'
import { FleetPlatform, STEP_MS } from './fleet-platform.ts'

/** A leader whose VMs `a1` and `b1` are in the pool of a service of which those in the set are drained. */
function createLeader (platform: FleetPlatform, drained: ReadonlySet<string>): FleetTerm {
  const list = platform.listVms
  platform.listVms = () => ({ ...list(), vms: list().vms.map(vm => ({ ...vm, pool: 'a' })) })
  const leader = platform.createLeader()
  Object.assign(leader['opts'], { config: () => ({ version: 1, queues: [], services: [{ name: 'a', guardsCapacity: true, standby: false }], maxBodyBytes: 1 }) })
  leader['opts'].services.withdraw = async (_service, vms) => ({ kind: 'withdrawn', empty: vms.filter(vm => drained.has(vm)) })
  return leader
}

// A request that was recorded and not sent, as the record took over a second, held the wave's only place for good when a task that
// lasts was put on its VM meanwhile: no other VM was maintained, although it was drained.
test('a VM that is no longer drained, and whose request was not sent, does not keep others from their maintenance', async () => {
  const platform = new FleetPlatform(['a1', 'b1'])
  platform.declare(1, ['a1', 'b1'], { cap: 1 })
  const drained = new Set(['a1'])
  const leader = createLeader(platform, drained)
  const store = leader['waves']['records']['store']
  const { write } = store
  store.write = async records => {
    platform.clock.advance(1_100)
    return await write(records)
  }
  await platform.run(leader, STEP_MS)
  assert.deepEqual(platform.requests, [], 'recorded, and not sent')
  store.write = write
  drained.clear()
  drained.add('b1')
  await platform.run(leader, 30_000)
  assert.deepEqual(platform.begunFor(1), ['b1'])
  assert.deepEqual(platform.violations, [])
})
