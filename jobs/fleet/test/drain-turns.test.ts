import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DownVms, DrainTurns, planWaves, WaveTracker, type FleetSnapshot, type VmLoad } from '@wisteriaslip/jobs.fleet'
import type { Vm } from '@wisteriaslip/jobs.model'

const STEP_MS = 200
/** A drain gives way after this if it leaves no open worker, or one, and is tried again after 8 s. */
const GIVE_WAY_MS = 6_000
const TURN_MS = 12_000

/** A service `a` with VMs whose workers respond, waves over them, and the turns of their drains. */
class DrainedService {
  now = 0
  readonly loads = new Map<string, VmLoad>()
  readonly states = new Map<string, Vm['state']>()
  readonly drained = new Set<string>()
  readonly waves: WaveTracker[] = []
  readonly gaveWay: string[] = []
  private readonly down = new DownVms(2_000)
  private readonly turns = new DrainTurns()

  /** @param lastingRuns - number of long-running tasks by VM */
  constructor (lastingRuns: Readonly<Record<string, number>>) {
    for (const [vm, runs] of Object.entries(lastingRuns)) this.setLasting(vm, runs)
  }

  setLasting (vm: string, lastingRuns: number): void {
    this.loads.set(vm, { runs: lastingRuns + 1, lastingRuns, usable: true })
  }

  declare (vms: readonly string[], cap: number): WaveTracker {
    const number = this.waves.length + 1
    const wave = new WaveTracker({ number, vms, durationMs: 20_000, cap, createRevision: number, revision: number }, { now: this.now })
    this.waves.push(wave)
    return wave
  }

  /** @returns ids of the VMs that are drained after a pass, sorted */
  pass (): string[] {
    const planned = planWaves(this.waves, this.snapshot())
    this.gaveWay.push(...this.turns.follow(planned, this.snapshot()).map(({ vm }) => vm))
    this.now += STEP_MS
    return planned.map(({ vm }) => vm).sort()
  }

  /** @returns the drained VMs of each pass */
  passFor (ms: number): string[][] {
    const passes: string[][] = []
    for (const until = this.now + ms; this.now < until;) passes.push(this.pass())
    return passes
  }

  private snapshot (): FleetSnapshot {
    const vms = [...this.loads.keys()].map((id): Vm => ({ id, pool: 'a', state: this.states.get(id) ?? 'up', zone: 'z', rack: 'r', labels: [], capacity: { cpu: 1, memMb: 1, accelerators: 0 }, worker: id }))
    this.down.observe(vms, this.now)
    return { vms: new Map(vms.map(vm => [vm.id, vm])), down: this.down, load: vm => this.loads.get(vm) ?? { runs: 0, lastingRuns: 0 }, drained: this.drained, resting: this.turns.resting(this.now), now: this.now }
  }
}

// All VMs of a service were drained at once, so that its long-running tasks had no place to move to.
test('of VMs with long-running tasks one stays open, the one with the most', () => {
  const service = new DrainedService({ v1: 1, v2: 3, v3: 2 })
  service.declare(['v1', 'v2', 'v3'], 3)
  assert.deepEqual(service.pass(), ['v1', 'v3'])
  service.setLasting('v2', 6)
  service.setLasting('v1', 0)
  assert.deepEqual(service.pass(), ['v1', 'v3'], 'the same stays open')
})

// Two waves drained one VM of a service each.
test('one VM stays open, too, if several waves name the VMs of a service', () => {
  const service = new DrainedService({ v1: 1, v2: 1 })
  service.declare(['v1'], 1)
  service.declare(['v2'], 1)
  assert.deepEqual(service.passFor(1_000).at(-1), ['v1'])
})

// Guards against: waves that take longer although nothing keeps them from draining all VMs at once.
test('all VMs are drained at once if they have no long-running tasks, or one is empty before it is drained', () => {
  const idle = new DrainedService({ v1: 0, v2: 0 })
  idle.declare(['v1', 'v2'], 2)
  assert.deepEqual(idle.passFor(20_000).at(-1), ['v1', 'v2'])
  assert.deepEqual(idle.gaveWay, [])
})

test('the last VM is drained when the others are back or away for maintenance', () => {
  const service = new DrainedService({ v1: 0, v2: 2 })
  service.declare(['v1', 'v2'], 2)
  assert.deepEqual(service.pass(), ['v1'])
  service.waves[0]?.markBegun('v1', service.now)
  service.states.set('v1', 'maintenance')
  assert.deepEqual(service.pass(), ['v2'])
})

// A wave drained the only worker of a service for good: its long-running tasks ran on there, and nothing else was started.
test('the drain of an only worker gives way, is tried again later, and gives way again', () => {
  const service = new DrainedService({ v1: 2 })
  service.declare(['v1'], 1)
  const passes = service.passFor(40_000).map(vms => vms.length)
  assert.deepEqual(passes.slice(0, GIVE_WAY_MS / STEP_MS), Array(GIVE_WAY_MS / STEP_MS).fill(1))
  const longest = passes.join('').split('0').map(drain => drain.length * STEP_MS)
  assert.ok(Math.max(...longest) <= GIVE_WAY_MS + STEP_MS, `${Math.max(...longest)}`)
  assert.ok(service.gaveWay.length >= 3)
})

