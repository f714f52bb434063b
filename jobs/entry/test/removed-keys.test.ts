import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ok } from '@wisteriaslip/core.result'
import { recordingLogger, silentLogger } from '@wisteriaslip/core.logger'
import { digestOfKey } from '@wisteriaslip/jobs.accounts'
import { SiteView } from '@wisteriaslip/jobs.entry'
import { jobStoreLayout } from '@wisteriaslip/jobs.http'
import type { JobConfig } from '@wisteriaslip/jobs.model'
import type { PeerState } from '@wisteriaslip/jobs.protocol'
import { Members, StoreKeys, type Member } from '@wisteriaslip/peers.membership'
import type { KeyRange } from '@wisteriaslip/store.client'
import { Mirror } from '@wisteriaslip/store.mirror'
import { ManualClock, MemoryDriver } from '@wisteriaslip/testing.stand-ins'
import { EntryPeerService, type EntryPeerServiceOpts } from '../src/peer-service.ts'
import { PeerSync, type PeerSyncOpts } from '../src/peer-sync.ts'

const layout = jobStoreLayout('w')
const self: Member = { id: 'a', incarnation: 'ia', region: 'r', zone: 'z', peerAddress: { host: 'h', port: 1 } }

const configText = (version: number, ...keys: string[]): string => JSON.stringify({ version, services: [{ name: 's' }], queues: [{ name: 'q', service: 's' }], ...(keys.length === 0 ? {} : { accounts: [{ name: 'a', keySha256: keys.map(digestOfKey) }] }) })
const decode = (text: string): JobConfig => layout.decodeConfig(text) as JobConfig
const isKnown = (site: SiteView, key: string): boolean => site.accounts()?.authenticate(`Bearer ${key}`).kind === 'account'

function deliverFromStore (site: SiteView, text: string, revision: number): void {
  site.operatorKeys.applySnapshot({ revision, count: 1, kvs: [{ key: layout.configKey, value: text, createRevision: 1, modRevision: revision }] })
}

/** An entry without the store, whose only peer holds a configuration. */
async function syncWithPeer (site: SiteView, held: JobConfig): Promise<void> {
  const members = new Members(self, new Mirror(), new StoreKeys('w'))
  members.peers = () => [{ ...self, id: 'b', incarnation: 'ib' }]
  const state: PeerState = { incarnation: 'ib', storeAvailable: false, configVersion: held.version, config: held }
  const peerSync = new PeerSync({ members, mirror: new Mirror(), site, clients: { call: async () => ok(state) } as unknown as PeerSyncOpts['clients'], clock: new ManualClock(), hasStoreAccess: () => false })
  await peerSync.syncWithPeers(peerSync.nextPeers(), new AbortController().signal)
}

// The entry had version 8, without the key, and took 7 from a peer that had lost the store before.
test('a restarted entry does not accept a removed key from the configuration that a peer still holds', async () => {
  const logged: string[] = []
  const site = new SiteView(layout, recordingLogger(logged))
  await syncWithPeer(site, decode(configText(7, 'kept', 'removed')))
  await syncWithPeer(site, decode(configText(7, 'kept', 'removed')))
  assert.equal(site.config(), undefined)
  assert.equal(logged.length, 1)
  deliverFromStore(site, configText(8, 'kept'), 5)
  await syncWithPeer(site, decode(configText(7, 'kept', 'removed')))
  assert.deepEqual(['kept', 'removed'].map(key => isKnown(site, key)), [true, false])
})

test('an entry that has a configuration takes newer ones from a peer, also while the store is away', async () => {
  const site = new SiteView(layout, silentLogger)
  deliverFromStore(site, configText(7, 'kept', 'removed'), 5)
  await syncWithPeer(site, decode(configText(9, 'kept', 'added')))
  assert.deepEqual(['kept', 'removed', 'added'].map(key => isKnown(site, key)), [true, false, true])
  deliverFromStore(site, configText(8, 'kept', 'removed'), 6)
  assert.equal(isKnown(site, 'removed'), false)
})

test('without accounts the first configuration of a peer is taken as it is', async () => {
  const site = new SiteView(layout, silentLogger)
  await syncWithPeer(site, decode(configText(7)))
  assert.equal(site.config()?.version, 7)
  assert.equal(site.accounts(), undefined)
})

// A peer of an earlier version of the product decodes a configuration without its accounts: all calls came in until the next version.
test('a configuration of a peer that does not know accounts is replaced by the same version of the store', async () => {
  const site = new SiteView(layout, silentLogger)
  const { accounts, ...withoutAccounts } = decode(configText(7, 'kept'))
  assert.equal(accounts?.length, 1)
  await syncWithPeer(site, withoutAccounts)
  deliverFromStore(site, configText(7, 'kept'), 5)
  assert.equal(isKnown(site, 'kept'), true)
})

test('an entry with accounts takes no configuration without any from a peer, but from the store', async () => {
  const site = new SiteView(layout, silentLogger)
  deliverFromStore(site, configText(7, 'kept'), 5)
  await syncWithPeer(site, decode(configText(8)))
  assert.equal(site.config()?.version, 7)
  deliverFromStore(site, configText(8), 6)
  assert.equal(site.accounts(), undefined)
})

test('a read of the store that a peer relays has no keys', async () => {
  const driver = new MemoryDriver()
  await driver.txn({ guards: [], puts: [{ key: 'op/config', value: 'secret' }, { key: 'op/wave/1', value: 'w' }], deletes: [] })
  const storeLayout = { configKey: 'op/config', withoutKeys: (text: string) => text.replace('secret', 'digest') }
  const service = new EntryPeerService({ directDriver: driver, storeLayout, signal: new AbortController().signal } as unknown as EntryPeerServiceOpts)
  const reply = await service.relay({ op: 'range', key: 'op/', prefix: true })
  assert.deepEqual(reply.ok && (reply.value as KeyRange).kvs.map(kv => kv.value), ['digest', 'w'])
})
