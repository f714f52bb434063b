import assert from 'node:assert/strict'
import { createServer, type Server } from 'node:http'
import { connect, createServer as createTcpServer, type AddressInfo, type Server as TcpServer } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { Agent, request } from 'undici'
import { systemClock } from '@wisteriaslip/core.result'
import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import { FleetConfig, parseDocument, type Document } from '@wisteriaslip/config.documents'
import { Gateway, PoolRuntime, TargetConnections } from '@wisteriaslip/routing.gateway'
import { ClaimTable } from '@wisteriaslip/routing.idempotency'
import { ExecutorStandIn } from '@wisteriaslip/testing.stand-ins'

const CONFIG_DOCUMENTS = [
  { kind: 'class', name: 'normal', rank: 0, floor: 0 },
  { kind: 'tenant', name: 'everyone' },
  { kind: 'pool', name: 'p', labels: { p: '1' }, selector: { p: '1' }, budget: { maxUnavailable: 1 } },
  { kind: 'workload', name: 'read', match: { pathPrefix: '/read' }, poolSelector: { p: '1' }, class: 'normal', idempotent: true, deadlineMs: 2_000, maxRunMs: 600 },
  { kind: 'workload', name: 'write', match: { pathPrefix: '/write' }, poolSelector: { p: '1' }, class: 'normal', idempotent: false, deadlineMs: 2_000, maxRunMs: 600 },
  { kind: 'workload', name: 'held', match: { pathPrefix: '/held' }, poolSelector: { p: '1' }, class: 'normal', idempotent: false, deadlineMs: 60_000, maxRunMs: 50_000 }
]

interface Harness {
  readonly url: string
  readonly port: number
  readonly gateway: Gateway
  readonly pool: PoolRuntime
  /** Resolves when the first connection of a caller has closed, which the gateway knows by then. */
  readonly disconnected: Promise<void>
  call (path: string, opts?: { headers?: Record<string, string>, body?: string }): Promise<{ status: number, outcome: string | undefined, body: string }>
}

function documents (): Document[] {
  return CONFIG_DOCUMENTS.map(input => {
    const parsed = parseDocument(input)
    assert.ok(parsed.ok)
    return parsed.value
  })
}

async function listen (t: TestContext, server: Server | TcpServer): Promise<number> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.after(() => {
    if ('closeAllConnections' in server) server.closeAllConnections()
    server.close()
  })
  return (server.address() as AddressInfo).port
}

async function startGateway (t: TestContext, targets: Record<string, number>): Promise<Harness> {
  const config = new FleetConfig(documents())
  const connections = new Map(Object.entries(targets).map(([name, port]) => [name, new TargetConnections({ address: { host: '127.0.0.1', port }, limit: 8, clock: systemClock })]))
  const pool = new PoolRuntime({
    pool: 'p',
    incarnation: 'i',
    zone: 'z',
    clock: systemClock,
    config: () => config,
    target: name => ({ zone: 'z', usable: connections.get(name)?.isHealthy() ?? false }),
    queueBytes: 1e7,
    onReportNeeded: () => {}
  })
  pool.slots.follow(1)
  const add = Object.fromEntries(Object.keys(targets).map(name => [name, 4]))
  const renew = (): void => pool.slots.applyGrant(systemClock.now(), { pool: 'p', token: 1, add: {}, giveBack: 0, avoid: [], settled: [] })
  pool.slots.applyGrant(systemClock.now(), { pool: 'p', token: 1, add, giveBack: 0, avoid: [], settled: [] })
  const table = new ClaimTable(systemClock)
  const gateway = new Gateway({
    incarnation: 'i',
    clock: systemClock,
    logger: silentLogger,
    metrics: new Metrics(),
    config: () => config,
    ready: () => true,
    pool: () => pool,
    connections: name => connections.get(name),
    claimOwnerFor: () => ({
      claim: async claim => {
        const known = table.lookUp(claim)
        if (known === undefined) table.addClaim(claim)
        return known ?? { state: 'run' }
      },
      settle: async settlement => table.settle(settlement)
    }),
    limits: { bodyBytes: 1_000, callerTimeoutMs: 300 }
  })
  const server = createServer((req, res) => { gateway.handle(req, res).catch(assert.ifError) })
  const disconnected = new Promise<void>(resolve => server.once('connection', socket => socket.once('close', () => resolve())))
  const port = await listen(t, server)
  const renewTimer = setInterval(() => { renew(); pool.queue.dispatch() }, 20)
  const agent = new Agent()
  t.after(async () => {
    clearInterval(renewTimer)
    for (const each of connections.values()) each.close()
    await agent.destroy()
  })
  const url = `http://127.0.0.1:${port}`
  return { url, port, gateway, pool, disconnected, call: async (path, opts = {}) => await call(agent, `${url}${path}`, opts) }
}

