import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ok } from '@wisteriaslip/core.result'
import { silentLogger } from '@wisteriaslip/core.logger'
import type { JobConfig, StoreLayout } from '@wisteriaslip/jobs.model'
import type { PeerState } from '@wisteriaslip/jobs.protocol'
import { StoreKeys, Members, type Member } from '@wisteriaslip/peers.membership'
import { Mirror } from '@wisteriaslip/store.mirror'
import { ManualClock } from '@wisteriaslip/testing.stand-ins'
import { PeerSync, type PeerSyncOpts } from '../src/peer-sync.ts'
import { SiteView } from '../src/site-view.ts'

const storeLayout = { operatorPrefix: 'op/', workerPrefix: 'workers/' } as unknown as StoreLayout

function config (version: number): JobConfig {
  return { version, queues: [], services: [], maxBodyBytes: 1 }
}

/** Creates a peer sync with one peer, whose configuration has version 7. */
function createPeerSync (opts: { ownVersion: number | undefined, hasStoreAccess: boolean }) {
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
  const call = async (_address: unknown, _method: string, req: { configVersion?: number }) => {
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
