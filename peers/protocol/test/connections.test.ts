import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { Metrics } from '@wisteriaslip/core.metrics'
import { PeerClients, type PeerAddress } from '@wisteriaslip/peers.protocol'
import { DeafListener } from '@wisteriaslip/testing.stand-ins'

const SHORT_TIMEOUT_MS = 200
/** Not reached unless a call hangs, even on a busy machine. */
const LONG_TIMEOUT_MS = 20_000

/** Starts a peer that responds to the requests for which the given function returns true. */
async function startPeer (t: TestContext, responds: (req: IncomingMessage) => boolean | Promise<boolean>, port = 0): Promise<{ server: Server, address: PeerAddress, sockets: Set<Socket> }> {
  const sockets = new Set<Socket>()
  const server = createServer((req, res) => {
    sockets.add(req.socket)
    Promise.resolve(responds(req)).then(answer => { if (answer) res.end('{"result":{"data":[]}}') }, () => {})
  })
  server.listen(port, '127.0.0.1')
  await once(server, 'listening')
  t.after(() => { stop(server) })
  return { server, address: { host: '127.0.0.1', port: (server.address() as AddressInfo).port }, sockets }
}

function stop (server: Server): void {
  server.closeAllConnections()
  server.close()
}

function createCaller (t: TestContext): (address: PeerAddress, timeoutMs: number, signal?: AbortSignal) => Promise<boolean> {
  const peers = new PeerClients({ key: undefined, metrics: new Metrics() })
  t.after(async () => await peers.close())
  return async (address, timeoutMs, signal) => (await peers.call(address, 'loads', undefined, { timeoutMs, ...(signal === undefined ? {} : { signal }) })).ok
}

async function waitUntil (condition: () => boolean): Promise<void> {
  const startedAt = performance.now()
  while (!condition()) {
    assert.ok(performance.now() - startedAt < LONG_TIMEOUT_MS, 'condition not met')
    await new Promise(resolve => setTimeout(resolve, 10))
  }
}

async function callTogether (calls: number, call: () => Promise<boolean>): Promise<boolean[]> {
  return await Promise.all(Array.from({ length: calls }, call))
}

test('calls beyond the limit of connections wait for those in progress', async t => {
  const { address, sockets } = await startPeer(t, () => true)
  const call = createCaller(t)
  const results = await callTogether(20, async () => await call(address, LONG_TIMEOUT_MS))
  assert.deepEqual(results, Array.from({ length: 20 }, () => true))
  assert.equal(sockets.size, 4)
})

// Guards against the response to a call that timed out being taken for that of the next one.
test('a connection on which a call timed out is closed and not used again', async t => {
  const { address, sockets } = await startPeer(t, req => req.socket !== [...sockets][0])
  const call = createCaller(t)
  assert.equal(await call(address, SHORT_TIMEOUT_MS), false)
  assert.equal(await call(address, LONG_TIMEOUT_MS), true)
  const [first] = sockets
  assert.ok(first !== undefined)
  if (!first.destroyed) await once(first, 'close')
  assert.equal(sockets.size, 2)
})

// Guards against each connection to a machine that lost power costing a call its timeout: it stays silent, also once the peer is back.
test('a peer that lost power fails one call, not one for each old connection', async t => {
  const { address, sockets } = await startPeer(t, async req => {
    await allBegun
    return !dead.has(req.socket)
  })
  const dead = new Set<Socket>()
  let begin = (): void => {}
  const allBegun = new Promise<void>(resolve => { begin = resolve })
  const call = createCaller(t)
  const warmUp = callTogether(4, async () => await call(address, LONG_TIMEOUT_MS))
  await waitUntil(() => sockets.size === 4)
  begin()
  assert.deepEqual(await warmUp, [true, true, true, true])
  for (const socket of sockets) dead.add(socket)
  assert.equal(await call(address, SHORT_TIMEOUT_MS), false)
  assert.deepEqual(await callTogether(4, async () => await call(address, LONG_TIMEOUT_MS)), [true, true, true, true])
})

test('a call that waits gets the place of one that timed out', async t => {
  const { address, sockets } = await startPeer(t, req => [...sockets].indexOf(req.socket) >= 4)
  const call = createCaller(t)
  const silent = callTogether(4, async () => await call(address, SHORT_TIMEOUT_MS))
  const waiting = callTogether(4, async () => await call(address, LONG_TIMEOUT_MS))
  assert.deepEqual(await silent, [false, false, false, false])
  assert.deepEqual(await waiting, [true, true, true, true])
})

test('calls succeed once a peer has started again at its address', async t => {
  const { server, address } = await startPeer(t, () => true)
  const call = createCaller(t)
  assert.deepEqual(await callTogether(4, async () => await call(address, LONG_TIMEOUT_MS)), [true, true, true, true])
  stop(server)
  await once(server, 'close')
  assert.equal(await call(address, LONG_TIMEOUT_MS), false)
  await startPeer(t, () => true, address.port)
  assert.deepEqual(await callTogether(4, async () => await call(address, LONG_TIMEOUT_MS)), [true, true, true, true])
})

// Such a call failed only when the system gave up connecting, after 10 s, and held up whatever waited for all members.
test('a call whose connection is not accepted fails at its timeout and is not sent later', async t => {
  const peer = await DeafListener.start('{"result":{"data":[]}}')
  t.after(async () => await peer.stop())
  const call = createCaller(t)
  const startedAt = performance.now()
  assert.equal(await call(peer, SHORT_TIMEOUT_MS), false)
  assert.ok(performance.now() - startedAt < 5_000)
  peer.accept()
  assert.equal(await call(peer, LONG_TIMEOUT_MS), true)
  await peer.waitForClosed(2)
  assert.equal(peer.seen.requests, 1)
})

test('a call that timed out while it waited is not sent later and costs no connection', async t => {
  let respond = (): void => {}
  const responded = new Promise<boolean>(resolve => { respond = () => resolve(true) })
  let requests = 0
  const { address, sockets } = await startPeer(t, async () => {
    requests += 1
    return await responded
  })
  const call = createCaller(t)
  const slow = callTogether(4, async () => await call(address, LONG_TIMEOUT_MS))
  assert.equal(await call(address, SHORT_TIMEOUT_MS), false)
  respond()
  assert.deepEqual(await slow, [true, true, true, true])
  assert.deepEqual(await callTogether(4, async () => await call(address, LONG_TIMEOUT_MS)), [true, true, true, true])
  assert.equal(requests, 8)
  assert.equal(sockets.size, 4)
})

test('calls end when their signal aborts, in progress or waiting', async t => {
  let requests = 0
  const { address } = await startPeer(t, () => {
    requests += 1
    return false
  })
  const call = createCaller(t)
  const controller = new AbortController()
  const startedAt = performance.now()
  const calls = callTogether(6, async () => await call(address, LONG_TIMEOUT_MS, controller.signal))
  await waitUntil(() => requests === 4)
  controller.abort()
  assert.deepEqual(await calls, [false, false, false, false, false, false])
  assert.ok(performance.now() - startedAt < LONG_TIMEOUT_MS / 2)
  assert.equal(requests, 4)
})
