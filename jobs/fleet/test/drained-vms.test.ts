import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err, ok } from '@wisteriaslip/core.result'
import type { FleetTerm } from '@wisteriaslip/jobs.fleet'
import { WaveTracker } from '../src/wave-tracker.ts'
import { FleetPlatform, MAINTENANCE_MS, STEP_MS } from './fleet-platform.ts'

/** Time until a leader that does not respond is no longer waited for, in milliseconds. */
const SLOW_MS = 1_200

/** A leader whose VMs are spread over the pools of services, by the first letter of their ids. */
function createLeader (platform: FleetPlatform, names: readonly string[]): FleetTerm {
  const list = platform.listVms
  platform.listVms = () => ({ ...list(), vms: list().vms.map(vm => ({ ...vm, pool: vm.id.slice(0, 1) })) })
  const leader = platform.createLeader()
  const services = names.map(name => ({ name, guardsCapacity: true, standby: false }))
  Object.assign(leader['opts'], { config: () => ({ version: 1, queues: [], services, maxBodyBytes: 1 }) })
  return leader
}

/** Lets everything run that is ready, some times. */
async function turns (count: number): Promise<void> {
  for (let turn = 0; turn < count; turn++) await new Promise(resolve => setImmediate(resolve))
}

/** Lets the leader of the service respond only after the time, when those of all others have responded. */
function slowDown (platform: FleetPlatform, leader: FleetTerm, slow: string): void {
  leader['opts'].services.withdraw = async (service, vms) => {
    if (service !== slow) return { kind: 'withdrawn', empty: vms }
    await turns(1)
    platform.clock.advance(SLOW_MS)
    return { kind: 'withdrawn', empty: vms }
  }
}

// Guards against: a wave waits for the leader of a service that has none of its VMs.
test('VMs are maintained as soon as the leader of their service has found them drained', async () => {
  const platform = new FleetPlatform(['a1'])
  platform.declare(1, ['a1'])
  const leader = createLeader(platform, ['a', 'b'])
  slowDown(platform, leader, 'b')
  await platform.run(leader, STEP_MS)
  assert.deepEqual(platform.begun.map(({ vm, at }) => ({ vm, at })), [{ vm: 'a1', at: 0 }])
})

// Guards against: work that was put on a VM meanwhile is moved with it.
test('a VM that was found drained more than a second ago is not moved', async () => {
  const platform = new FleetPlatform(['a1', 'b1'])
  const leader = createLeader(platform, ['a', 'b'])
  slowDown(platform, leader, 'b')
  leader['autoscaler'].plan = () => [{ vm: 'a1', from: 'a', to: 'c' }, { vm: 'b1', from: 'b', to: 'c' }]
  const moved: string[] = []
  leader['opts'].fleetClient.moveVm = async ({ vm }) => {
    moved.push(vm)
    return ok(undefined)
  }
  await platform.run(leader, STEP_MS)
  assert.deepEqual(moved, ['a1'])
})

// Guards against: the limit is exceeded by requests for several services in one pass.
test('the limit of a wave holds for VMs of several services whose leaders respond one after the other', async () => {
  const vms = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2']
  const platform = new FleetPlatform(vms)
  platform.declare(1, vms, { cap: 2 })
  const leader = createLeader(platform, ['a', 'b', 'c'])
  slowDown(platform, leader, 'b')
  const start = leader['opts'].fleetClient.startMaintenance
  leader['opts'].fleetClient.startMaintenance = async (req, signal) => {
    await new Promise(resolve => setTimeout(resolve, 1))
    return await start(req, signal)
  }
  for (let pass = 0; pass < 40; pass++) {
    await platform.run(leader, STEP_MS)
    platform.clock.advance(MAINTENANCE_MS / 4)
  }
  assert.deepEqual(platform.violations, [])
  assert.deepEqual(platform.begunFor(1).filter(vm => !vm.startsWith('b')), ['a1', 'a2', 'c1', 'c2'])
})