async function call (agent: Agent, url: string, opts: { headers?: Record<string, string>, body?: string }) {
  const res = await request(url, { method: 'POST', body: opts.body ?? '', headers: opts.headers ?? {}, dispatcher: agent })
  const outcome = res.headers['wisteriaslip-outcome']
  return { status: res.statusCode, outcome: typeof outcome === 'string' ? outcome : undefined, body: await res.body.text() }
}

async function startExecutor (t: TestContext, name = 't1'): Promise<{ executor: ExecutorStandIn, port: number }> {
  const executor = new ExecutorStandIn(name, 8)
  return { executor, port: await listen(t, executor.server) }
}

/** A target that has read a request when `begun` resolves, and answers once it is released: a test knows that the request is in progress meanwhile. */
async function startHeldTarget (t: TestContext): Promise<{ port: number, starts: () => number, begun: Promise<void>, release: () => void }> {
  let starts = 0
  let begin = (): void => {}
  let release = (): void => {}
  const begun = new Promise<void>(resolve => { begin = resolve })
  const released = new Promise<void>(resolve => { release = resolve })
  const server = createServer((req, res) => {
    req.resume().once('end', () => {
      starts += 1
      begin()
      released.then(() => res.end('done')).catch(assert.ifError)
    })
  })
  return { port: await listen(t, server), starts: () => starts, begun, release }
}

test('does not send a non-idempotent request over an idle connection that became unresponsive', async t => {
  const { executor: target, port } = await startExecutor(t)
  const harness = await startGateway(t, { t1: port })
  assert.equal((await harness.call('/write')).status, 200)
  target.stallConnections()
  await sleep(300)
  assert.equal((await harness.call('/write')).status, 200)
  assert.equal(target.starts.length, 2)
})

test('retries an idempotent request when its connection is unresponsive', async t => {
  const { executor: target, port } = await startExecutor(t)
  const harness = await startGateway(t, { t1: port })
  assert.equal((await harness.call('/read')).status, 200)
  target.stallConnections()
  assert.equal((await harness.call('/read')).status, 200)
})

test('reports a truncated response as an error and does not retry a non-idempotent request', async t => {
  const { executor: target, port } = await startExecutor(t)
  const harness = await startGateway(t, { t1: port })
  const reply = await harness.call('/write?fault=die&bytes=1000')
  assert.equal(reply.status, 502)
  assert.equal(reply.outcome, 'unknown')
  assert.equal(target.starts.length, 1)
})

test('closes the caller\'s connection when a large response is truncated', async t => {
  const { port } = await startExecutor(t)
  const harness = await startGateway(t, { t1: port })
  await assert.rejects(harness.call('/write?fault=die&bytes=2000000'))
})

test('never forwards a response that belongs to another request', async t => {
  const { port } = await startExecutor(t)
  const harness = await startGateway(t, { t1: port })
  const reply = await harness.call('/write?fault=crossed')
  assert.equal(reply.outcome, 'unknown')
})

test('reports a response without content length or chunked encoding as an error', async t => {
  const rawServer = createTcpServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => socket.end('HTTP/1.1 200 OK\r\n\r\nhalf an ans'))
  })
  const harness = await startGateway(t, { t1: await listen(t, rawServer) })
  const reply = await harness.call('/write')
  assert.equal(reply.outcome, 'unknown')
})

test('a leaving target gets no further requests, and requests that it refuses run elsewhere', async t => {
  const first = await startExecutor(t, 't1')
  const second = await startExecutor(t, 't2')
  const harness = await startGateway(t, { t1: first.port, t2: second.port })
  first.executor.draining = true
  const replies = await Promise.all(Array.from({ length: 12 }, async () => await harness.call('/write')))
  assert.deepEqual(new Set(replies.map(reply => reply.status)), new Set([200]))
  assert.equal(first.executor.starts.length, 0)
  assert.equal(second.executor.starts.length, 12)
})

test('reports "not-run" when the target is unreachable', async t => {
  const harness = await startGateway(t, { t1: 1 })
  const reply = await harness.call('/write')
  assert.equal(reply.status, 503)
  assert.equal(reply.outcome, 'not-run')
})

test('reports "unknown" and releases the slot when a request exceeds its maximum run time', async t => {
  const { port } = await startExecutor(t)
  const harness = await startGateway(t, { t1: port })
  const reply = await harness.call('/write?ms=5000')
  assert.equal(reply.status, 504)
  assert.equal(reply.outcome, 'unknown')
  assert.equal(harness.pool.slots.totals().busy, 0)
})

