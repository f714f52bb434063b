import assert from 'node:assert/strict'
import { test } from 'node:test'
import { PoolAutoscaler } from '@wisteriaslip/jobs.fleet'
import type { Service, Vm } from '@wisteriaslip/jobs.model'
import type { ServiceLoad, WorkerLoad } from '@wisteriaslip/jobs.protocol'

const CPU = 64_000
const services: readonly Service[] = [
  { name: 'a', guardsCapacity: true, standby: false },
  { name: 'b', guardsCapacity: true, standby: false },
  { name: 'off', guardsCapacity: true, standby: true }
]

function vm (id: string, pool: string, state: Vm['state'] = 'up'): Vm {
  return { id, pool, state, zone: 'z', rack: 'r', labels: [], capacity: { cpu: CPU, memMb: 1, accelerators: 0 }, worker: `w-${id}` }
}

function load (wantedCpu: number, workers: Array<Partial<WorkerLoad> & { vm: string }>): ServiceLoad {
  const full = workers.map(worker => ({ worker: `w-${worker.vm}`, cpuShare: 0, runs: 0, lastingRuns: 0, emptyMs: 0, withdrawn: false, usable: true, ...worker }))
  return { kind: 'load', workers: full, wantedCpu, wantedMemMb: 0, leastWorkers: 0 }
}

test('queues with alternating peaks: the pool at its peak gets powered-off VMs, then idle VMs of the other pool', () => {
  const autoscaler = new PoolAutoscaler({ now: () => 0 })
  const vms = [vm('a1', 'a'), vm('b1', 'b'), vm('b2', 'b'), vm('b3', 'b'), vm('o1', 'off')]
  const loads = new Map([
    ['a', load(3 * CPU, [{ vm: 'a1', runs: 9 }])],
    ['b', load(0, [{ vm: 'b1', runs: 1, cpuShare: 0.9 }, { vm: 'b2', emptyMs: 700 }, { vm: 'b3', emptyMs: 700 }])]
  ])
  const moves = autoscaler.plan(services, vms, loads, new Set())
  assert.deepEqual(moves.map(move => [move.vm, move.to]), [['o1', 'a'], ['b2', 'a'], ['b3', 'a']])
})

test('a pool flooded beyond the weights of accounts draws no VMs from one whose jobs are within, and gets those that are left', () => {
  const vms = [vm('a1', 'a'), vm('b1', 'b'), vm('o1', 'off'), vm('o2', 'off'), vm('o3', 'off')]
  const movesTo = (owed: number): string[] => {
    const loads = new Map([
      ['a', { ...load(20 * CPU, [{ vm: 'a1', runs: 9, cpuShare: 1 }]), owed: { cpu: owed * CPU, memMb: 0 } }],
      ['b', { ...load(1.9 * CPU, [{ vm: 'b1', runs: 9, cpuShare: 1 }]), owed: { cpu: 1.9 * CPU, memMb: 0 } }]
    ])
    return new PoolAutoscaler({ now: () => 0 }).plan(services, vms, loads, new Set()).map(move => move.to).sort()
  }
  assert.deepEqual(movesTo(20), ['a', 'a', 'b'])
  assert.deepEqual(movesTo(0.2), ['a', 'b', 'b'])
})

test('idle VMs are powered off only after the requirement has been low for a while', () => {
  let now = 0
  const autoscaler = new PoolAutoscaler({ now: () => now })
  const vms = [vm('a1', 'a'), vm('a2', 'a'), vm('a3', 'a')]
  const idle = [{ vm: 'a1', emptyMs: 900 }, { vm: 'a2', emptyMs: 900 }, { vm: 'a3', emptyMs: 900 }]
  autoscaler.plan(services, vms, new Map([['a', load(2 * CPU, idle.map(each => ({ ...each, runs: 1 })))]]), new Set())
  now = 1_000
  assert.deepEqual(autoscaler.plan(services, vms, new Map([['a', load(0, idle)]]), new Set()), [])
  now = 3_000
  const moves = autoscaler.plan(services, vms, new Map([['a', load(0, idle)]]), new Set())
  assert.deepEqual(moves.map(move => [move.vm, move.to]), [['a1', 'off'], ['a2', 'off']])
})

