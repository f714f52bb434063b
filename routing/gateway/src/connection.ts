import { connect, type Socket } from 'node:net'
import { Client, type Dispatcher } from 'undici'
import { err, linkAbort, ok, type LinkedAbort, type Result } from '@wisteriaslip/core.result'

const CONNECT_TIMEOUT_MS = 500
const HEADER_LIMIT_BYTES = 32 * 1024

/** A request as it goes to a target. */
export interface TargetRequest {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string | string[]>>
  readonly body: Buffer
  /** Longest time until the whole answer, in milliseconds. */
  readonly maxRunMs: number
  readonly signal: AbortSignal
}

/** Status and headers of an answer, and its body still to be read. */
export interface Answer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Dispatcher.ResponseData['body']
}

/** What went wrong on the way to a target. `sent` says whether any byte of the request may have reached it. */
export type SendError =
  | { readonly kind: 'connect-failed', readonly sent: false, readonly message: string }
  | { readonly kind: 'broken', readonly sent: true, readonly message: string }
  | { readonly kind: 'timed-out', readonly sent: true, readonly message: string }
  | { readonly kind: 'unbounded-answer', readonly sent: true, readonly message: string }

/** One TCP connection to a target. It is never reconnected; after any fault it is closed for good. */
export class Connection {
  private readonly client: Client
  private readonly socket: Socket
  private usedAt: number
  private run: LinkedAbort | undefined

  private constructor (socket: Socket, origin: string, now: number) {
    this.socket = socket
    this.usedAt = now
    let given = false
    this.client = new Client(origin, {
      pipelining: 1,
      maxHeaderSize: HEADER_LIMIT_BYTES,
      connect: (_options, callback) => {
        if (given || socket.destroyed) {
          callback(new Error('connection is used up'), null)
          return
        }
        given = true
        callback(null, socket)
      }
    })
  }

  /**
   * Opens a connection.
   * @param address - of the target
   * @param opts - present time by the caller's clock, and a signal that gives up
   * @returns the connection; a failure proves that nothing was sent
   */
  static async open (address: { host: string, port: number }, opts: { now: number, signal: AbortSignal }): Promise<Result<Connection, SendError>> {
    return await new Promise(resolve => {
      const socket = connect({ host: address.host, port: address.port, noDelay: true })
      const fail = (message: string): void => {
        clearTimeout(timer)
        opts.signal.removeEventListener('abort', onAbort)
        socket.destroy()
        resolve(err({ kind: 'connect-failed', sent: false, message }))
      }
      const onAbort = (): void => fail('given up')
      const timer = setTimeout(() => fail('connect timed out'), CONNECT_TIMEOUT_MS)
      opts.signal.addEventListener('abort', onAbort, { once: true })
      socket.once('error', error => fail(error.message))
      socket.once('connect', () => {
        clearTimeout(timer)
        opts.signal.removeEventListener('abort', onAbort)
        socket.removeAllListeners('error')
        socket.on('error', () => {})
        resolve(ok(new Connection(socket, `http://${address.host}:${address.port}`, opts.now)))
      })
    })
  }

  /** @returns when it last proved to work */
  lastUsed (): number {
    return this.usedAt
  }

  /** @returns whether either end has closed it */
  closed (): boolean {
    return this.socket.destroyed || !this.socket.readable || this.client.destroyed || this.client.closed
  }

  /**
   * Sends a request. Whatever the error, it must be taken as having reached the target.
   * @param req - the request
   * @returns the answer, whose end is marked by a length or by chunks
   */
  async send (req: TargetRequest): Promise<Result<Answer, SendError>> {
    const run = linkAbort(req.signal, req.maxRunMs)
    const { signal } = run
    this.run = run
    try {
      const res = await this.client.request({
        method: req.method as Dispatcher.HttpMethod,
        path: req.path,
        headers: req.headers as Record<string, string | string[]>,
        body: req.body.length === 0 ? null : req.body,
        signal,
        headersTimeout: 0,
        bodyTimeout: 0
      })
      if (!hasEnd(req.method, res)) {
        res.body.on('error', () => {})
        this.close()
        return err({ kind: 'unbounded-answer', sent: true, message: 'the answer has neither a length nor chunks' })
      }
      return ok({ status: res.statusCode, headers: res.headers, body: res.body })
    } catch (error) {
      this.close()
      const kind = signal.aborted ? 'timed-out' : 'broken'
      return err({ kind, sent: true, message: (error as Error).message })
    }
  }

  /**
   * Notes that a whole exchange went well.
   * @param now - present time by the caller's clock
   */
  proved (now: number): void {
    this.run?.release()
    this.usedAt = now
  }

  /** Closes the connection at once. */
  close (): void {
    this.run?.release()
    this.client.destroy().catch(() => {})
    this.socket.destroy()
  }
}

function hasEnd (method: string, res: Dispatcher.ResponseData): boolean {
  if (method === 'HEAD' || res.statusCode === 204 || res.statusCode === 304) return true
  if (res.headers['content-length'] !== undefined) return true
  return String(res.headers['transfer-encoding'] ?? '').toLowerCase().includes('chunked')
}
