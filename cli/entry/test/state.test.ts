import assert from 'node:assert/strict'
import { test } from 'node:test'
import { silentLogger } from '@wisteriaslip/core.logger'
import { settingsSchema } from '@wisteriaslip/config.settings'
import { ok } from '@wisteriaslip/core.result'
import { createState } from '../src/state.ts'

test('an entry that has the store through a peer only does not call itself one with it', async () => {
  const ending = new AbortController()
  const here = { host: '127.0.0.1', port: 0 }
  const settings = settingsSchema.parse({ id: 'e', region: 'r', zone: 'z', callers: here, operators: here, peers: here, trialWithoutKeys: true, store: { endpoints: ['http://127.0.0.1:1'] } })
  const state = createState({
    settings,
    peerKey: undefined,
    logger: silentLogger,
    peerAddress: { host: '127.0.0.1', port: 1 },
    signal: ending.signal,
    relay: async () => ok({ kvs: [], count: 0, revision: 7 })
  })
  let relayed = 0
  for (let tries = 0; tries < 6; tries++) {
    if ((await state.store.get('key')).ok) relayed += 1
  }
  ending.abort()
  assert.ok(relayed > 0, 'the store answers through the peer')
  assert.equal(state.store.available(), true)
  assert.equal(state.hasStore(), false)
})
