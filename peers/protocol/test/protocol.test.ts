import assert from 'node:assert/strict'
import type { AddressInfo } from 'node:net'
import { test, type TestContext } from 'node:test'
import { Metrics } from '@wisteriaslip/core.metrics'
import { createPeerServer, createPeerRouter, PeerClients, RelayDriver, type PeerService } from '@wisteriaslip/peers.protocol'
import { freePorts, MemoryDriver } from '@wisteriaslip/testing.stand-ins'

const KEY = 'a key of sixteen characters'

async function serve (t: TestContext, service: Partial<PeerService>) {
  const bytes = { received: 0, sent: 0 }
  const server = createPeerServer(createPeerRouter(service as PeerService), {
    key: KEY,
    onBytes: (received, sent) => {
      bytes.received += received
      bytes.sent += sent
    }
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.after(() => {
    server.closeAllConnections()
    server.close()
  })
  return { address: { host: '127.0.0.1', port: (server.address() as AddressInfo).port }, bytes }
}

function createClients (t: TestContext, key: string | undefined): PeerClients {
  const peers = new PeerClients({ key, metrics: new Metrics() })
  t.after(async () => await peers.close())
  return peers
}

test('calls with the peer key succeed, and calls without it or with another key are rejected', async t => {
  const { address, bytes } = await serve(t, { borrow: async req => [{ id: '1', from: 'me', to: req.to, target: 't', slots: req.slots }] })
  const input = { pool: 'p', to: 'you', slots: 2 }
  const accepted = await createClients(t, KEY).call(address, 'borrow', input)
  assert.equal(accepted.ok && accepted.value[0]?.slots, 2)
  for (const key of [undefined, 'another key of that length.']) {
    const refused = await createClients(t, key).call(address, 'borrow', input)
    assert.equal(refused.ok, false)
  }
  assert.ok(bytes.received > 0 && bytes.sent > 0)
})

test('a call to an unresponsive peer fails within the timeout, and the next call succeeds', async t => {
  let unresponsive = true
  const { address } = await serve(t, { loads: async () => unresponsive ? await new Promise(() => {}) : [] })
  const peers = createClients(t, KEY)
  const late = await peers.call(address, 'loads', undefined, { timeoutMs: 50 })
  assert.equal(late.ok, false)
  unresponsive = false
  assert.equal((await peers.call(address, 'loads', undefined)).ok, true)
})

// A peer that was slow for a moment lost every call in progress as soon as one of them timed out: its load was never known.
test('a call that times out does not fail the other calls to the same peer', async t => {
  let respond = (): void => {}
  const responded = new Promise<void>(resolve => { respond = resolve })
  const { address } = await serve(t, {
    borrow: async () => await new Promise(() => {}),
    loads: async () => await responded.then(() => [])
  })
  const peers = createClients(t, KEY)
  const slow = peers.call(address, 'loads', undefined, { timeoutMs: 5_000 })
  const late = await peers.call(address, 'borrow', { pool: 'p', to: 'you', slots: 1 }, { timeoutMs: 50 })
  assert.equal(late.ok, false)
  respond()
  assert.equal((await slow).ok, true)
})

// A call behind others that were slow waited until those ended, whatever its own timeout.
test('a call that waits for a connection fails at its timeout', async t => {
  const { address } = await serve(t, { loads: async () => await new Promise(() => {}) })
  const peers = createClients(t, KEY)
  const slow = Array.from({ length: 4 }, async () => await peers.call(address, 'loads', undefined, { timeoutMs: 2_000 }))
  const startedAt = performance.now()
  assert.equal((await peers.call(address, 'loads', undefined, { timeoutMs: 50 })).ok, false)
  assert.ok(performance.now() - startedAt < 1_000)
  await Promise.all(slow)
})

test('malformed input is rejected', async t => {
  const { address } = await serve(t, { borrow: async () => [] })
  const refused = await createClients(t, KEY).call(address, 'borrow', { pool: '', to: 'you', slots: -1 })
  assert.equal(refused.ok, false)
})

test('store calls go through a peer after direct calls have failed', async () => {
  const direct = new MemoryDriver()
  const signal = new AbortController().signal
  const txn = { guards: [], puts: [{ key: 'a', value: '1' }], deletes: [] }
  let relayed = 0
  const driver = new RelayDriver(direct, async () => {
    relayed += 1
    return { ok: true, value: { succeeded: true, revision: 7 } }
  })
  direct.faults.push('lose-call', 'lose-call')
  assert.equal((await driver.txn(txn, signal)).ok, false)
  assert.equal((await driver.txn(txn, signal)).ok, false)
  assert.equal((await driver.txn(txn, signal)).ok, true)
  assert.equal(relayed, 1)
})

// Guards against a silent peer, which may lead elsewhere, being taken for one that does not run, and the reverse.
test('a call to a machine on which no process listens is refused, one to a silent process is not', async t => {
  const { address } = await serve(t, { borrow: async () => await new Promise(() => {}) })
  const peers = createClients(t, KEY)
  const input = { pool: 'p', to: 'you', slots: 2 }
  const silent = await peers.call(address, 'borrow', input, { timeoutMs: 100 })
  assert.equal(!silent.ok && silent.error.refused, false)
  const [port] = await freePorts(1)
  const refused = await peers.call({ host: '127.0.0.1', port: port ?? 0 }, 'borrow', input)
  assert.equal(!refused.ok && refused.error.refused, true)
})
