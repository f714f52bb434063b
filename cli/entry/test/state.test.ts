import assert from 'node:assert/strict'
import { test } from 'node:test'
import { silentLogger } from '@wisteriaslip/core.logger'
import { settingsSchema } from '@wisteriaslip/config.settings'
import { ok } from '@wisteriaslip/core.result'
import { createState } from '../src/state.ts'

test('an entry that reaches the store only through a peer does not report store access', async () => {
  const shutdown = new AbortController()
  const listenAddress = { host: '127.0.0.1', port: 0 }
  const settings = settingsSchema.parse({ id: 'e', region: 'r', zone: 'z', callers: listenAddress, operators: listenAddress, peers: listenAddress, trialWithoutKeys: true, store: { endpoints: ['http://127.0.0.1:1'] } })
  const state = createState({
    settings,
    peerKey: undefined,
    logger: silentLogger,
    peerAddress: { host: '127.0.0.1', port: 1 },
    signal: shutdown.signal,
    relay: async () => ok({ kvs: [], count: 0, revision: 7 })
  })
  let relayed = 0
  for (let tries = 0; tries < 6; tries++) {
    if ((await state.store.get('key')).ok) relayed += 1
  }
  shutdown.abort()
  assert.ok(relayed > 0, 'store calls succeed through the peer')
  assert.equal(state.store.available(), true)
  assert.equal(state.hasStoreAccess(), false)
})
