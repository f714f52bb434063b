import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err, ok } from '@wisteriaslip/core.result'
import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { JobConfig, StoreLayout } from '@wisteriaslip/jobs.model'
import type { PeerState } from '@wisteriaslip/jobs.protocol'
import { StoreKeys, Members, type Member } from '@wisteriaslip/peers.membership'
import { RelayDriver, type RelayRequest } from '@wisteriaslip/peers.protocol'
import { StoreClient } from '@wisteriaslip/store.client'
import { Mirror } from '@wisteriaslip/store.mirror'
import { ManualClock, MemoryDriver } from '@wisteriaslip/testing.stand-ins'
import { PeerSync, type PeerSyncOpts } from '../src/peer-sync.ts'
import { SiteView } from '../src/site-view.ts'

const storeLayout = { operatorPrefix: 'op/', workerPrefix: 'workers/' } as unknown as StoreLayout

function config (version: number): JobConfig {
  return { version, queues: [], services: [], maxBodyBytes: 1 }
}

/** Creates a peer sync with one peer, whose configuration has version 7. */
function createPeerSync (opts: { ownVersion: number | undefined, hasStoreAccess: boolean, relay?: (call: RelayRequest) => Promise<unknown> }) {
  const clock = new ManualClock()
  const keys = new StoreKeys('w')
  const self: Member = { id: 'a', incarnation: 'ia', region: 'r', zone: 'z', peerAddress: { host: 'h', port: 1 } }
  const peer: Member = { ...self, id: 'b', incarnation: 'ib' }
  const mirror = new Mirror()
  const members = new Members(self, mirror, keys)
  members.peers = () => [peer]
  const site = new SiteView(storeLayout, silentLogger)
  if (opts.ownVersion !== undefined) site.applyConfigIfNewer(config(opts.ownVersion))
  const requestedVersions: Array<number | undefined> = []
  const call = async (_address: unknown, method: string, req: { configVersion?: number }) => {
    if (method === 'relay') return await opts.relay?.(req as unknown as RelayRequest)
    requestedVersions.push(req.configVersion)
    const state: PeerState = { incarnation: 'ib', storeAvailable: true, configVersion: 7, ...(req.configVersion !== undefined && req.configVersion < 7 ? { config: config(7) } : {}) }
    return ok(state)
  }
  const peerSync = new PeerSync({ members, mirror, site, clients: { call } as unknown as PeerSyncOpts['clients'], clock, hasStoreAccess: () => opts.hasStoreAccess })
  return { clock, peerSync, site, requestedVersions }
}

async function runRound (peerSync: PeerSync): Promise<void> {
  await peerSync.syncWithPeers([...peerSync.nextPeers()], new AbortController().signal)
}

test('an entry with store access first waits for the store to deliver a newer configuration', async () => {
  const { clock, peerSync, site, requestedVersions } = createPeerSync({ ownVersion: 6, hasStoreAccess: true })
  await runRound(peerSync)
  clock.advance(300)
  await runRound(peerSync)
  assert.deepEqual(requestedVersions, [undefined, undefined])
  assert.equal(site.config()?.version, 6)
})

test('an entry whose watch delivers nothing gets the configuration from a peer', async () => {
  const { clock, peerSync, site, requestedVersions } = createPeerSync({ ownVersion: 6, hasStoreAccess: true })
  await runRound(peerSync)
  clock.advance(700)
  await runRound(peerSync)
  assert.deepEqual(requestedVersions, [undefined, 6])
  assert.equal(site.config()?.version, 7)
  await runRound(peerSync)
  assert.deepEqual(requestedVersions, [undefined, 6, undefined])
})

for (const opts of [{ ownVersion: 6, hasStoreAccess: false }, { ownVersion: undefined, hasStoreAccess: true }]) {
  test(`an entry (${JSON.stringify(opts)}) requests the configuration from a peer at once`, async () => {
    const { peerSync, site } = createPeerSync(opts)
    await runRound(peerSync)
    assert.equal(site.config()?.version, 7)
  })
}

/** A store client that has lost its connection to the store, and whose peer carries out its writes without a reply. */
async function createRelayedStore (): Promise<{ store: StoreClient, direct: MemoryDriver }> {
  const direct = new MemoryDriver()
  const relay = async (call: RelayRequest) => {
    if (call.op === 'txn') await direct.txn(call.txn)
    return err({ kind: 'peer-unreachable', code: 'PEER_UNREACHABLE', message: 'no reply' })
  }
  const { clock, peerSync } = createPeerSync({ ownVersion: 7, hasStoreAccess: false, relay })
  await runRound(peerSync)
  const driver = new RelayDriver(direct, async (call, signal) => await peerSync.relay(call, signal))
  direct.faults.push('lose-call', 'lose-call')
  for (let failed = 0; failed < 2; failed++) await driver.txn({ guards: [], puts: [], deletes: [] }, new AbortController().signal)
  return { store: new StoreClient(driver, { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics(), clock }), direct }
}

// A write that the peer had carried out was repeated without the client's knowledge, which took it for a conflict.
test('a write that a peer carried out without a reply is recognised as written', async () => {
  const { store } = await createRelayedStore()
  const written = await store.update([{ key: 'a', prior: undefined, value: 1 }])
  assert.ok(written.ok, written.ok ? '' : written.error.code)
})

// The entry answered that the job was not accepted, and the job ran.
test('a write that a peer may have carried out is not reported as refused', async () => {
  const { store, direct } = await createRelayedStore()
  let calls = 0
  const txn = direct.txn.bind(direct)
  direct.txn = async call => ++calls === 1 ? await txn(call) : err({ kind: 'refused', code: 'overloaded', message: 'status 503' })
  const written = await store.update([{ key: 'a', prior: undefined, value: 1 }])
  assert.deepEqual(!written.ok && written.error.kind === 'unavailable' && written.error.maybeApplied, true)
})
