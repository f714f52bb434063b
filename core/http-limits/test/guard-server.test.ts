import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { ClientLimits, guardServer, limitedServerOptions, readBody, type BodyResult, type ClientLimitsOpts } from '../src/index.ts'

const MAX_BODY_BYTES = 65_536
const GET = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
const POST = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'

interface Guarded {
  readonly limits: ClientLimits
  readonly server: Server
  readonly open: () => Socket
}

async function start (t: TestContext, opts: ClientLimitsOpts, handle: (req: IncomingMessage, res: ServerResponse) => void): Promise<Guarded> {
  const limits = new ClientLimits(opts)
  const server = createServer(limitedServerOptions, handle)
  guardServer(server, limits)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const sockets: Socket[] = []
  t.after(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
    server.closeAllConnections()
  })
  const open = (): Socket => {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    socket.on('error', () => {})
    sockets.push(socket)
    return socket
  }
  return { limits, server, open }
}

async function until (what: string, isTrue: () => boolean): Promise<void> {
  for (let poll = 0; poll < 500; poll++) {
    if (isTrue()) return
    await sleep(10)
  }
  assert.fail(what)
}

/** @returns what the socket has received so far */
function received (socket: Socket): () => string {
  let text = ''
  socket.on('data', chunk => { text += String(chunk) })
  return () => text
}

test('requests sent ahead are begun one at a time, and each is answered in order', { timeout: 20_000 }, async t => {
  const waiting: ServerResponse[] = []
  let begun = 0
  const { open } = await start(t, {}, (_req, res) => {
    begun += 1
    waiting.push(res)
  })
  const socket = open()
  const text = received(socket)
  socket.write(GET.repeat(300))
  for (let number = 1; number <= 300; number++) {
    await until(`request ${number} begins`, () => waiting.length > 0)
    assert.equal(begun, number)
    waiting.shift()?.end(`<${number}>`)
  }
  await until('all answers are read', () => text().includes('<300>'))
  assert.deepEqual([...text().matchAll(/<(\d+)>/g)].map(match => Number(match[1])), Array.from({ length: 300 }, (_, index) => index + 1))
})

