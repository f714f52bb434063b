import { connect, type Socket } from 'node:net'
import { Client, type Dispatcher } from 'undici'
import { err, linkAbort, ok, type LinkedAbort, type Result } from '@wisteriaslip/core.result'

const CONNECT_TIMEOUT_MS = 500
const MAX_RESPONSE_HEADER_BYTES = 32 * 1024

/** A request to a target. */
export interface TargetRequest {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string | string[]>>
  readonly body: Buffer
  /** Maximum time until the complete response has been received, in milliseconds. */
  readonly maxRunMs: number
  readonly signal: AbortSignal
}

/** A target's response whose body has not been read yet. */
export interface TargetResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Dispatcher.ResponseData['body']
}

/**
 * Why a request to a target failed. `sent` says whether any part of the request may have reached the target. `timed-out`
 * also covers a request whose signal aborted.
 */
export type SendError =
  | { readonly kind: 'connect-failed', readonly sent: false, readonly message: string }
  | { readonly kind: 'broken', readonly sent: true, readonly message: string }
  | { readonly kind: 'timed-out', readonly sent: true, readonly message: string }
  | { readonly kind: 'unbounded-answer', readonly sent: true, readonly message: string }

/** One TCP connection to a target. It is never reconnected; after an error it is closed permanently. */
export class Connection {
  private readonly client: Client
  private readonly socket: Socket
  private usedAt: number
  private requestAbort: LinkedAbort | undefined

  private constructor (socket: Socket, origin: string, now: number) {
    this.socket = socket
    this.usedAt = now
    let socketUsed = false
    this.client = new Client(origin, {
      pipelining: 1,
      maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
      connect: (_options, callback) => {
        if (socketUsed || socket.destroyed) {
          callback(new Error('connection cannot be reopened'), null)
          return
        }
        socketUsed = true
        callback(null, socket)
      }
    })
  }

  /**
   * Opens a connection.
   * @param address - address of the target
   * @param opts - current time in milliseconds, and a signal that cancels the attempt
   * @returns the connection; an error means that nothing was sent
   */
  static async open (address: { host: string, port: number }, opts: { now: number, signal: AbortSignal }): Promise<Result<Connection, SendError>> {
    return await new Promise(resolve => {
      const socket = createSocket(address)
      if (typeof socket === 'string') {
        resolve(err({ kind: 'connect-failed', sent: false, message: socket }))
        return
      }
      const fail = (message: string): void => {
        clearTimeout(timer)
        opts.signal.removeEventListener('abort', onAbort)
        socket.destroy()
        resolve(err({ kind: 'connect-failed', sent: false, message }))
      }
      const onAbort = (): void => fail('connect aborted')
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

  /** @returns when the connection was opened or last completed an exchange, in milliseconds */
  lastUsedAt (): number {
    return this.usedAt
  }

  /** @returns whether either end has closed the connection */
  isClosed (): boolean {
    return this.socket.destroyed || !this.socket.readable || this.client.destroyed || this.client.closed
  }

  /**
   * Sends a request. After any error, the request must be assumed to have reached the target.
   * @param req - the request
   * @returns the response. A response whose end is marked only by the closing of the connection is an error, since its
   *   truncation could not be detected.
   */
  async send (req: TargetRequest): Promise<Result<TargetResponse, SendError>> {
    const requestAbort = linkAbort(req.signal, req.maxRunMs)
    const { signal } = requestAbort
    this.requestAbort = requestAbort
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
      if (!isSelfDelimited(req.method, res)) {
        res.body.on('error', () => {})
        this.close()
        return err({ kind: 'unbounded-answer', sent: true, message: 'response has neither a content length nor chunked encoding' })
      }
      return ok({ status: res.statusCode, headers: res.headers, body: res.body })
    } catch (error) {
      this.close()
      const kind = signal.aborted ? 'timed-out' : 'broken'
      return err({ kind, sent: true, message: (error as Error).message })
    }
  }

  /**
   * Records that an exchange has completed successfully.
   * @param now - current time in milliseconds
   */
  recordSuccess (now: number): void {
    this.requestAbort?.release()
    this.usedAt = now
  }

  /** Closes the connection immediately. */
  close (): void {
    this.requestAbort?.release()
    this.client.destroy().catch(() => {})
    this.socket.destroy()
  }
}

function isSelfDelimited (method: string, res: Dispatcher.ResponseData): boolean {
  if (method === 'HEAD' || res.statusCode === 204 || res.statusCode === 304) return true
  if (res.headers['content-length'] !== undefined) return true
  return String(res.headers['transfer-encoding'] ?? '').toLowerCase().includes('chunked')
}

/** @returns a connecting socket, or why none can be created, such as for a port out of range */
function createSocket (address: { host: string, port: number }): Socket | string {
  try {
    return connect({ host: address.host, port: address.port, noDelay: true })
  } catch (error) {
    return String(error)
  }
}
