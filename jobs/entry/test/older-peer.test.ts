import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ok } from '@wisteriaslip/core.result'
import { silentLogger } from '@wisteriaslip/core.logger'
import { digestOfKey } from '@wisteriaslip/jobs.accounts'
import { SiteView } from '@wisteriaslip/jobs.entry'
import { jobStoreLayout } from '@wisteriaslip/jobs.http'
import type { JobConfig } from '@wisteriaslip/jobs.model'
import type { PeerState } from '@wisteriaslip/jobs.protocol'
import { Members, StoreKeys, type Member } from '@wisteriaslip/peers.membership'
import { Mirror } from '@wisteriaslip/store.mirror'
import { ManualClock } from '@wisteriaslip/testing.stand-ins'
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

// A peer of an earlier version of the product decodes a configuration without its accounts.
test('a newer configuration of a peer that does not know accounts opens no queues', async () => {
  const site = new SiteView(layout, silentLogger)
  deliverFromStore(site, configText(7, 'kept'), 5)
  const { accounts, ...withoutAccounts } = decode(configText(8, 'kept'))
  assert.equal(accounts?.length, 1)
  await syncWithPeer(site, withoutAccounts)
  assert.equal(isKnown(site, 'kept'), true)
})