test('a VM with runs, due for maintenance or just moved is not moved', () => {
  let now = 5_000
  const autoscaler = new PoolAutoscaler({ now: () => now })
  const vms = [vm('a1', 'a'), vm('a2', 'a'), vm('a3', 'a'), vm('a4', 'a'), vm('o1', 'off')]
  const loads = new Map([['a', load(0, [{ vm: 'a1', runs: 1 }, { vm: 'a2', emptyMs: 900 }, { vm: 'a3', emptyMs: 900 }, { vm: 'a4', emptyMs: 900 }])]])
  autoscaler.plan(services, vms, loads, new Set())
  now = 8_000
  autoscaler.recordMove({ vm: 'a3', from: 'a', to: 'b' })
  const moves = autoscaler.plan(services, vms, loads, new Set(['a2']))
  assert.deepEqual(moves.map(move => move.vm), ['a4'])
})

test('VMs lost with their rack are replaced, but VMs that have just come up get time to start a worker', () => {
  let now = 0
  const autoscaler = new PoolAutoscaler({ now: () => now })
  const vms = [vm('a1', 'a'), vm('a2', 'a'), vm('a3', 'a'), vm('o1', 'off'), vm('o2', 'off')]
  const loads = new Map([['a', load(2 * CPU, [{ vm: 'a1', runs: 3 }, { vm: 'a2', usable: false }, { vm: 'a3', usable: false }])]])
  assert.deepEqual(autoscaler.plan(services, vms, loads, new Set()), [])
  now = 2_100
  assert.deepEqual(autoscaler.plan(services, vms, loads, new Set()).map(move => move.vm), ['o1', 'o2'])
})

test('arriving VMs count as supply, and pools without a load report are left unchanged', () => {
  const autoscaler = new PoolAutoscaler({ now: () => 0 })
  const vms = [vm('a1', 'a'), vm('a2', 'a', 'moving'), vm('a3', 'a', 'moving'), vm('a4', 'a', 'moving'), vm('b1', 'b'), vm('b2', 'b'), vm('o1', 'off')]
  const loads = new Map([['a', load(2.5 * CPU, [{ vm: 'a1', runs: 5 }])]])
  assert.deepEqual(autoscaler.plan(services, vms, loads, new Set()), [])
})

test('a pool is sized for the spread of its tasks and for their memory', () => {
  const vms = [vm('a1', 'a'), vm('o1', 'off'), vm('o2', 'off'), vm('o3', 'off')]
  const smallLoad = load(100, [{ vm: 'a1', runs: 1 }])
  const spreadMoves = new PoolAutoscaler({ now: () => 0 }).plan(services, vms, new Map([['a', { ...smallLoad, leastWorkers: 3 }]]), new Set())
  assert.equal(spreadMoves.length, 2)
  const memoryMoves = new PoolAutoscaler({ now: () => 0 }).plan(services, vms, new Map([['a', { ...smallLoad, wantedMemMb: 2 }]]), new Set())
  assert.equal(memoryMoves.length, 2)
})

test('a VM due for maintenance is replaced in advance', () => {
  const vms = [vm('a1', 'a'), vm('a2', 'a'), vm('o1', 'off')]
  const loads = new Map([['a', load(CPU, [{ vm: 'a1', runs: 3 }, { vm: 'a2', runs: 3 }])]])
  assert.deepEqual(new PoolAutoscaler({ now: () => 0 }).plan(services, vms, loads, new Set(['a2'])).map(move => move.vm), ['o1'])
})

test('for a pool with a shortfall, VMs of another pool with little batch work are drained, but not VMs with long-running tasks', () => {
  const vms = [vm('a1', 'a'), vm('b1', 'b'), vm('b2', 'b'), vm('b3', 'b')]
  const loads = new Map([
    ['a', load(2 * CPU, [{ vm: 'a1', runs: 9 }])],
    ['b', load(0, [{ vm: 'b1', runs: 4, lastingRuns: 4 }, { vm: 'b2', runs: 3, cpuShare: 0.4 }, { vm: 'b3', runs: 1, cpuShare: 0.1 }])]
  ])
  assert.deepEqual(new PoolAutoscaler({ now: () => 0 }).plan(services, vms, loads, new Set()).map(move => move.vm), ['b3', 'b2'])
})