// A drain that could not end kept the other VM of its service from being drained for good.
test('drains that cannot end take turns', () => {
  const service = new DrainedService({ v1: 2, v2: 2 })
  service.declare(['v1', 'v2'], 1)
  const passes = service.passFor(5 * TURN_MS)
  assert.ok(passes.every(vms => vms.length < 2))
  assert.deepEqual(service.gaveWay.slice(0, 4), ['v2', 'v1', 'v2', 'v1'])
})

// A drain that leaves a worker open was given back after 6 s, while it waited for runs there to end: waves took longer.
test('a drain that leaves a worker open waits longer for room there', () => {
  const service = new DrainedService({ v1: 2, v2: 2 })
  service.declare(['v1'], 1)
  assert.ok(service.passFor(TURN_MS).every(vms => vms.includes('v1')))
  service.pass()
  assert.deepEqual(service.pass(), [])
})

// Guards against: a drain that is given back just before it ends.
test('a drain goes on while long-running tasks move away or only runs that end are left', () => {
  const service = new DrainedService({ v1: 4, v2: 5 })
  service.declare(['v1', 'v2'], 1)
  for (let left = 4; left >= 0; left--) {
    service.setLasting('v1', left)
    assert.ok(service.passFor(GIVE_WAY_MS - STEP_MS).every(vms => vms.includes('v1')))
  }
  assert.ok(service.passFor(30_000).every(vms => vms.includes('v1')))
  assert.deepEqual(service.gaveWay, [])
})

// Guards against: a drain that is given back although a VM to which its tasks can move is about to arrive.
test('a drain goes on while another VM is on its way to the service', () => {
  const service = new DrainedService({ v1: 2, v2: 0 })
  service.states.set('v2', 'moving')
  service.declare(['v1'], 1)
  assert.ok(service.passFor(15_000).every(vms => vms.includes('v1')))
})

// Guards against: a wave whose drains wait for `mayMiss` gives them up although the service has room for all other tasks.
test('a drain beside two open workers goes on while its long-running tasks, or those of another drain, move away one by one', () => {
  const service = new DrainedService({ v1: 4, v2: 4, v3: 3, v4: 3 })
  service.declare(['v1', 'v2'], 2)
  for (let left = 3; left >= 0; left--) {
    service.setLasting('v1', left)
    assert.ok(service.passFor(TURN_MS - STEP_MS).every(vms => vms.includes('v1') && vms.includes('v2')))
  }
  assert.deepEqual(service.gaveWay, [])
})

// Tasks that fitted on the drained worker only waited for good beside two open ones, as its drain could not end.
test('a drain that cannot end gives way, however many workers are open', () => {
  const service = new DrainedService({ v1: 2, v2: 3, v3: 3 })
  service.declare(['v1'], 1)
  assert.ok(service.passFor(TURN_MS).every(vms => vms.includes('v1')))
  service.pass()
  assert.deepEqual(service.pass(), [])
})

// A VM of the service that stayed in maintenance, or on its way, kept a drain that could not end for good.
for (const state of ['maintenance', 'moving'] as const) {
  test(`the drain of an only worker gives way although another VM of its service stays listed as ${state}`, () => {
    const service = new DrainedService({ v1: 2, v2: 0 })
    service.states.set('v2', state)
    service.declare(['v1'], 1)
    service.passFor(120_000)
    assert.ok(service.gaveWay.length > 0)
  })
}

// Guards against: a VM that takes tasks while a request without a response may yet take it down.
test('a VM with a request that may take effect does not give way', () => {
  const service = new DrainedService({ v1: 2 })
  const wave = service.declare(['v1'], 1)
  wave.markRequested('v1', 0)
  wave.markUnanswered('v1', 100)
  assert.ok(service.passFor(20_000).every(vms => vms.includes('v1')))
  assert.deepEqual(service.gaveWay, [])
})

// A drained VM that the platform refuses again and again keeps the other one of its service from being drained.
test('the other VM of a service is drained while the platform refuses an empty one', () => {
  const service = new DrainedService({ v1: 0, v2: 2 })
  const wave = service.declare(['v1', 'v2'], 2)
  let longest = 0
  let since: number | undefined
  for (let passes = 0; passes < 600; passes++) {
    const taken = service.pass()
    if (taken.includes('v1')) service.drained.add('v1')
    else service.drained.delete('v1')
    if (taken.includes('v1') && wave.mayRequest('v1', service.now)) wave.markRefused('v1', 'busy', service.now)
    since = taken.includes('v2') ? since ?? service.now : undefined
    if (since !== undefined) longest = Math.max(longest, service.now - since)
  }
  assert.ok(longest >= 6_000, `${longest} ms`)
})
