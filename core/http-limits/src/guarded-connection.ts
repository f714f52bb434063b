import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { closeReasons, type ClientLimits, type CloseReason } from './client-limits.ts'

/** What a connection costs that holds nothing: socket, parser, buffers. */
const CONNECTION_BYTES = 8_192
/** Names and values of headers are strings and array elements of their own. */
const COST_OF_HEADER_BYTE = 10
/** While a connection is paused its socket may have read as much again. */
const COST_OF_PENDING_BYTE = 2
/** In the smallest chunks this is about a millisecond of work. */
const SLICE_BYTES = 4_096
const HEAD_END = Buffer.from('\r\n\r\n')
/** A body of which nothing comes for this long is given up; interruptions of links are shorter. */
const STALLED_MS = 15_000
/** A response of which nothing is read for this long is given up. */
const UNREAD_MS = 30_000

type Listener = (chunk: Buffer) => void

/**
 * Reads a connection no further than its requests are answered, in slices that end where the headers of a request may end,
 * so that a slice holds one request at most. What is read ahead waits here, and the socket is paused.
 */
export class GuardedConnection {
  private readonly socket: Socket
  private readonly limits: ClientLimits
  private readonly feed: Listener
  private readonly resumeSocket: () => Socket
  private pending: Buffer[] = []
  private pendingBytes = 0
  /** Headers in progress. */
  private headBytes = 0
  /** Headers of the request that was begun last, until it is answered. */
  private begunHeadBytes = 0
  private bodyBytes = 0
  private charged = 0
  private unanswered = 0
  private request: IncomingMessage | undefined
  private paused = false
  private closed = false
  /** When the last request was completed, or the connection opened. */
  private completedAt = performance.now()
  private receivedAt = performance.now()
  private unreadBytes = 0
  private unreadSince = 0
  private readonly pump = (): void => this.read()

  /**
   * @param socket - connection of a server that has added its listener for data
   * @param limits - limits of the process
   */
  constructor (socket: Socket, limits: ClientLimits) {
    this.socket = socket
    this.limits = limits
    const [feed] = socket.listeners('data') as Listener[]
    this.feed = feed ?? (() => {})
    const resume = socket.resume
    this.resumeSocket = () => resume.call(socket)
    // The server resumes the socket for each piece of a body.
    socket.resume = () => this.paused ? socket : this.resumeSocket()
    if (feed !== undefined) {
      socket.removeListener('data', feed)
      socket.on('data', (chunk: Buffer) => this.receive(chunk))
    }
    socket.on('drain', this.pump)
    socket.once('close', () => this.release())
    this.charge()
  }

  /** @returns whether the connection has ended */
  isClosed (): boolean {
    return this.closed
  }

  /** Closes the connection at once. */
  close (): void {
    this.release()
    this.socket.destroy()
  }

  /**
   * @param req - a request of this connection
   * @param res - its response
   */
  begin (req: IncomingMessage, res: ServerResponse): void {
    this.request = req
    this.unanswered += 1
    this.begunHeadBytes = this.headBytes
    this.headBytes = 0
    this.charge()
    res.once('close', () => this.end())
  }

  /**
   * @param bytes - what the body of the request in progress costs in memory
   * @returns whether the budget holds
   */
  holdBody (bytes: number): boolean {
    this.bodyBytes = bytes
    return this.charge()
  }

  /** Reads on without waiting for a turn if the next request has not begun. */
  beginNow (): void {
    if (this.pendingBytes > 0 && this.unanswered === 0) this.read()
  }

  /** Closes the connection, whose body goes on although it is too large. */
  closeEndless (): void {
    this.close()
    this.limits.note(closeReasons.endless)
  }

  /** A request of this connection is refused as the budget does not hold. */
  noteOverload (): void {
    this.limits.note(closeReasons.overload)
  }

  /** @returns how much the connection burdens the process: bytes times milliseconds without a completed request; 0 while one is handled */
  burden (now: number): number {
    if (this.unanswered > 0 && this.request?.complete === true && this.socket.writableLength === 0) return 0
    return this.charged * (now - this.completedAt + 1)
  }

