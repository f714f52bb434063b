import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** A request that the executor started; same shape as `ExecutorStart` of testing.history. */
export interface ExecutorStart {
  readonly op: string
  readonly requestId: string
  readonly target: string
}

/**
 * Stand-in for an executor. It runs all requests at once, records each start and detects when its slots are exceeded.
 * Query parameters control a request: `ms` is its run time in milliseconds, `bytes` the size of the padding in its
 * response, `fault` one of `die` (the connection closes midway through the response), `silent` (no response) and
 * `crossed` (the response carries the id of another request).
 */
export class ExecutorStandIn {
  readonly starts: ExecutorStart[] = []
  readonly server: Server
  readonly name: string
  maxRunning = 0
  maxConnections = 0
  draining = false
  /** Number of requests that were in progress when the VM went down. */
  interruptedRequests = 0
  private down = false
  private readonly slots: number
  private readonly sockets = new Set<Socket>()
  private running = 0
  private connections = 0
  private lastRequestId = 'none'

  /**
   * @param name - name of the VM
   * @param slots - number of requests that may run at the same time
   */
  constructor (name: string, slots: number) {
    this.name = name
    this.slots = slots
    this.server = createServer((req, res) => { this.handleRequest(req, res).catch(() => res.destroy()) })
    this.server.keepAliveTimeout = 60_000
    this.server.on('connection', socket => {
      if (this.down) {
        socket.destroy()
        return
      }
      this.sockets.add(socket)
      this.connections += 1
      this.maxConnections = Math.max(this.maxConnections, this.connections)
      socket.on('close', () => {
        this.sockets.delete(socket)
        this.connections -= 1
      })
    })
  }

  /** @returns the largest number of requests that ran at the same time beyond the slots, 0 if none */
  maxSlotOverrun (): number {
    return Math.max(0, this.maxRunning - this.slots)
  }

  /** Stalls all open connections for good, without closing them. New connections work. */
  stallConnections (): void {
    for (const socket of this.sockets) {
      socket.removeAllListeners('data')
      socket.pause()
    }
  }

  /**
   * Takes the VM down, which closes all connections and refuses new ones, or brings it up again.
   * @param down - whether the VM is down
   */
  setDown (down: boolean): void {
    this.down = down
    if (!down) return
    this.interruptedRequests += this.running
    for (const socket of this.sockets) socket.destroy()
  }

  private async handleRequest (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://executor')
    if (url.pathname === '/_report') return json(res, { starts: this.starts, overrun: this.maxSlotOverrun(), maxConnections: this.maxConnections, running: this.running })
    if (url.pathname === '/_drain') {
      this.draining = url.searchParams.get('on') !== '0'
      return json(res, {})
    }
    const chunks: Buffer[] = []
    for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk)
    if (this.draining) {
      res.writeHead(503, { 'wisteriaslip-not-run': '1', 'content-length': '0' })
      res.end()
      return
    }
    await this.run(req, res, url, Buffer.concat(chunks))
  }

  private async run (req: IncomingMessage, res: ServerResponse, url: URL, body: Buffer): Promise<void> {
    const requestId = String(req.headers['wisteriaslip-request-id'])
    const op = String(req.headers['x-op'] ?? '')
    this.starts.push({ op, requestId, target: this.name })
    this.running += 1
    this.maxRunning = Math.max(this.maxRunning, this.running)
    const fault = url.searchParams.get('fault')
    const closed = new Promise(resolve => res.once('close', resolve))
    const runTimer = new Promise(resolve => setTimeout(resolve, Number(url.searchParams.get('ms') ?? 5)))
    await Promise.race([runTimer, closed])
    if (fault === 'silent') await closed
    this.running -= 1
    const padding = 'x'.repeat(Number(url.searchParams.get('bytes') ?? 0))
    const responseBody = JSON.stringify({ op, target: this.name, echo: body.toString(), padding })
    const replyRequestId = fault === 'crossed' ? this.lastRequestId : requestId
    this.lastRequestId = requestId
    res.writeHead(200, { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(responseBody)), 'wisteriaslip-request-id': replyRequestId })
    if (fault !== 'die') {
      res.end(responseBody)
      return
    }
    res.write(responseBody.slice(0, responseBody.length >> 1))
    setTimeout(() => res.destroy(), 5)
  }
}

function json (res: ServerResponse, body: unknown): void {
  res.writeHead(200, { 'content-type': 'application/json' })
  res.end(JSON.stringify(body))
}
