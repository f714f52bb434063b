import assert from 'node:assert/strict'
import { connect, type Socket } from 'node:net'
import { Worker } from 'node:worker_threads'

/** More than the system accepts on behalf of a listener with the shortest backlog. */
const FILLERS = 8
const FILL_MS = 100
const WAIT_TIMEOUT_MS = 20_000
const CHECK_INTERVAL_MS = 10

type Counts = Record<'accepted' | 'closed' | 'requests', number>

/**
 * Listener to which connections are left unanswered, as to a machine without power, until it begins to accept. Then it answers
 * each request with the same response and closes its connection.
 */
export class DeafListener {
  readonly host = '127.0.0.1'
  readonly port: number
  /** Connections that were accepted and closed, and requests, without the listener's own fillers. */
  readonly seen: Counts
  private readonly worker: Worker
  private readonly gate: Int32Array
  private readonly fillers: readonly Socket[]

  private constructor (opts: { port: number, worker: Worker, gate: Int32Array, seen: Counts, fillers: readonly Socket[] }) {
    this.port = opts.port
    this.worker = opts.worker
    this.gate = opts.gate
    this.seen = opts.seen
    this.fillers = opts.fillers
  }

  /**
   * @param body - JSON of the response
   * @returns listener that accepts nothing yet
   */
  static async start (body: string): Promise<DeafListener> {
    const gate = new Int32Array(new SharedArrayBuffer(4))
    const response = `HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
    const worker = new Worker(new URL('./deaf-worker.mjs', import.meta.url), { workerData: { gate: gate.buffer, response } })
    const seen = { accepted: 0, closed: 0, requests: 0 }
    const port = await new Promise<number>(resolve => {
      worker.on('message', (message: { kind: 'listening', port: number } | { kind: keyof Counts }) => {
        if (message.kind === 'listening') resolve(message.port)
        else seen[message.kind] += 1
      })
    })
    const fillers = Array.from({ length: FILLERS }, () => connect(port, '127.0.0.1').on('error', () => {}))
    const countFilled = (): number => fillers.filter(socket => !socket.connecting).length
    await waitUntil(() => countFilled() > 0)
    await new Promise(resolve => setTimeout(resolve, FILL_MS))
    const filled = countFilled()
    assert.ok(filled < FILLERS, 'all connections are answered')
    seen.accepted -= filled
    seen.closed -= filled
    return new DeafListener({ port, worker, gate, seen, fillers })
  }

  /** Begins to accept connections. */
  accept (): void {
    for (const socket of this.fillers) socket.destroy()
    Atomics.store(this.gate, 0, 1)
    Atomics.notify(this.gate, 0)
  }

  /**
   * Waits until connections have been accepted and closed, and all that arrived on them has been counted.
   * @param count - number of connections
   */
  async waitForClosed (count: number): Promise<void> {
    await waitUntil(() => this.seen.closed >= count)
  }

  /** Ends the listener and its connections. */
  async stop (): Promise<void> {
    for (const socket of this.fillers) socket.destroy()
    await this.worker.terminate()
  }
}

async function waitUntil (condition: () => boolean): Promise<void> {
  const startedAt = performance.now()
  while (!condition()) {
    assert.ok(performance.now() - startedAt < WAIT_TIMEOUT_MS, 'condition not met')
    await new Promise(resolve => setTimeout(resolve, CHECK_INTERVAL_MS))
  }
}