test('bodies arrive whole in chunks of any size, with requests sent ahead between them', { timeout: 20_000 }, async t => {
  const bodies: string[] = []
  const { open } = await start(t, {}, (req, res) => {
    readBody(req, { maxBytes: MAX_BODY_BYTES }).then(body => {
      bodies.push(body.kind === 'whole' ? body.bytes.toString() : body.kind)
      res.end()
    }, () => {})
  })
  const texts = [1, 7, 4_095, 4_096, 4_097, 65_536].map(bytes => '\r\n\r\nabcdef'.repeat(bytes).slice(0, bytes))
  const chunked = (text: string, size: number): string => {
    const chunks = text.match(new RegExp(`[^]{1,${size}}`, 'g')) ?? []
    return POST + chunks.map(chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('') + '0\r\n\r\n'
  }
  const sized = (text: string): string => `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${text.length}\r\n\r\n${text}`
  open().write(texts.map(text => chunked(text, 1) + sized(text) + chunked(text, 5_000)).join(''))
  await until('all bodies are read', () => bodies.length === texts.length * 3)
  assert.deepEqual(bodies, texts.flatMap(text => [text, text, text]))
})

test('a client that leaves is noticed while its request is in progress', { timeout: 20_000 }, async t => {
  let left = false
  let begun = false
  const { open } = await start(t, {}, (_req, res) => {
    begun = true
    res.once('close', () => { left = true })
  })
  const socket = open()
  socket.write(GET)
  await until('the request begins', () => begun)
  socket.destroy()
  await until('the client is gone', () => left)
})

test('above the budget the connection that holds most and moves least is closed, and its bytes are given back', { timeout: 20_000 }, async t => {
  const results: string[] = []
  const { open, limits } = await start(t, { memoryMb: 1 }, (req, res) => {
    readBody(req, { maxBytes: MAX_BODY_BYTES }).then(({ kind }) => {
      results.push(kind)
      res.end()
    }, () => {})
  })
  const stopped = [open(), open(), open()]
  const closed = stopped.map(socket => once(socket, 'close'))
  for (const socket of stopped) socket.write(`${POST}fff0\r\n${'x'.repeat(60_000)}`)
  await until('they hold bytes', () => limits.bytesInProgress() > 100_000)
  await sleep(50)
  const moving = open()
  moving.write(`${POST}7000\r\n${'x'.repeat(28_672)}`)
  await Promise.race(closed)
  moving.write('\r\n0\r\n\r\n')
  await until('the moving one is served', () => results.includes('whole'))
  for (const socket of [...stopped, moving]) socket.destroy()
  await until('all bytes are given back', () => limits.bytesInProgress() === 0)
})

test('a whole body that does not fit beside what is handled is refused, and its connection stays', { timeout: 20_000 }, async t => {
  const results: Array<BodyResult['kind']> = []
  const { open } = await start(t, { memoryMb: 1 }, (req, res) => {
    readBody(req, { maxBytes: MAX_BODY_BYTES }).then(({ kind }) => {
      results.push(kind)
      if (kind !== 'whole') res.writeHead(503).end()
    }, () => {})
  })
  const body = `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 36000\r\n\r\n${'x'.repeat(36_000)}`
  open().write(body)
  await until('the first is handled', () => results.length === 1)
  const second = open()
  const text = received(second)
  second.write(body)
  await until('the second is answered', () => text().includes('503'))
  assert.deepEqual(results, ['whole', 'overload'])
  assert.equal(second.destroyed, false)
})

test('beyond the limit of connections the one gives way that has completed nothing for longest', { timeout: 20_000 }, async t => {
  const { open, limits } = await start(t, { maxFds: 204 }, (_req, res) => { res.end('served') })
  assert.equal(limits.callers.max, 3)
  const used = open()
  await once(used, 'connect')
  const idle = open()
  await once(idle, 'connect')
  const text = received(used)
  await sleep(20)
  used.write(GET)
  await until('one is served', () => text().includes('served'))
  const idleClosed = once(idle, 'close')
  await once(open(), 'connect')
  open().write(GET)
  await idleClosed
  assert.equal(used.destroyed, false)
})

test('what waits for its turn when the server stops is answered', { timeout: 20_000 }, async t => {
  const { open, server, limits } = await start(t, {}, (_req, res) => { res.end('served') })
  const socket = open()
  const text = received(socket)
  await once(socket, 'connect')
  await until('the connection is accepted', () => limits.callers.connections.size === 1)
  // Holds the turn until the server stops, as much work of others does.
  limits.turns.hasTime = () => false
  limits.turns.wait = () => {}
  socket.write('GET / HTTP/1.1\r\nHost: a\r\nX: \r\n' + `Y: ${'y'.repeat(4_080)}\r\n\r\n`)
  await sleep(50)
  assert.equal(text(), '')
  server.closeIdleConnections()
  await until('it is served', () => text().includes('served'))
})

test('a body that goes on beyond all limits closes its connection', { timeout: 20_000 }, async t => {
  const results: string[] = []
  const { open } = await start(t, {}, req => {
    readBody(req, { maxBytes: 1_000, drainBytes: 1_000 }).then(({ kind }) => results.push(kind), () => {})
  })
  const socket = open()
  const closed = once(socket, 'close')
  socket.write(`${POST}ffff\r\n${'x'.repeat(3_000)}`)
  await closed
  assert.deepEqual(results, ['too-large'])
})

test('a body that stops is overdue, a slow one that moves is not', { timeout: 20_000 }, async t => {
  const { open, limits } = await start(t, {}, req => { readBody(req, { maxBytes: MAX_BODY_BYTES }).catch(() => {}) })
  const socket = open()
  socket.write(`${POST}ffff\r\nx`)
  const overdueIn = (ms: number) => [...limits.callers.connections].map(connection => connection.overdue(performance.now() + ms))
  await until('the body has begun', () => limits.bytesInProgress() > 8_192)
  await sleep(2_000)
  assert.deepEqual(overdueIn(14_000), ['stalled'])
  socket.write('y')
  await sleep(200)
  assert.deepEqual(overdueIn(14_000), [undefined])
  assert.deepEqual(overdueIn(16_000), ['stalled'])
})

test('a response that nobody reads is overdue', { timeout: 20_000 }, async t => {
  const { open, limits } = await start(t, {}, (_req, res) => { res.end(Buffer.alloc(32 * 1_048_576)) })
  const socket = open()
  socket.pause()
  socket.write(GET)
  await sleep(500)
  const overdueIn = (ms: number) => [...limits.callers.connections].map(connection => connection.overdue(performance.now() + ms))
  assert.deepEqual(overdueIn(0), [undefined])
  assert.deepEqual(overdueIn(31_000), ['unread'])
})

test('requests with an unknown expectation whose answers nobody reads do not end the process', { timeout: 60_000 }, async t => {
  const { server, open } = await start(t, {}, (_req, res) => res.end())
  const flood = open()
  flood.pause()
  flood.write('GET / HTTP/1.1\r\nHost: a\r\nExpect: x\r\n\r\n'.repeat(200_000))
  await sleep(3_000)
  const caller = open()
  const text = received(caller)
  caller.write(GET)
  await until('another client is answered', () => text().startsWith('HTTP/1.1 200'))
  assert.ok(server.listening)
})

test('headers of a request count until it is answered', { timeout: 20_000 }, async t => {
  const waiting: ServerResponse[] = []
  const { limits, open } = await start(t, {}, (_req, res) => { waiting.push(res) })
  const headers = 'a:b\r\n'.repeat(1_900)
  open().write(`POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n${headers}\r\n`)
  await until('the request is begun', () => waiting.length === 1)
  assert.ok(limits.bytesInProgress() > 8 * headers.length, `${limits.bytesInProgress()} bytes are counted`)
})
