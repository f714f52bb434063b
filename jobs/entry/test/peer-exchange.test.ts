import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ok } from '@wisteriaslip/core.result'
import { silentLogger } from '@wisteriaslip/core.logger'
import type { JobConfig, StoreLayout } from '@wisteriaslip/jobs.model'
import type { PeerState } from '@wisteriaslip/jobs.protocol'
import { StoreKeys, Members, type Member } from '@wisteriaslip/peers.membership'
import { Mirror } from '@wisteriaslip/store.mirror'
import { ManualClock } from '@wisteriaslip/testing.stand-ins'
import { PeerExchange, type PeerExchangeOpts } from '../src/peer-exchange.ts'
import { SiteView } from '../src/site-view.ts'

const sources = { operatorPrefix: 'op/', workerPrefix: 'workers/' } as unknown as StoreLayout

function config (version: number): JobConfig {
  return { version, queues: [], services: [], maxBodyBytes: 1 }
}

/** An exchange with one peer, which has version 7. */
function start (opts: { own: number | undefined, hasStore: boolean }) {
  const clock = new ManualClock()
  const keys = new StoreKeys('w')
  const self: Member = { id: 'a', incarnation: 'ia', region: 'r', zone: 'z', peerAddress: { host: 'h', port: 1 } }
  const peer: Member = { ...self, id: 'b', incarnation: 'ib' }
  const mirror = new Mirror()
  const members = new Members(self, mirror, keys)
  members.peers = () => [peer]
  const site = new SiteView(sources, silentLogger)
  if (opts.own !== undefined) site.offerConfig(config(opts.own))
  const asked: Array<number | undefined> = []
  const call = async (_address: unknown, _method: string, req: { configVersion?: number }) => {
    asked.push(req.configVersion)
    const state: PeerState = { incarnation: 'ib', storeAvailable: true, configVersion: 7, ...(req.configVersion !== undefined && req.configVersion < 7 ? { config: config(7) } : {}) }
    return ok(state)
  }
  const exchange = new PeerExchange({ members, mirror, site, clients: { call } as unknown as PeerExchangeOpts['clients'], clock, hasStore: () => opts.hasStore })
  return { clock, exchange, site, asked }
}

async function round (exchange: PeerExchange): Promise<void> {
  await exchange.askAll([...exchange.nextPeers()], new AbortController().signal)
}

test('an entry that has the store leaves a new configuration to the store for a while', async () => {
  const { clock, exchange, site, asked } = start({ own: 6, hasStore: true })
  await round(exchange)
  clock.advance(300)
  await round(exchange)
  assert.deepEqual(asked, [undefined, undefined])
  assert.equal(site.config()?.version, 6)
})

test('an entry whose watch has gone silent takes the configuration from a peer', async () => {
  const { clock, exchange, site, asked } = start({ own: 6, hasStore: true })
  await round(exchange)
  clock.advance(700)
  await round(exchange)
  assert.deepEqual(asked, [undefined, 6])
  assert.equal(site.config()?.version, 7)
  await round(exchange)
  assert.deepEqual(asked, [undefined, 6, undefined])
})

for (const opts of [{ own: 6, hasStore: false }, { own: undefined, hasStore: true }]) {
  test(`an entry (${JSON.stringify(opts)}) asks a peer for the configuration at once`, async () => {
    const { exchange, site } = start(opts)
    await round(exchange)
    assert.equal(site.config()?.version, 7)
  })
}