test('three pools at their peak and a small one: busy VMs of the largest are drained for the small one', () => {
  const autoscaler = new PoolAutoscaler({ now: () => 5_000 })
  const pools = [['a', 12], ['b', 3], ['off', 0]] as const
  const vms = pools.flatMap(([pool, count]) => Array.from({ length: count }, (_, number) => vm(`${pool}${number}`, pool)))
  const busy = (pool: string, count: number): ServiceLoad => load(40 * CPU, Array.from({ length: count }, (_, number) => ({ vm: `${pool}${number}`, runs: 8, cpuShare: number === 0 ? 0.9 : 1 })))
  const moves = autoscaler.plan(services, vms, new Map([['a', busy('a', 12)], ['b', { ...busy('b', 3), wantedCpu: 4 * CPU }]]), new Set())
  assert.deepEqual(moves.map(move => [move.from, move.to]), [['a', 'b'], ['a', 'b']])
  assert.equal(moves[0]?.vm, 'a0')
})

test('demand of twice the fleet: pools at their shares give no VMs to each other', () => {
  const autoscaler = new PoolAutoscaler({ now: () => 5_000 })
  const vms = ['a', 'b'].flatMap(pool => [1, 2, 3, 4].map(number => vm(`${pool}${number}`, pool)))
  const busy = (pool: string): ServiceLoad => load(8 * CPU, [1, 2, 3, 4].map(number => ({ vm: `${pool}${number}`, runs: 8, cpuShare: 1 })))
  assert.deepEqual(autoscaler.plan(services, vms, new Map([['a', busy('a')], ['b', busy('b')]]), new Set()), [])
})

// The pool that was one VM above its share kept it as its margin, for as long as it had a backlog.
test('a pool without a VM gets one from a pool that has a backlog and is one VM above its share, and keeps it', () => {
  const autoscaler = new PoolAutoscaler({ now: () => 5_000 })
  const busy = (...vms: string[]): ServiceLoad => load(6 * CPU, vms.map(vm => ({ vm, runs: 8, cpuShare: vm === 'a2' ? 0.8 : 1 })))
  const plan = (vms: Vm[], a: ServiceLoad, b: ServiceLoad): Array<[string, string]> => autoscaler.plan(services, vms, new Map([['a', a], ['b', b]]), new Set()).map(move => [move.vm, move.to])
  const before = ['a1', 'a2', 'a3'].map(id => vm(id, 'a'))
  assert.deepEqual(plan(before, busy('a1', 'a2', 'a3'), load(0.1 * CPU, [])), [['a2', 'b']])
  const after = [vm('a1', 'a'), vm('a2', 'b'), vm('a3', 'a')]
  assert.deepEqual(plan(after, busy('a1', 'a3'), busy('a2')), [])
})

test('the tail of a peak: VMs that a pool no longer requires are drained although each still has some small tasks', () => {
  let now = 0
  const autoscaler = new PoolAutoscaler({ now: () => now })
  const vms = ['a1', 'a2', 'a3', 'a4', 'a5'].map(id => vm(id, 'a'))
  const tail = [{ vm: 'a1', runs: 9, cpuShare: 0.8 }, { vm: 'a2', runs: 2, cpuShare: 0.2 }, { vm: 'a3', runs: 1, cpuShare: 0.1 }, { vm: 'a4', runs: 1, lastingRuns: 1, cpuShare: 0.1 }, { vm: 'a5', runs: 5, cpuShare: 0.5 }]
  autoscaler.plan(services, vms, new Map([['a', load(4 * CPU, tail)]]), new Set())
  now = 1_000
  assert.deepEqual(autoscaler.plan(services, vms, new Map([['a', load(CPU, tail)]]), new Set()), [])
  now = 3_000
  const moves = autoscaler.plan(services, vms, new Map([['a', load(CPU, tail)]]), new Set())
  assert.deepEqual(moves.map(move => [move.vm, move.to]), [['a3', 'off'], ['a2', 'off']])
})