// Guards against a pass without a request in progress: the caller disconnected after 80 ms, whether the request had begun or not.
test('does not cancel a non-idempotent request when the caller disconnects', async t => {
  const target = await startHeldTarget(t)
  const harness = await startGateway(t, { t1: target.port })
  const headers = { 'idempotency-key': 'k1' }
  const abort = new AbortController()
  const abandonedCall = request(`${harness.url}/held`, { method: 'POST', body: '', headers, signal: abort.signal })
  await Promise.race([target.begun, abandonedCall])
  abort.abort()
  await assert.rejects(abandonedCall)
  await harness.disconnected
  const retry = harness.call('/held', { headers })
  target.release()
  assert.equal((await retry).status, 200)
  assert.equal(target.starts(), 1)
})

test('rejects invalid requests with an error code, without sending them to a target', async t => {
  const { executor: target, port } = await startExecutor(t)
  const harness = await startGateway(t, { t1: port })
  const cases: Array<[string, { headers?: Record<string, string>, body?: string }, string]> = [
    ['/nowhere', {}, 'NO_WORKLOAD'],
    ['/readable', {}, 'NO_WORKLOAD'],
    [`/write/${'x'.repeat(9_000)}`, {}, 'BAD_PATH'],
    ['/write', { body: 'x'.repeat(2_000) }, 'BODY_TOO_LARGE'],
    ['/write', { headers: { authorization: 'Bearer nobody' } }, 'UNKNOWN_TENANT'],
    ['/write', { headers: { 'wisteriaslip-class': 'other' } }, 'CLASS_NOT_ALLOWED'],
    ['/write', { headers: { 'wisteriaslip-deadline-ms': '-5' } }, 'BAD_DEADLINE'],
    ['/write', { headers: { 'idempotency-key': 'x'.repeat(300) } }, 'BAD_IDEMPOTENCY_KEY']
  ]
  for (const [path, opts, code] of cases) {
    const reply = await harness.call(path, opts)
    assert.equal((JSON.parse(reply.body) as { code: string }).code, code)
    assert.equal(reply.outcome, 'not-run')
  }
  assert.equal(target.starts.length, 0)
})

test('rejects a path with dot segments without normalizing it', async t => {
  const { executor: target, port } = await startExecutor(t)
  const harness = await startGateway(t, { t1: port })
  for (const path of ['/write/%2e%2e/x', '/write/../x', '/write/.%2E']) {
    const socket = connect(harness.port, '127.0.0.1')
    const response = new Promise<string>(resolve => socket.once('data', data => resolve(String(data))))
    socket.write(`GET ${path} HTTP/1.1\r\nhost: x\r\n\r\n`)
    assert.match(await response, /BAD_PATH/)
    socket.destroy()
  }
  assert.equal(target.starts.length, 0)
})

test('rejects a request whose body is received too slowly', async t => {
  const { executor: target, port } = await startExecutor(t)
  const harness = await startGateway(t, { t1: port })
  const socket = connect(harness.port, '127.0.0.1')
  const response = new Promise<string>(resolve => socket.once('data', data => resolve(String(data))))
  socket.write('POST /write HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nhalf')
  assert.match(await response, /BODY_INCOMPLETE/)
  socket.destroy()
  assert.equal(target.starts.length, 0)
})

// Guards against a verdict that hangs on load: the request was taken for begun after 50 ms, and refused if it came later.
test('completes requests in progress and rejects new ones while draining', async t => {
  const target = await startHeldTarget(t)
  const harness = await startGateway(t, { t1: target.port })
  const requestInProgress = harness.call('/held')
  await Promise.race([target.begun, requestInProgress])
  harness.gateway.startDraining()
  harness.gateway.rejectNewRequests()
  const refused = await harness.call('/held')
  assert.equal(refused.outcome, 'not-run')
  assert.equal((JSON.parse(refused.body) as { code: string }).code, 'SHUTTING_DOWN')
  assert.equal(harness.gateway.requestsInFlight(), 1)
  target.release()
  assert.equal((await requestInProgress).status, 200)
  assert.equal(harness.gateway.requestsInFlight(), 0)
  assert.equal(target.starts(), 1)
})

// A request that crashes its target must not be passed on to target after target.
for (const [path, maxTargets] of [['/write', 1], ['/read', 3]] as const) {
  test(`a request to ${path} that crashes each target which reads it reaches ${maxTargets} at most`, async t => {
    let crashed = 0
    const ports: Record<string, number> = {}
    for (let number = 0; number < 6; number++) {
      const target = createServer(req => {
        crashed += 1
        req.socket.destroy()
        target.close()
      })
      ports[`t${number}`] = await listen(t, target)
    }
    const harness = await startGateway(t, ports)
    const reply = await harness.call(path)
    assert.equal(reply.outcome, 'unknown')
    assert.ok(crashed >= 1 && crashed <= maxTargets, `${crashed} targets`)
  })
}
