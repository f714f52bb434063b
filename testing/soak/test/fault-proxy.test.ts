import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { waitUntil } from '@wisteriaslip/testing.jobs'
import { freePorts } from '@wisteriaslip/testing.stand-ins'
import { FaultProxy, type Replacement } from '../src/fault-proxy.ts'

const host = '127.0.0.1'

/** A server that keeps what it receives and repeats it, behind a proxy, and a connection to it. */
async function setUp (t: TestContext, replacements: { requests?: Replacement, replies?: Replacement } = {}) {
  let received = ''
  const sockets: Socket[] = []
  const server = createServer(socket => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.on('data', bytes => {
      received += String(bytes)
      socket.write(bytes)
    })
  })
  await new Promise<void>(resolve => server.listen(0, host, resolve))
  const [port = 0] = await freePorts(1)
  const proxy = new FaultProxy({ host, port, target: { host, port: (server.address() as AddressInfo).port }, sourceIp: host, ...replacements })
  await proxy.listen()
  const client = connect({ host, port })
  client.on('error', () => {})
  let replies = ''
  client.on('data', bytes => { replies += String(bytes) })
  t.after(() => {
    proxy.close()
    server.close()
    for (const socket of [client, ...sockets]) socket.destroy()
  })
  await once(client, 'connect')
  return { proxy, client, received: () => received, replies: () => replies }
}

test('bytes that a fault holds arrive when it ends, even if the caller has closed', async t => {
  const { proxy, client, received } = await setUp(t)
  const end = proxy.begin({ holdRequests: true })
  client.end('late')
  await once(client, 'finish')
  assert.equal(received(), '')
  end()
  await waitUntil('the bytes arrive', () => received() === 'late')
})

test('a cut of one direction lets the other one pass', async t => {
  const { proxy, client, received, replies } = await setUp(t)
  const end = proxy.begin({ holdReplies: true })
  client.write('ping')
  await waitUntil('the request arrives', () => received() === 'ping')
  assert.equal(replies(), '')
  end()
  await waitUntil('the reply arrives', () => replies() === 'ping')
})

test('faults that overlap end one by one', async t => {
  const { proxy, client, received } = await setUp(t)
  const ends = [proxy.begin({ holdRequests: true }), proxy.begin({ holdRequests: true })]
  client.write('x')
  ends[0]?.()
  await new Promise(resolve => setTimeout(resolve, 30))
  assert.equal(received(), '')
  ends[1]?.()
  await waitUntil('the bytes arrive', () => received() === 'x')
})

test('an address that two chunks share is replaced', async t => {
  const { client, received } = await setUp(t, { requests: { from: '127.20.11.', to: '127.20.12.' } })
  client.write('a 127.20')
  await waitUntil('the first chunk arrives, without the part that may go on', () => received() === 'a ')
  client.write('.11.5 b')
  await waitUntil('both chunks arrive', () => received() === 'a 127.20.12.5 b')
})

test('connections that were silenced stay silent', async t => {
  const { proxy, client, received } = await setUp(t)
  proxy.silencePresent()
  client.write('x')
  await new Promise(resolve => setTimeout(resolve, 30))
  assert.equal(received(), '')
})
