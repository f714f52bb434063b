import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** One request that the executor started. */
export interface ExecutorStart {
  readonly op: string
  readonly requestId: string
  readonly target: string
}

/**
 * Stand-in for an executor: runs requests in its slots and remembers each start.
 * Query parameters steer a request: `ms` its run time, `bytes` the size of its answer, `fault` one of
 * `die` (cut midway), `silent` (never answer), `crossed` (another request's answer).
 */
export class ExecutorStandIn {
  readonly starts: ExecutorStart[] = []
  readonly server: Server
  readonly name: string
  maxRunning = 0
  maxConnections = 0
  draining = false
  /** Requests that were under way when the VM went down. */
  cutOff = 0
  private down = false
  private readonly slots: number
  private readonly sockets = new Set<Socket>()
  private running = 0
  private connections = 0
  private lastRequestId = 'none'

  constructor (name: string, slots: number) {
    this.name = name
    this.slots = slots
    this.server = createServer((req, res) => { this.answer(req, res).catch(() => res.destroy()) })
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

  /** @returns how far the slots were ever overrun */
  overrun (): number {
    return Math.max(0, this.maxRunning - this.slots)
  }

  /** All open connections go silent for good, without a sign to either end. New ones work. */
  silence (): void {
    for (const socket of this.sockets) {
      socket.removeAllListeners('data')
      socket.pause()
    }
  }

  /**
   * The VM goes down, or is up again.
   * @param down - whether it is down
   */
  setDown (down: boolean): void {
    this.down = down
    if (!down) return
    this.cutOff += this.running
    for (const socket of this.sockets) socket.destroy()
  }

  private async answer (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://executor')
    if (url.pathname === '/_report') return json(res, { starts: this.starts, overrun: this.overrun(), maxConnections: this.maxConnections, running: this.running })
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
    const ran = new Promise(resolve => setTimeout(resolve, Number(url.searchParams.get('ms') ?? 5)))
    await Promise.race([ran, closed])
    if (fault === 'silent') await closed
    this.running -= 1
    const padding = 'x'.repeat(Number(url.searchParams.get('bytes') ?? 0))
    const answer = JSON.stringify({ op, target: this.name, echo: body.toString(), padding })
    const shownId = fault === 'crossed' ? this.lastRequestId : requestId
    this.lastRequestId = requestId
    res.writeHead(200, { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(answer)), 'wisteriaslip-request-id': shownId })
    if (fault !== 'die') {
      res.end(answer)
      return
    }
    res.write(answer.slice(0, answer.length >> 1))
    setTimeout(() => res.destroy(), 5)
  }
}

function json (res: ServerResponse, body: unknown): void {
  res.writeHead(200, { 'content-type': 'application/json' })
  res.end(JSON.stringify(body))
}
