import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { Worker } from 'node:worker_threads'
import { stopListening } from '../src/caller-connections.ts'

const MAX_BLOCK_MS = 10_000

/** In a thread of its own: for each message sends a request on the same connection and sets a flag; at the end posts what it received. */
const CALLER = `
  const { connect } = require('node:net')
  const { parentPort, workerData: { port, sent } } = require('node:worker_threads')
  let socket
  let received = ''
  parentPort.on('message', () => {
    socket ??= connect(port, '127.0.0.1')
      .on('data', data => { received += data; parentPort.postMessage('received') })
      .on('error', error => { received = error.message })
      .on('close', () => { parentPort.postMessage(received); parentPort.close() })
    socket.write('GET / HTTP/1.1\\r\\nhost: entry\\r\\n\\r\\n', () => Atomics.add(sent, 0, 1))
  })`

function blockUntil (condition: () => boolean): void {
  const until = performance.now() + MAX_BLOCK_MS
  while (!condition() && performance.now() < until);
}

for (const [connection, requests] of [['a new', 1], ['an idle', 2]] as const) {
  // Guards against requests that are cut off because the process was too busy to read them when it closed idle connections.
  test(`a request that arrived on ${connection} connection while the process was busy gets a response`, async () => {
    const server = createServer((_req, res) => res.end('done'))
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const sent = new Int32Array(new SharedArrayBuffer(4))
    const caller = new Worker(CALLER, { eval: true, workerData: { port: (server.address() as AddressInfo).port, sent } })
    await once(caller, 'online')
    for (let number = 1; number < requests; number++) {
      caller.postMessage('send')
      await once(caller, 'message')
    }
    const messages: string[] = []
    caller.on('message', message => { messages.push(message) })
    const exited = once(caller, 'exit')
    const due = sleep(1)
    caller.postMessage('send')
    blockUntil(() => Atomics.load(sent, 0) === requests)
    await due
    await stopListening([server])
    server.closeAllConnections()
    await exited
    assert.equal((messages.at(-1) ?? '').split('200 OK').length - 1, requests, messages.at(-1))
  })
}