test('a pool whose workers are smaller than their VMs gets more VMs, and gives them back when the workers have grown again', () => {
  let now = 0
  const autoscaler = new PoolAutoscaler({ now: () => now })
  const vms = [vm('a1', 'a'), vm('a2', 'a'), vm('o1', 'off'), vm('o2', 'off')]
  const sized = (cpu: number) => load(1.2 * CPU, [{ vm: 'a1', runs: 5, cpuShare: 0.9, capacity: { cpu, memMb: 1 } }, { vm: 'a2', runs: 5, cpuShare: 0.9, capacity: { cpu: CPU, memMb: 1 } }])
  assert.deepEqual(autoscaler.plan(services, vms, new Map([['a', sized(CPU)]]), new Set()), [])
  const moves = autoscaler.plan(services, vms, new Map([['a', sized(CPU / 4)]]), new Set())
  assert.deepEqual(moves.map(move => [move.vm, move.to]), [['o1', 'a']])
  now = 10_000
  const larger = [vm('a1', 'a'), vm('a2', 'a'), vm('o1', 'a')]
  const grown = load(1.2 * CPU, [...sized(CPU).workers, { worker: 'w-o1', vm: 'o1', cpuShare: 0, runs: 0, lastingRuns: 0, emptyMs: 900, withdrawn: false, usable: true, capacity: { cpu: CPU, memMb: 1 } }])
  autoscaler.plan(services, larger, new Map([['a', grown]]), new Set())
  now = 14_000
  assert.deepEqual(autoscaler.plan(services, larger, new Map([['a', grown]]), new Set()).map(move => [move.vm, move.to]), [['o1', 'off']])
})

// Pools gave up their VMs in the quiet before a peak that began at once: for two seconds each request of it was late.
test('a quiet time, then a peak at once: a pool keeps its VMs until work was seen for a while, and gives them to pools that lack some', () => {
  let now = 0
  const autoscaler = new PoolAutoscaler({ now: () => now })
  const vms = ['a1', 'a2', 'a3', 'a4'].map(id => vm(id, 'a')).concat(vm('b1', 'b'))
  const quiet = load(0, vms.map(({ id }) => ({ vm: id, emptyMs: 9_000 })))
  const plan = (a: ServiceLoad, b: ServiceLoad): Array<[string, string]> => autoscaler.plan(services, vms, new Map([['a', a], ['b', b]]), new Set()).map(move => [move.from, move.to])
  for (; now < 15_000; now += 200) assert.deepEqual(plan(quiet, quiet), [])
  assert.deepEqual(plan(quiet, load(2 * CPU, [{ vm: 'b1', runs: 9, cpuShare: 1 }])), [['a', 'b'], ['a', 'b']])
  const begun = load(0, [{ vm: 'a1', runs: 1, cpuShare: 0.9 }, ...['a2', 'a3', 'a4'].map(id => ({ vm: id, emptyMs: 9_000 }))])
  for (const start = now; now < start + 2_500; now += 200) assert.deepEqual(plan(begun, quiet), [])
  assert.deepEqual(plan(begun, quiet), [['a', 'off'], ['a', 'off'], ['a', 'off']])
})

test('VMs of a pool in which no work has been seen for a minute are powered off', () => {
  let now = 0
  const autoscaler = new PoolAutoscaler({ now: () => now })
  const vms = [vm('a1', 'a'), vm('a2', 'a')]
  const loads = new Map([['a', load(0, [{ vm: 'a1', emptyMs: 9_000 }, { vm: 'a2', emptyMs: 9_000 }])]])
  for (; now < 60_000; now += 1_000) assert.deepEqual(autoscaler.plan(services, vms, loads, new Set()), [])
  assert.equal(autoscaler.plan(services, vms, loads, new Set()).length, 1)
})