  /** @returns why the connection is to be closed by now, undefined if it may stay */
  overdue (now: number): CloseReason | undefined {
    if (this.request?.complete === false && this.pendingBytes === 0 && now - this.receivedAt > STALLED_MS) return closeReasons.stalled
    if (this.socket.writableLength === 0 || this.socket.writableLength !== this.unreadBytes) {
      this.unreadBytes = this.socket.writableLength
      this.unreadSince = now
    }
    return this.unreadBytes > 0 && now - this.unreadSince > UNREAD_MS ? closeReasons.unread : undefined
  }

  private receive (chunk: Buffer): void {
    if (this.closed) return
    this.receivedAt = performance.now()
    this.pending.push(chunk)
    this.pendingBytes += chunk.length
    if (this.paused) this.charge()
    else if (this.limits.turns.isPressed()) this.waitForTurn()
    else this.read()
  }

  private read (): void {
    let readBytes = 0
    while (this.pendingBytes > 0 && !this.closed && this.mayReadOn()) {
      const before = this.request
      const slice = this.nextSlice()
      if (this.request === undefined || this.request.complete) this.headBytes += slice.length
      if (!this.tryFeed(slice)) return
      readBytes += slice.length
      if (this.socket.destroyed) return this.close()
      // The server responds to some requests without an event.
      const ended = this.request === before && (before === undefined || before.complete)
      if (this.pendingBytes > 0 && this.mayReadOn() && (ended || (readBytes >= SLICE_BYTES && !this.limits.turns.hasTime()))) return this.waitForTurn()
    }
    if (this.closed) return
    if (this.pendingBytes > 0) this.pause()
    else this.resume()
    this.charge()
  }

  /** Hands bytes to the server. What it can't read must not end the process: the connection is closed then. */
  private tryFeed (slice: Buffer): boolean {
    try {
      this.feed(slice)
      return true
    } catch (error) {
      this.close()
      this.limits.note(closeReasons.failed, error)
      return false
    }
  }

  /** A second request may be begun, but not read on, before the first one is answered. The server takes nothing while its answers wait to be read. */
  private mayReadOn (): boolean {
    if (this.socket.writableNeedDrain) return false
    return this.unanswered === 0 || (this.unanswered === 1 && this.request?.complete === false)
  }

  private nextSlice (): Buffer {
    const chunk = this.pending[0] as Buffer
    const at = chunk.subarray(0, SLICE_BYTES).indexOf(HEAD_END)
    const end = at < 0 ? Math.min(SLICE_BYTES, chunk.length) : at + HEAD_END.length
    if (end === chunk.length) this.pending.shift()
    else this.pending[0] = chunk.subarray(end)
    this.pendingBytes -= end
    return chunk.subarray(0, end)
  }

  private waitForTurn (): void {
    this.pause()
    this.charge()
    if (!this.closed) this.limits.turns.wait(this.pump)
  }

  private end (): void {
    this.unanswered -= 1
    this.completedAt = performance.now()
    this.begunHeadBytes = 0
    this.bodyBytes = 0
    if (this.closed) return
    if (this.pendingBytes > 0) this.limits.turns.wait(this.pump)
    else this.charge()
  }

  private pause (): void {
    if (this.paused) return
    this.paused = true
    this.socket.pause()
  }

  private resume (): void {
    if (!this.paused) return
    this.paused = false
    this.resumeSocket()
  }

  private charge (): boolean {
    if (this.closed) return true
    const bytes = CONNECTION_BYTES + this.pendingBytes * COST_OF_PENDING_BYTE + (this.headBytes + this.begunHeadBytes) * COST_OF_HEADER_BYTE + this.bodyBytes
    const delta = bytes - this.charged
    this.charged = bytes
    return delta === 0 || this.limits.charge(delta)
  }

  private release (): void {
    if (this.closed) return
    this.closed = true
    this.pending = []
    this.pendingBytes = 0
    this.limits.turns.forget(this.pump)
    this.limits.remove(this)
    this.limits.charge(-this.charged)
    this.charged = 0
  }
}
