import assert from 'node:assert/strict'
import { afterEach, beforeEach, test } from 'node:test'
import type { StartCommand, WorkerChannel } from '@wisteriaslip/jobs.model'
import { VirtualProcess } from '@wisteriaslip/testing.jobs'
import { EntryLink, VirtualFleet, VirtualStore, type VirtualVm } from '@wisteriaslip/testing.simulation'

const { signal } = new AbortController()
const command: StartCommand = { task: 'j.0.0.0', attempt: 1, payload: '', leaseUntilMs: 60_000, checkpoint: '', permit: '' }
const BACK_MS = 300
/** No call is under way for longer, unless it is late. */
const PASSED_MS = 20
/** The latest time at which a late order is carried out. */
const ALL_LATE_MS = 12_100
let drawn: (below: number) => number
let process: VirtualProcess
let fleet: VirtualFleet
let link: EntryLink
let vm: VirtualVm

beforeEach(() => {
  process = new VirtualProcess()
  process.install()
  drawn = () => 0
  const draw = (below: number): number => drawn(below)
  fleet = new VirtualFleet(process, { pools: [{ name: 'work', vms: 1 }], store: new VirtualStore(process, draw), draw, demandOf: () => ({ cpu: 1_000, runMs: Infinity }) })
  link = new EntryLink('a', callback => process.deliver(callback))
  vm = fleet.find('vm0')
})

afterEach(() => process.uninstall())

/** @returns what a call resolves to until a time, undefined if it has not by then */
async function within<T> (ms: number, call: Promise<T>): Promise<T | undefined> {
  let result: T | undefined
  call.then(value => { result = value }, assert.ifError)
  await process.run(process.now() + ms)
  return result
}

function connect (): WorkerChannel {
  return fleet.workerClient(link).connect({ id: vm.incarnation?.registration.id ?? '', host: vm.vm, port: 1, token: 1 })
}

/** @returns a channel on which the worker has responded */
async function opened (): Promise<WorkerChannel> {
  const channel = connect()
  const response = await within(PASSED_MS, channel.poll({ seenSeq: 0, waitMs: 0 }, signal))
  assert.equal(response?.ok, true)
  return channel
}

/** Lets the worker die, and come back under its id. */
function restart ({ refuses }: { refuses: boolean }): void {
  drawn = () => refuses ? 0 : 1
  fleet.crash(vm, { backMs: BACK_MS, sameId: true, listedAs: 'up' })
  assert.equal(vm.refusesConnections, refuses)
  drawn = () => 0
}

// Idle channels stayed open until their next use, so that a leader learned of a restart later than sockets show it.
test('when a process dies on a machine that refuses connections, all channels that it has accepted end, also idle ones', async () => {
  const idle = await opened()
  const polling = await opened()
  const other = connect()
  const poll = within(PASSED_MS, polling.poll({ seenSeq: 0, waitMs: 2_000 }, signal))
  await process.run(process.now() + PASSED_MS)
  restart({ refuses: true })
  assert.equal(idle.ended.aborted, false)
  await process.run(process.now() + PASSED_MS)
  assert.deepEqual([idle, polling, other].map(({ ended }) => ended.aborted), [true, true, false])
  await poll
})

test('a poll that waits at a process that dies gets a reset', async () => {
  const channel = await opened()
  const response = within(PASSED_MS * 2, channel.poll({ seenSeq: 0, waitMs: 2_000 }, signal))
  process.outsideAfter(PASSED_MS, () => restart({ refuses: true }))
  assert.deepEqual(await response, { ok: false, error: { kind: 'unknown', message: 'read ECONNRESET' } })
})

test('of a process that dies nothing is heard over a link that is cut, nor from a machine that is dark', async () => {
  const channels = [await opened()]
  link.vmCuts.set(vm.vm, 'silent')
  restart({ refuses: true })
  await process.run(process.now() + BACK_MS)
  link.vmCuts.clear()
  channels.push(await opened())
  fleet.setDark(vm, true)
  restart({ refuses: true })
  await process.run(process.now() + BACK_MS)
  assert.deepEqual(channels.map(({ ended }) => ended.aborted), [false, false])
})

test('a channel to a machine without power ends at its next use, which does not reach the next incarnation', async () => {
  const channel = await opened()
  restart({ refuses: false })
  await process.run(process.now() + BACK_MS + PASSED_MS)
  assert.equal(channel.ended.aborted, false)
  const response = await within(PASSED_MS, channel.start(command, signal))
  assert.deepEqual(response, { ok: false, error: { kind: 'unknown', message: 'read ECONNRESET' } })
  assert.deepEqual([channel.ended.aborted, vm.incarnation?.runs.size], [true, 0])
  assert.deepEqual(await within(PASSED_MS, channel.start(command, signal)), { ok: false, error: { kind: 'refused', reason: 'not-sent' } })
  assert.equal((await within(PASSED_MS, (await opened()).start(command, signal)))?.ok, true)
})

for (const { name, restarts, runs } of [
  { name: 'is carried out by the incarnation that has accepted the connection', restarts: false, runs: 1 },
  { name: 'is not carried out by the next incarnation', restarts: true, runs: 0 }
]) {
  for (const isFirst of [true, false]) {
    test(`an order that is carried out late ${name}${isFirst ? ', as the first call of a channel, too' : ''}`, async () => {
      const channel = isFirst ? connect() : await opened()
      fleet.workerCalls.faultyOrdersPercent = 100
      assert.equal(await within(PASSED_MS, channel.start(command, signal)), undefined)
      fleet.workerCalls.faultyOrdersPercent = 0
      if (restarts) restart({ refuses: false })
      await process.run(process.now() + ALL_LATE_MS)
      assert.equal(vm.incarnation?.runs.size, runs)
    })
  }
}

test('a call that is late does not reach an incarnation that begins after the connection was accepted', async () => {
  link.maxLatenessMs = BACK_MS * 2
  drawn = below => below - 1
  const call = within(BACK_MS * 4, connect().start(command, signal))
  process.outsideAfter(PASSED_MS, () => restart({ refuses: false }))
  const response = await call
  assert.deepEqual([response?.ok, vm.incarnation?.runs.size], [false, 0])
})
