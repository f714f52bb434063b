import assert from 'node:assert/strict'
import { afterEach, beforeEach, test } from 'node:test'
import { VirtualProcess } from '@wisteriaslip/testing.jobs'
import { EntryLink, LeaderLog, LostWatch, VirtualFleet, VirtualStore, type WatchedJob } from '@wisteriaslip/testing.simulation'

const { signal } = new AbortController()
const lowest = (): number => 0
const JOB: WatchedJob = { id: 'j', service: 'work', tasks: 1, cpu: 3_000, memMb: 100, perWorker: 0, lasting: true, acceptedAt: 0 }
let process: VirtualProcess
let fleet: VirtualFleet
let watch: LostWatch
let jobs: WatchedJob[]

beforeEach(() => {
  process = new VirtualProcess()
  process.install()
  const store = new VirtualStore(process, lowest)
  fleet = new VirtualFleet(process, { pools: [{ name: 'work', vms: 1 }], store, draw: lowest, demandOf: () => ({ cpu: 3_000, runMs: Infinity }) })
  jobs = [{ ...JOB }]
  watch = new LostWatch(process, { fleet, leaders: new LeaderLog(store), jobs: () => jobs })
  watch.start()
})

afterEach(() => process.uninstall())

async function start (task: string): Promise<void> {
  const vm = fleet.find('vm0')
  const client = fleet.workerClient(new EntryLink('a', callback => process.deliver(callback)))
  const endpoint = { id: vm.incarnation?.registration.id ?? '', host: 'vm0', port: 1, token: 1 }
  client.connect(endpoint).start({ task, attempt: 1, payload: '', leaseUntilMs: process.now() + 4_000, checkpoint: '', permit: '' }, signal).catch(assert.ifError)
  await process.run(process.now() + 100)
}

test('a task that has never run is lost after three calm seconds with room', async () => {
  await process.run(3_000)
  assert.equal(watch.lost.length, 0)
  await process.run(3_500)
  assert.deepEqual(watch.lost.map(({ task }) => task), ['j.0.0.0'])
})

test('a task may wait for six seconds after its last run', async () => {
  await start('j.0.0.0')
  fleet.failRun(fleet.find('vm0'))
  await process.run(9_000)
  assert.equal(watch.lost.length, 0)
  await process.run(9_500)
  assert.equal(watch.lost.length, 1)
  assert.equal(watch.lost[0]?.runs.length, 1)
})

test('no task is lost within a disturbance, or less than seven seconds after it', async () => {
  const end = watch.disturbances.begin('cut')
  await process.run(10_000)
  end()
  await process.run(16_900)
  assert.equal(watch.lost.length, 0)
  await process.run(17_500)
  assert.equal(watch.lost.length, 1)
})

test('no task is lost without room for two runs', async () => {
  await start('other.0.0.0')
  await process.run(4_000)
  assert.equal(watch.lost.length, 0)
})

test('a worker that drains has no room', async () => {
  fleet.reclaim(fleet.find('vm0'), { noticeMs: 60_000 })
  await process.run(20_000)
  assert.equal(watch.lost.length, 0)
})

test('a registration that is missing is a disturbance', async () => {
  fleet.crash(fleet.find('vm0'), { backMs: 500 })
  await process.run(3_000)
  assert.equal(watch.disturbances.calmMs(), 0)
  await process.run(9_000)
  assert.ok(watch.disturbances.calmMs() > 3_000)
})

test('a task of a cancelled job is not lost', async () => {
  jobs = [{ ...JOB, cancelledAt: 1_000 }]
  await process.run(10_000)
  assert.equal(watch.lost.length, 0)
})

test('the longest wait is known although it is allowed', async () => {
  await process.run(2_000)
  await start('j.0.0.0')
  await process.run(5_000)
  assert.equal(watch.lost.length, 0)
  assert.ok(watch.longestWaitMs > 1_500, `${watch.longestWaitMs}`)
})