// Guards against: the limit is exceeded, because a VM that was planned first does not count one that was requested before it.
test('a VM counts those that were requested since it was planned', async () => {
  const platform = new FleetPlatform(['a1', 'b1'])
  platform.declare(1, ['a1', 'b1'], { cap: 1 })
  const leader = createLeader(platform, ['a', 'b'])
  // Work that takes long to drain has its VM planned in addition to the one that is due.
  leader['opts'].services.load = async () => ({ workers: [{ worker: 'w', vm: 'b1', runs: 1, lastingRuns: 1, usable: true }] }) as never
  leader['opts'].services.withdraw = async (service, vms) => {
    // Until the request for b1 has been answered.
    if (service === 'a') await turns(1)
    return { kind: 'withdrawn', empty: vms }
  }
  platform.intercept = ({ vm }) => vm === 'b1' ? 'lost' : undefined
  await platform.run(leader, STEP_MS)
  assert.deepEqual(platform.begunFor(1), ['b1'])
  assert.deepEqual(platform.violations, [])
})

// Guards against: the limit is exceeded while an old request that is to be repeated is recorded.
test('a VM counts one whose old request is about to be repeated', async () => {
  const platform = new FleetPlatform(['a1', 'b1'])
  platform.declare(1, ['a1', 'b1'], { cap: 1 })
  const leader = createLeader(platform, ['a', 'b'])
  let drained = ['a1']
  leader['opts'].services.withdraw = async (_service, vms) => ({ kind: 'withdrawn', empty: vms.filter(vm => drained.includes(vm)) })
  platform.intercept = () => err({ kind: 'unknown', message: 'no response' })
  await platform.run(leader, STEP_MS)
  drained = []
  await platform.run(leader, 14_000)
  const store = leader['waves']['records']['store']
  const write = store.write
  store.write = async records => {
    await turns(5)
    return await write(records)
  }
  // What the store holds is not certain, so that all requests are recorded first.
  platform.writesRecords = false
  platform.declare(2, ['a1'])
  await platform.run(leader, STEP_MS)
  platform.writesRecords = true
  platform.intercept = () => undefined
  drained = ['a1', 'b1']
  await platform.run(leader, STEP_MS)
  assert.equal(platform.begun.length, 1)
  assert.deepEqual(platform.violations, [])
})

// Guards against: the limit is exceeded, because a request that is repeated does not count a later one that may yet take effect.
test('a request is not repeated in the place of a later one that may yet take effect', async () => {
  const platform = new FleetPlatform(['a1', 'b1'])
  platform.declare(1, ['a1', 'b1'], { cap: 1 })
  const leader = createLeader(platform, ['a', 'b'])
  let drained = ['a1']
  leader['opts'].services.withdraw = async (_service, vms) => ({ kind: 'withdrawn', empty: vms.filter(vm => drained.includes(vm)) })
  platform.intercept = () => err({ kind: 'unknown', message: 'no response' })
  await platform.run(leader, STEP_MS)
  drained = []
  await platform.run(leader, 14_000)
  drained = ['b1']
  await platform.run(leader, STEP_MS)
  const late = platform.requests.filter(({ vm }) => vm === 'b1')
  assert.equal(late.length, 1)
  drained = ['a1']
  platform.intercept = () => undefined
  await platform.run(leader, 1_000)
  for (const req of late) platform.carryOut(req)
  assert.deepEqual(platform.violations, [])
})

// Guards against: the limit is exceeded while a request is repeated that was sent too long ago to count.
test('a request that is being repeated may take effect, however long ago it was sent first', () => {
  const wave = new WaveTracker({ number: 1, vms: ['v1'], cap: 1, durationMs: 20_000, createRevision: 1, revision: 1 }, { now: 0 })
  wave.markRequested('v1', 0)
  wave.markUnanswered('v1', 0)
  assert.equal(wave.mayTakeEffect('v1', 13_000), false)
  wave.markSending('v1')
  assert.equal(wave.mayTakeEffect('v1', 13_000), true)
  wave.markSent('v1')
  assert.equal(wave.mayTakeEffect('v1', 13_000), false)
})
