import assert from 'node:assert/strict'
import { afterEach, beforeEach, test } from 'node:test'
import type { FleetClient } from '@wisteriaslip/jobs.model'
import { VirtualProcess } from '@wisteriaslip/testing.jobs'
import { EntryLink, VirtualFleet, VirtualStore, simulatedLayout, type VirtualVm } from '@wisteriaslip/testing.simulation'

const { signal } = new AbortController()
const lowest = (): number => 0
let process: VirtualProcess
let store: VirtualStore
let fleet: VirtualFleet
let link: EntryLink
let platform: FleetClient

beforeEach(() => {
  process = new VirtualProcess()
  process.install()
  store = new VirtualStore(process, lowest)
  fleet = new VirtualFleet(process, { pools: [{ name: 'work', vms: 2 }, { name: 'index', vms: 1 }, { name: 'reserve', vms: 1, standby: true }], store, draw: lowest, demandOf: () => ({ cpu: 1_000, runMs: Infinity }) })
  link = new EntryLink('a', callback => process.deliver(callback))
  platform = fleet.fleetClient(link)
})

afterEach(() => process.uninstall())

/** @returns what a call resolves to until a time, undefined if it has not by then */
async function until<T> (ms: number, call: Promise<T>): Promise<T | undefined> {
  let result: T | undefined
  call.then(value => { result = value }, assert.ifError)
  await process.run(process.now() + ms)
  return result
}

async function start (vm: VirtualVm, token = 1) {
  const endpoint = { id: vm.incarnation?.registration.id ?? '', host: vm.vm, port: 1, token }
  return await until(100, fleet.workerClient(link).connect(endpoint).start({ task: 'j.0.0.0', attempt: 1, payload: '', leaseUntilMs: 5_000, checkpoint: '', permit: '' }, signal))
}

function registered (): string[] {
  return store.list(simulatedLayout.workerPrefix).flatMap(({ key, value }) => simulatedLayout.decodeWorker(key, value) ?? []).map(({ vm, service }) => `${vm} ${service}`)
}

test('workers keep their registrations, and a crashed one loses its', async () => {
  await process.run(10_000)
  assert.deepEqual(registered(), ['vm0 work', 'vm1 work', 'vm2 index'])
  fleet.crash(fleet.find('vm1'), {})
  assert.equal(fleet.isSettled(), false)
  await process.run(15_000)
  assert.deepEqual(registered(), ['vm0 work', 'vm2 index'])
  assert.equal(fleet.isSettled(), true)
})

test('a move ends what runs on the VM and brings a worker to the other pool', async () => {
  await start(fleet.find('vm0'))
  const moved = await until(100, platform.moveVm({ vm: 'vm0', pool: 'index', token: 1 }, signal))
  assert.equal(moved?.ok, true)
  assert.equal(fleet.find('vm0').state, 'moving')
  await process.run(process.now() + 2_000)
  assert.deepEqual(registered(), ['vm1 work', 'vm2 index', 'vm0 index'])
  assert.equal(fleet.find('vm0').incarnation?.runs.size, 0)
})

test('a VM that is moved from the standby pool gets a worker', async () => {
  await until(100, platform.moveVm({ vm: 'vm3', pool: 'work', token: 1 }, signal))
  await process.run(process.now() + 2_000)
  assert.ok(registered().includes('vm3 work'))
})

test('a maintenance is begun once, and only for its wave', async () => {
  fleet.declareWave({ number: 1, vms: ['vm0'], durationMs: 10_000, cap: 1 })
  const other = await until(100, platform.startMaintenance({ vm: 'vm1', wave: 1, token: 1 }, signal))
  const first = await until(100, platform.startMaintenance({ vm: 'vm0', wave: 1, token: 1 }, signal))
  await process.run(process.now() + 3_000)
  const worker = fleet.find('vm0').incarnation
  const second = await until(100, platform.startMaintenance({ vm: 'vm0', wave: 1, token: 1 }, signal))
  assert.deepEqual([other?.ok, first?.ok, second?.ok], [false, true, true])
  assert.equal(fleet.find('vm0').incarnation, worker)
})

test('a VM of two waves that is maintained for the one takes no place of the other', async () => {
  for (const number of [1, 2]) fleet.declareWave({ number, vms: ['vm0', 'vm1'], durationMs: 10_000, cap: 1 })
  await until(3_000, platform.startMaintenance({ vm: 'vm0', wave: 1, token: 1 }, signal))
  await until(100, platform.startMaintenance({ vm: 'vm0', wave: 2, token: 1 }, signal))
  await until(100, platform.startMaintenance({ vm: 'vm1', wave: 1, token: 1 }, signal))
  assert.deepEqual(fleet.violations, [])
})

test('an order under an earlier token is refused, and reported if it was sent after the later one', async () => {
  await until(100, platform.moveVm({ vm: 'vm0', pool: 'work', token: 2 }, signal))
  const refused = await until(100, fleet.fleetClient(new EntryLink('b', callback => process.deliver(callback))).moveVm({ vm: 'vm0', pool: 'index', token: 1 }, signal))
  assert.deepEqual(refused, { ok: false, error: { kind: 'refused', reason: 'fence' } })
  assert.equal(fleet.violations.length, 1)
})

test('a list that lags shows a VM that is gone', async () => {
  await process.run(1_000)
  fleet.vmOrders.faults.listLagMs = 500
  fleet.crash(fleet.find('vm0'), { listedAs: 'absent' })
  const list = await until(100, platform.listVms(signal))
  assert.deepEqual(list?.ok && list.value.vms.map(({ id }) => id), ['vm0', 'vm1', 'vm2', 'vm3'])
  await process.run(2_000)
  const later = await until(100, platform.listVms(signal))
  assert.deepEqual(later?.ok && later.value.vms.map(({ id }) => id), ['vm1', 'vm2', 'vm3'])
})

test('a VM that is lost for good is not listed for long', async () => {
  fleet.crash(fleet.find('vm0'), { listedAs: 'up' })
  await process.run(5_000)
  assert.deepEqual(fleet.listAt(5_000).vms.map(({ id }) => id), ['vm1', 'vm2', 'vm3'])
})

test('a hanging worker carries out afterwards what has arrived', async () => {
  const vm = fleet.find('vm0')
  fleet.setHanging(vm, true)
  assert.equal(await start(vm), undefined)
  assert.equal(vm.incarnation?.runs.size, 0)
  fleet.setHanging(vm, false)
  assert.equal(vm.incarnation?.runs.size, 1)
})

test('a mute worker carries out orders without an answer', async () => {
  const vm = fleet.find('vm0')
  vm.mute = true
  assert.equal(await start(vm), undefined)
  assert.equal(vm.incarnation?.runs.size, 1)
})

test('an order of a killed process has no effect, one that was under way has', async () => {
  const vm = fleet.find('vm0')
  const sent = start(vm)
  link.alive = false
  await sent
  assert.equal(vm.incarnation?.runs.size, 1)
  await start(fleet.find('vm1'))
  assert.equal(fleet.find('vm1').incarnation?.runs.size, 0)
})

test('a VM is reclaimed after a notice', async () => {
  fleet.reclaim(fleet.find('vm0'), { noticeMs: 4_500 })
  await process.run(1_000)
  assert.deepEqual(fleet.soundWorkers().map(({ registration }) => registration.vm), ['vm1', 'vm2'])
  assert.equal(fleet.find('vm0').incarnation?.alive, true)
  await process.run(6_000)
  assert.equal(fleet.find('vm0').gone, true)
  assert.equal(fleet.isSettled(), true)
})
