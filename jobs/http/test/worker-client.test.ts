import assert from 'node:assert/strict'
import { once } from 'node:events'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { ok } from '@wisteriaslip/core.result'
import { createWorkerServer, HttpWorkerClient } from '@wisteriaslip/jobs.http'
import { DeafListener } from '@wisteriaslip/testing.stand-ins'

// A command to a worker without power failed only after 10 s, whatever its timeout.
test('a command whose connection is not accepted fails when its signal aborts, and is not sent later', async t => {
  const worker = await DeafListener.start('{"clockMs":1}')
  t.after(async () => await worker.stop())
  const client = new HttpWorkerClient()
  t.after(() => client.close())
  const endpoint = { id: 'w', host: worker.host, port: worker.port, token: 1 }
  const startedAt = performance.now()
  assert.equal((await client.connect(endpoint).stop({ task: 't', attempt: 1 }, AbortSignal.timeout(200))).ok, false)
  assert.ok(performance.now() - startedAt < 5_000)
  worker.accept()
  assert.equal((await client.connect(endpoint).stop({ task: 't', attempt: 2 }, AbortSignal.timeout(20_000))).ok, true)
  await worker.waitForClosed(2)
  assert.equal(worker.seen.requests, 1)
})

// Workers that share an address shared four connections: their polls kept starts waiting until these were given up, again and again.
test('commands do not wait for polls of other workers at the same address', { timeout: 20_000 }, async t => {
  const polled = new Set<string>()
  const polls = new AbortController()
  const server = createWorkerServer({
    start: async () => ok(1),
    stop: async () => ok(1),
    setSpeed: async () => ok(1),
    poll: async ({ id }) => {
      polled.add(id)
      if (!polls.signal.aborted) await once(polls.signal, 'abort')
      return ok({ clockMs: 1, born: 1, running: [], ended: [], moreEnded: false })
    }
  })
  const client = new HttpWorkerClient()
  t.after(() => {
    polls.abort()
    client.close()
    server.close()
    server.closeAllConnections()
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  const endpoints = Array.from({ length: 12 }, (_, number) => ({ id: `w${number}`, host: '127.0.0.1', port, token: 1 }))
  const signal = AbortSignal.timeout(15_000)
  const inProgress = endpoints.map(async endpoint => await client.connect(endpoint).poll({ seenSeq: 0, waitMs: 60_000 }, signal))
  const started = await Promise.all(endpoints.map(async endpoint => await client.connect(endpoint).start({ task: 't.0.0.0', attempt: 1, payload: '', leaseUntilMs: 1, checkpoint: '', permit: '' }, signal)))
  assert.deepEqual(started.map(response => response.ok), endpoints.map(() => true))
  while (polled.size < endpoints.length && !signal.aborted) await new Promise(resolve => setTimeout(resolve, 5))
  polls.abort()
  assert.deepEqual((await Promise.all(inProgress)).map(response => response.ok), endpoints.map(() => true))
})
