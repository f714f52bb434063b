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
  private readonly ending: number
  private readonly down = new DownVms(2_000)
  private readonly turns = new DrainTurns()

  /**
   * @param lastingRuns - number of long-running tasks by VM
   * @param ending - number of runs that end by themselves on each VM
   */
  constructor (lastingRuns: Readonly<Record<string, number>>, ending = 1) {
    this.ending = ending
    for (const [vm, runs] of Object.entries(lastingRuns)) this.setLasting(vm, runs)
  }

  setLasting (vm: string, lastingRuns: number): void {
    this.loads.set(vm, { runs: lastingRuns + this.ending, lastingRuns, usable: true })
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

/** Passes in which long-running tasks move from drained VMs to open ones of three places each. */
function moveFor (service: DrainedService, ms: number): { moves: number, drained: string[][] } {
  let moves = 0
  const drained: string[][] = []
  for (const until = service.now + ms; service.now < until;) {
    const taken = service.pass()
    drained.push(taken)
    const open = [...service.loads.keys()].filter(vm => !taken.includes(vm) && (service.states.get(vm) ?? 'up') === 'up')
    for (const from of taken) {
      const to = open.find(vm => (service.loads.get(vm)?.lastingRuns ?? 0) < 3)
      const lastingRuns = service.loads.get(from)?.lastingRuns ?? 0
      if (to === undefined || lastingRuns === 0) continue
      service.setLasting(from, lastingRuns - 1)
      service.setLasting(to, (service.loads.get(to)?.lastingRuns ?? 0) + 1)
      moves += 1
    }
  }
  return { moves, drained }
}

/** Two VMs with one place to spare, each of which has been drained twice, and moved one task. */
function restingService (ending = 1): DrainedService {
  const service = new DrainedService({ v1: 3, v2: 2 }, ending)
  service.declare(['v1', 'v2'], 1)
  moveFor(service, 4 * TURN_MS + 10_000)
  const { moves, drained } = moveFor(service, 10_000)
  assert.ok(moves === 0 && drained.every(vms => vms.length === 0), `${moves} moves`)
  return service
}

function isDrainedAgain (service: DrainedService, withinMs: number): boolean {
  return service.passFor(withinMs).some(vms => vms.length > 0)
}

// Each turn of drains that could not end stopped a task and started it on the VM that had been drained before, and back.
test('VMs whose drains only move tasks to and fro rest, and are tried again after minutes', () => {
  const service = restingService()
  assert.equal(moveFor(service, 80_000).moves, 0)
  assert.ok(isDrainedAgain(service, 50_000))
})

// Guards against: a wave that could go on, as there is a place more, and rests; and tasks that move again while one is between two runs.
test('a VM that rests as nothing has changed is drained again when a long-running task has ended, not while one moves', () => {
  const service = restingService()
  const [vm, { lastingRuns }] = [...service.loads].find(([, load]) => load.lastingRuns === 2) ?? ['', { lastingRuns: 0 }]
  service.setLasting(vm, lastingRuns - 1)
  assert.ok(!isDrainedAgain(service, 2_000))
  service.setLasting(vm, lastingRuns)
  assert.ok(!isDrainedAgain(service, 2_000))
  service.setLasting(vm, lastingRuns - 1)
  assert.ok(isDrainedAgain(service, 4_000))
})

// Guards against: a wave that rests although its service got a VM.
test('a VM that rests as nothing has changed is drained again when its service has another worker', () => {
  const service = restingService()
  service.setLasting('v3', 0)
  assert.ok(isDrainedAgain(service, 1_000))
})

// Guards against: a wave that rests although a VM of the service returns empty.
test('a VM that rests as nothing has changed is drained again when another one of its service has gone for maintenance', () => {
  const service = restingService(0)
  service.waves[0]?.markBegun('v2', service.now)
  service.states.set('v2', 'maintenance')
  service.pass()
  service.states.set('v2', 'up')
  assert.ok(service.passFor(1_000).some(vms => vms.includes('v1')))
})

// Guards against: a wave that rests although runs have ended in whose place long-running tasks fit.
test('a VM that rests as nothing has changed is drained again when fewer runs are left on the others, not when more come', () => {
  const service = restingService()
  const runs = (ending: number): void => { for (const [vm, load] of service.loads) service.loads.set(vm, { ...load, runs: load.lastingRuns + ending }) }
  runs(2)
  assert.ok(!isDrainedAgain(service, 5_000))
  runs(1)
  assert.ok(!isDrainedAgain(service, 5_000))
  runs(0)
  assert.ok(isDrainedAgain(service, 1_000))
})

// Guards against: turns that go on to and fro in a service whose other tasks come and end.
test('VMs rest, too, if runs come and end on the others, and as few are left as at some time of the drain', () => {
  const service = new DrainedService({ v1: 3, v2: 2 })
  service.declare(['v1', 'v2'], 1)
  let moves = 0
  for (let round = 0; round < 120; round++) {
    const ending = 2 - round % 3
    for (const [vm, load] of service.loads) service.loads.set(vm, { ...load, runs: load.lastingRuns + ending })
    moves += moveFor(service, 1_000).moves
  }
  assert.ok(moves <= 4, `${moves}`)
})

// Guards against: a rest for minutes after a turn that found more room than the one before.
test('a VM that had its turn before a long-running task ended has another one', () => {
  const service = new DrainedService({ v1: 3, v2: 2 })
  service.declare(['v1', 'v2'], 1)
  moveFor(service, 2 * TURN_MS - 1_000)
  assert.equal(service.loads.get('v1')?.lastingRuns, 2)
  service.setLasting('v1', 1)
  moveFor(service, 3 * TURN_MS + 2_000)
  assert.ok(moveFor(service, 6_000).drained.every(vms => vms.length > 0))
})

// Guards against: a change of a service's leader that is taken for one of its room.
test('a VM rests on while its service does not respond', () => {
  const service = restingService()
  const loads = new Map(service.loads)
  for (const vm of loads.keys()) service.loads.set(vm, { runs: 0, lastingRuns: 0 })
  assert.ok(!isDrainedAgain(service, 10_000))
  for (const [vm, load] of loads) service.loads.set(vm, load)
  assert.ok(!isDrainedAgain(service, 10_000))
})

// Guards against: two VMs that rest for long although the tasks of each would fit elsewhere if only that one was drained.
test('VMs that were drained together are tried again after the usual rest', () => {
  const service = new DrainedService({ v1: 3, v2: 3, v3: 2 })
  service.declare(['v1', 'v2'], 2)
  let together = 0
  let longestRestMs = 0
  let restMs = 0
  for (let passes = 0; passes < 150_000 / STEP_MS; passes++) {
    const taken = service.pass()
    restMs = taken.length === 0 ? restMs + STEP_MS : 0
    longestRestMs = Math.max(longestRestMs, restMs)
    if (taken.length === 2) together += 1
    // A task of either moves to the third, and back.
    const isDrained = taken.length > 0
    service.setLasting('v1', taken.includes('v1') ? 2 : 3)
    service.setLasting('v2', taken.includes('v2') ? 2 : 3)
    service.setLasting('v3', isDrained ? 2 + taken.length : 2)
  }
  assert.ok(together > 0)
  assert.ok(longestRestMs <= 10_000, `${longestRestMs} ms`)
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
