import assert from 'node:assert/strict'
import { afterEach, beforeEach, test } from 'node:test'
import { VirtualProcess } from '@wisteriaslip/testing.jobs'
import { Disturbances, EntryLink, LeaderLog, RunGaps, VirtualFleet, VirtualStore, type WatchedJob } from '@wisteriaslip/testing.simulation'

const { signal } = new AbortController()
const lowest = (): number => 0
const LEADER_KEY = 'site/leaders/service/work'
const TASK = 'j.0.0.0'
let process: VirtualProcess
let store: VirtualStore
let fleet: VirtualFleet
let leaders: LeaderLog
let gaps: RunGaps
let job: WatchedJob
let upSince: number

beforeEach(() => {
  process = new VirtualProcess()
  process.install()
  store = new VirtualStore(process, lowest)
  fleet = new VirtualFleet(process, { pools: [{ name: 'work', vms: 1 }], store, draw: lowest, demandOf: () => ({ cpu: 3_000, runMs: Infinity }) })
  leaders = new LeaderLog(store)
  upSince = 0
  job = { id: 'j', service: 'work', tasks: 1, cpu: 3_000, memMb: 100, perWorker: 0, lasting: true, acceptedAt: 0 }
  gaps = new RunGaps(process, {
    jobs: () => [job],
    history: fleet.history,
    leaders,
    disturbances: new Disturbances(() => process.now()),
    usableWorkers: () => fleet.soundWorkers(),
    isStoreUp: () => store.faults.down === undefined,
    isAnyEntryUp: () => true,
    canAct: (_entry, since) => upSince <= since
  })
  gaps.start()
  lead('a')
})

afterEach(() => process.uninstall())

function lead (entry: string): void {
  store.delete(LEADER_KEY)
  leaders.sample(process.now())
  store.put(LEADER_KEY, JSON.stringify({ value: { id: entry } }))
  leaders.sample(process.now())
}

async function start (task: string): Promise<void> {
  const vm = fleet.find('vm0')
  const client = fleet.workerClient(new EntryLink('a', callback => process.deliver(callback)))
  const endpoint = { id: vm.incarnation?.registration.id ?? '', host: 'vm0', port: 1, token: 1 }
  client.connect(endpoint).start({ task, attempt: 1 + process.now(), payload: '', leaseUntilMs: process.now() + 60_000, checkpoint: '', permit: '' }, signal).catch(assert.ifError)
  await process.run(process.now() + 100)
}

test('a gap lasts from the acceptance to the first run', async () => {
  job = { ...job, acceptedAt: 200 }
  await process.run(2_000)
  await start(TASK)
  await process.run(5_000)
  assert.deepEqual(gaps.all().map(({ from, to }) => [from, Math.round(to / 100)]), [[200, 20]])
})

test('a gap lasts from the end of a run to the next one, and both count', async () => {
  await process.run(300)
  await start(TASK)
  await process.run(2_050)
  fleet.failRun(fleet.find('vm0'))
  await process.run(4_000)
  await start(TASK)
  await process.run(4_500)
  assert.equal(gaps.all().length, 2)
  assert.equal(gaps.all()[1]?.from, 2_050)
  assert.ok((gaps.all()[1]?.to ?? 0) <= 4_100)
})

test('a gap counts while it lasts', async () => {
  await process.run(3_000)
  assert.deepEqual(gaps.all().map(({ from, to, roomMs, ledMs }) => [from, to, roomMs, ledMs]), [[0, 3_000, 3_000, 3_000]])
})

test('time without room for two runs, or without the store, is no time with room', async () => {
  await process.run(1_000)
  await start('other.0.0.0')
  await process.run(3_000)
  assert.ok((gaps.all()[0]?.roomMs ?? 0) <= 1_000)
  fleet.failRun(fleet.find('vm0'))
  store.setDown('silent')
  await process.run(6_000)
  assert.ok((gaps.all()[0]?.roomMs ?? 0) <= 1_000)
  assert.equal(gaps.all()[0]?.outages, 1)
})

test('time in which the leader cannot act is not led', async () => {
  await process.run(1_000)
  upSince = Infinity
  await process.run(3_000)
  assert.equal(gaps.all()[0]?.ledMs, 1_000)
  assert.equal(gaps.all()[0]?.roomMs, 3_000)
})

// The process that had led was up again under its name before its lease had expired, and counted as a leader at work.
test('a leader whose process has begun after its term is not at work', async () => {
  await process.run(1_000)
  upSince = 900
  await process.run(3_000)
  assert.equal(gaps.all()[0]?.ledMs, 1_000)
})

test('changes of leader within a gap count, earlier ones do not', async () => {
  await start(TASK)
  lead('b')
  await process.run(1_000)
  fleet.failRun(fleet.find('vm0'))
  await process.run(2_000)
  lead('c')
  lead('d')
  await process.run(3_000)
  assert.equal(gaps.all().at(-1)?.changes, 2)
})

test('a task of a cancelled job has no gap', async () => {
  job = { ...job, cancelledAt: 1_000 }
  await process.run(3_000)
  assert.deepEqual(gaps.all(), [])
})
