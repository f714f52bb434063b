import assert from 'node:assert/strict'
import { test } from 'node:test'
import { WaveTracker } from '@wisteriaslip/jobs.fleet'
import type { Vm } from '@wisteriaslip/jobs.model'

function vm (id: string, state: Vm['state'] = 'up'): Vm {
  return { id, pool: 'a', state, zone: 'z', rack: 'r', labels: [], capacity: { cpu: 1, memMb: 1, accelerators: 0 }, worker: id }
}

const ids = ['v1', 'v2', 'v3', 'v4', 'v5', 'v6']

const idle = () => ({ runs: 0, lastingRuns: 0 })

function createTracker (cap: number): WaveTracker {
  return new WaveTracker({ number: 1, vms: ids, durationMs: 20_000, cap }, { now: 0, maintenanceMs: 2_000 })
}

test('no more VMs are chosen than may be down at once, VMs with the fewest runs first', () => {
  const wave = createTracker(2)
  const all = ids.map(id => vm(id))
  const load = (id: string) => ({ runs: id === 'v5' ? 0 : 3, lastingRuns: 0 })
  assert.equal(wave.chooseNext(all, { now: 0, load })[0], 'v5')
  assert.equal(wave.chooseNext(all, { now: 19_000, load }).length, 2)
  wave.markSent('v5', 0)
  assert.equal(wave.chooseNext(all, { now: 19_000, load }).length, 1)
})

test('a VM whose maintenance request has an unknown outcome counts as down, and the request is sent again later', () => {
  const wave = createTracker(1)
  const all = ids.map(id => vm(id))
  wave.markSent('v1', 0)
  wave.observe(all, 1_000)
  assert.deepEqual(wave.chooseNext(all, { now: 19_000, load: idle }), [])
  wave.observe(all, 3_000)
  assert.equal(wave.downCount(), 0)
})

test('a VM that the list shows as up right after its maintenance request still counts as down', () => {
  const wave = createTracker(1)
  wave.markAccepted('v1', 0)
  wave.observe(ids.map(id => vm(id)), 500)
  assert.equal(wave.downCount(), 1)
  wave.observe(ids.map(id => vm(id, id === 'v1' ? 'maintenance' : 'up')), 1_000)
  wave.observe(ids.map(id => vm(id)), 2_500)
  assert.equal(wave.downCount(), 0)
})

test('a wave is done when maintenance of every VM that still exists has started', () => {
  const wave = createTracker(6)
  for (const id of ids.slice(0, 4)) wave.markAccepted(id, 0)
  wave.markRefused('v5', 'wave', 0)
  assert.equal(wave.hasStartedEverywhere(ids.map(id => vm(id))), false)
  assert.equal(wave.hasStartedEverywhere(ids.slice(0, 5).map(id => vm(id))), true)
})

test('a new leader resumes the progress of the previous one and keeps the schedule of the whole wave', () => {
  const first = createTracker(2)
  const all = ids.map(id => vm(id))
  first.markSent('v1', 0)
  first.markAccepted('v1', 10)
  first.observe([vm('v1', 'maintenance'), ...all.slice(1)], 20)
  assert.deepEqual(first.begun(), ['v1'])
  const next = new WaveTracker({ number: 1, vms: ids, durationMs: 20_000, cap: 2 }, { now: 500, maintenanceMs: 2_000, begun: first.begun(), elapsedMs: 10_000 })
  assert.equal(next.downCount(), 1, 'VM v1 may still be down')
  assert.deepEqual(next.chooseNext(all, { now: 500, load: idle }), ['v2'])
  next.observe(all, 4_600)
  assert.equal(next.downCount(), 0)
  assert.equal(next.chooseNext(all, { now: 4_600, load: idle }).includes('v1'), false)
  assert.equal(next.chooseNext(all, { now: 4_600, load: idle }).length, 2)
})

test('VMs with long-running tasks are drained from the beginning, also while the limit is reached, the fewest tasks first', () => {
  const wave = createTracker(3)
  const all = ids.map(id => vm(id))
  const lastingRuns = new Map([['v2', 5], ['v4', 2]])
  const load = (id: string) => ({ runs: lastingRuns.get(id) ?? 0, lastingRuns: lastingRuns.get(id) ?? 0 })
  assert.deepEqual(wave.chooseNext(all, { now: 0, load }), ['v1', 'v3', 'v5', 'v4'])
  for (const id of ['v1', 'v3', 'v5']) wave.markSent(id, 0)
  assert.deepEqual(wave.chooseNext(all, { now: 200, load }), ['v4'])
  assert.equal(wave.downCount(), 3)
})
