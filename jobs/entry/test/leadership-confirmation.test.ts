import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err, ok } from '@wisteriaslip/core.result'
import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { StoreLayout } from '@wisteriaslip/jobs.model'
import type { PeerState } from '@wisteriaslip/jobs.protocol'
import { Leadership, Members, StoreKeys, type EntryLease, type Member } from '@wisteriaslip/peers.membership'
import { StoreClient } from '@wisteriaslip/store.client'
import { Mirror } from '@wisteriaslip/store.mirror'
import { ManualClock, MemoryDriver } from '@wisteriaslip/testing.stand-ins'
import { LeadershipConfirmation } from '../src/leadership-confirmation.ts'
import { PeerSync, type PeerSyncOpts } from '../src/peer-sync.ts'
import { SiteView } from '../src/site-view.ts'

const RESOURCE = 'service/s'
const OUTAGE_MS = 5_000

function member (id: string): Member {
  return { id, incarnation: `${id}-1`, region: 'r', zone: 'z', peerAddress: { host: id, port: 1 } }
}

/** Entry `e1` of five, which leads the resource under its first lease; the store then no longer responds to it. */
async function createLeader (opts: { reachablePeers: readonly string[], stoppedPeers?: readonly string[] }) {
  const clock = new ManualClock()
  const keys = new StoreKeys('x')
  const mirror = new Mirror()
  const store = new StoreClient(new MemoryDriver(), { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics(), clock })
  const members = new Members(member('e1'), mirror, keys)
  const renewed = { leaseId: '1', at: clock.now() }
  const lease = { confirmation: () => renewed, validLeaseId: () => renewed.leaseId } as unknown as EntryLease
  const leadership = new Leadership({ store, mirror, members, lease, keys, clock, logger: silentLogger })
  const refresh = async (): Promise<void> => {
    const all = await store.list(keys.watched)
    assert.ok(all.ok)
    mirror.replaceAll(all.value.revision, all.value.docs)
  }
  for (const id of ['e2', 'e3', 'e4', 'e5']) await store.update([{ key: keys.members + id, prior: undefined, value: member(id) }])
  assert.ok((await members.register(store, '1')).ok)
  const token = await store.update([{ key: keys.leaders + RESOURCE, prior: undefined, value: { id: 'e1', incarnation: 'e1-1' } }])
  assert.ok(token.ok)
  await refresh()
  const state: PeerState = { incarnation: '', storeAvailable: false, configVersion: 0 }
  const call = async ({ host }: { host: string }) => opts.reachablePeers.includes(host) ? ok(state) : err({ kind: 'peer-unreachable', code: 'PEER_UNREACHABLE', message: 'no reply', refused: opts.stoppedPeers?.includes(host) === true })
  const site = new SiteView({ operatorPrefix: 'op/', workerPrefix: 'workers/' } as unknown as StoreLayout, silentLogger)
  const peerSync = new PeerSync({ members, mirror, site, clients: { call } as unknown as PeerSyncOpts['clients'], clock, hasStoreAccess: () => false })
  const confirmation = new LeadershipConfirmation({ lease, leadership, peerSync, isLeader: () => true, clock })
  return {
    clock,
    renewed,
    members,
    store,
    refresh,
    keys,
    sync: async () => await peerSync.syncWithPeers(peerSync.membersThatMayRun(), new AbortController().signal),
    confirmedAt: () => confirmation.confirmedAt(RESOURCE, token.value)
  }
}

// A leader that was cut off from the store and its peers went on for as long as nobody told it of its successor, or with some of
// its peers, while the successor was among the others.
for (const reachablePeers of [[], ['e2'], ['e2', 'e3', 'e4']]) {
  test(`a leader that reaches neither the store nor all members is not confirmed (${reachablePeers.length} of 4)`, async () => {
    const { clock, sync, confirmedAt } = await createLeader({ reachablePeers })
    clock.advance(OUTAGE_MS)
    await sync()
    assert.equal(confirmedAt(), 0)
  })
}

// Guards against a store that nobody reaches ending the leases of all workers.
test('a leader is confirmed by all members that run while the store is away', async () => {
  const { clock, sync, confirmedAt } = await createLeader({ reachablePeers: ['e2', 'e3', 'e4'], stoppedPeers: ['e5'] })
  clock.advance(OUTAGE_MS)
  await sync()
  assert.equal(confirmedAt(), OUTAGE_MS)
})

// Guards against the renewals of a new lease confirming a leadership that has ended with the lease before.
test('a leadership is not confirmed by a lease that was granted after it, nor by peers', async () => {
  const { clock, renewed, members, store, sync, confirmedAt } = await createLeader({ reachablePeers: ['e2', 'e3', 'e4', 'e5'] })
  clock.advance(OUTAGE_MS)
  Object.assign(renewed, { leaseId: '2', at: clock.now() })
  assert.equal(confirmedAt(), Number.NEGATIVE_INFINITY, 'not registered under the new lease')
  assert.ok((await members.register(store, '2')).ok)
  await sync()
  assert.equal(confirmedAt(), Number.NEGATIVE_INFINITY, 'registered under it, after the leadership was acquired')
})

// The successor was a member whose record had been removed before the leader was cut off: the leader asked all others only.
test('a leader is not confirmed without a member whose record was removed before, until that member refuses', async () => {
  for (const stoppedPeers of [[], ['e5']]) {
    const { clock, keys, store, refresh, sync, confirmedAt } = await createLeader({ reachablePeers: ['e2', 'e3', 'e4'], stoppedPeers })
    await sync()
    const record = await store.get(keys.members + 'e5')
    assert.ok(record.ok && record.value !== undefined)
    await store.update([{ key: record.value.key, prior: record.value, value: undefined }])
    await refresh()
    clock.advance(OUTAGE_MS)
    await sync()
    assert.equal(confirmedAt(), stoppedPeers.length === 0 ? 0 : OUTAGE_MS)
  }
})
