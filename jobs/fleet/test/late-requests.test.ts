import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err } from '@wisteriaslip/core.result'
import { FleetPlatform, STEP_MS, type MaintenanceRequest } from './fleet-platform.ts'

/** Keeps the first request from the platform, without a response. @returns the request, once it was sent */
function loseFirstRequest (platform: FleetPlatform): MaintenanceRequest[] {
  const lost: MaintenanceRequest[] = []
  platform.intercept = req => {
    if (lost.length > 0) return undefined
    lost.push(req)
    return err({ kind: 'unknown', message: 'no response' })
  }
  return lost
}

// Guards against: a new leader does not know of a request whose VM has left the document.
test('a request on its way counts for a new leader although its VM had left the document', async () => {
  const platform = new FleetPlatform(['v1', 'v2'])
  platform.declare(1, ['v1', 'v2'], { cap: 1 })
  const late = loseFirstRequest(platform)
  await platform.run(platform.createLeader(), STEP_MS)
  platform.declare(1, ['v2'], { cap: 1 })
  await platform.run(platform.createLeader(), STEP_MS)
  await platform.run(platform.createLeader(), 1_000)
  platform.declare(1, ['v1', 'v2'], { cap: 1 })
  platform.intercept = () => err({ kind: 'refused', reason: 'busy' })
  await platform.run(platform.createLeader(), STEP_MS)
  for (const req of late) platform.carryOut(req)
  assert.deepEqual(platform.violations, [])
})

// Guards against: a wave that waits for good for a request whose VM does not come back.
test('a request whose VM has left the document counts for a limited time', async () => {
  const platform = new FleetPlatform(['v1', 'v2'])
  platform.declare(1, ['v1', 'v2'], { cap: 1 })
  loseFirstRequest(platform)
  const leader = platform.createLeader()
  await platform.run(leader, STEP_MS)
  platform.declare(1, ['v2'], { cap: 1 })
  await platform.run(leader, 10_000)
  assert.deepEqual(platform.begunFor(1), [])
  await platform.run(leader, 5_000)
  assert.deepEqual(platform.begunFor(1), ['v2'])
  assert.deepEqual(platform.records?.get(1)?.requested, [])
  assert.equal(platform.status(1), 'completed')
})

// Guards against: two VMs down with a limit of 1, because the request on its way was for a wave that was deleted and created again.
test('a request on its way counts for a wave that has been deleted and created again', async () => {
  const platform = new FleetPlatform(['v1', 'v2'])
  platform.declare(1, ['v1', 'v2'], { cap: 1 })
  const late = loseFirstRequest(platform)
  const leader = platform.createLeader()
  await platform.run(leader, STEP_MS)
  platform.remove(1)
  await platform.run(leader, STEP_MS)
  platform.declare(1, ['v2', 'v1'], { cap: 1 })
  platform.intercept = ({ vm }) => vm === 'v1' ? err({ kind: 'refused', reason: 'busy' }) : undefined
  await platform.run(leader, STEP_MS)
  for (const req of late) platform.carryOut(req)
  assert.deepEqual(platform.violations, [])
})

// Guards against: two VMs down with a limit of 1, because the number of a completed wave is used for other VMs.
test('a request on its way counts for a wave that uses the number of a completed one', async () => {
  const platform = new FleetPlatform(['v1', 'v2', 'v3'])
  platform.declare(1, ['v1', 'v2'], { cap: 2 })
  const late = loseFirstRequest(platform)
  const leader = platform.createLeader()
  await platform.run(leader, STEP_MS)
  platform.declare(1, ['v2'], { cap: 2 })
  await platform.run(leader, 4_000)
  assert.equal(platform.status(1), 'completed')
  platform.declare(1, ['v3', 'v1'], { cap: 1 })
  platform.intercept = ({ vm }) => vm === 'v1' ? err({ kind: 'refused', reason: 'busy' }) : undefined
  await platform.run(leader, STEP_MS)
  for (const req of late) platform.carryOut(req)
  assert.deepEqual(platform.violations, [])
})
