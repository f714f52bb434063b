import { connect, createServer, type Server, type Socket } from 'node:net'

/** A fault of one link. */
export interface LinkFault {
  /** Bytes of the caller are kept back until the fault ends. */
  readonly holdRequests?: boolean
  /** Bytes of the server are kept back until the fault ends. */
  readonly holdReplies?: boolean
  /** New connections are accepted and then reset. */
  readonly resetNew?: boolean
  /** Delay of all bytes in milliseconds. */
  readonly delayMs?: number
}

/** Replaces a text by another of equal length in one direction. */
export interface Replacement { readonly from: string, readonly to: string }

/** Options of {@link FaultProxy}. */
export interface FaultProxyOpts {
  readonly host: string
  readonly port: number
  /** Server to forward to. */
  readonly target: { readonly host: string, readonly port: number }
  /** Source address of the forwarded connections, which tells the server who calls. */
  readonly sourceIp: string
  readonly requests?: Replacement
  readonly replies?: Replacement
}

/** One direction of a connection: bytes in order, delayed or kept back. */
class Direction {
  private readonly queue: Array<{ readonly at: number, readonly bytes: Buffer | undefined }> = []
  private readonly to: Socket
  private readonly isHeld: () => boolean
  private readonly replacement: Replacement | undefined
  private carry = Buffer.alloc(0)
  private timer: NodeJS.Timeout | undefined

  constructor (to: Socket, isHeld: () => boolean, replacement: Replacement | undefined) {
    this.to = to
    this.isHeld = isHeld
    this.replacement = replacement
  }

  /** @param bytes - bytes to forward; undefined for the end of the stream */
  push (bytes: Buffer | undefined, delayMs: number): void {
    const previousAt = this.queue.at(-1)?.at ?? 0
    this.queue.push({ at: Math.max(previousAt, performance.now() + delayMs), bytes })
    this.pump()
  }

  /** Discards what has not been forwarded. */
  clear (): void {
    this.queue.length = 0
    clearTimeout(this.timer)
  }

  /** Forwards what is due. */
  pump (): void {
    clearTimeout(this.timer)
    for (;;) {
      const next = this.queue[0]
      if (next === undefined || this.isHeld()) return
      const waitMs = next.at - performance.now()
      if (waitMs > 0) {
        this.timer = setTimeout(() => this.pump(), waitMs)
        return
      }
      this.queue.shift()
      if (next.bytes === undefined) this.to.end()
      else if (this.to.writable) this.to.write(this.replace(next.bytes))
    }
  }

  /** Replaces whole occurrences; an occurrence that a chunk cuts is completed with the next chunk. */
  private replace (bytes: Buffer): Buffer {
    if (this.replacement === undefined) return bytes
    const { from, to } = this.replacement
    const text = Buffer.concat([this.carry, bytes]).toString('latin1').replaceAll(from, to)
    let kept = Math.min(from.length - 1, text.length)
    while (kept > 0 && !from.startsWith(text.slice(text.length - kept))) kept -= 1
    this.carry = Buffer.from(text.slice(text.length - kept), 'latin1')
    return Buffer.from(text.slice(0, text.length - kept), 'latin1')
  }
}

interface Channel { readonly client: Socket, readonly server: Socket, readonly directions: readonly Direction[], silent: boolean }

/** Forwards the connections of one caller to one server, with faults. Faults may overlap. */
export class FaultProxy {
  private readonly opts: FaultProxyOpts
  private readonly listener: Server
  private readonly channels = new Set<Channel>()
  private readonly faults = new Set<LinkFault>()

  /** @param opts - addresses and replacements */
  constructor (opts: FaultProxyOpts) {
    this.opts = opts
    this.listener = createServer({ allowHalfOpen: true, noDelay: true }, client => this.accept(client))
  }

  /** Begins to listen. */
  async listen (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.listener.once('error', reject)
      this.listener.listen(this.opts.port, this.opts.host, resolve)
    })
  }

  /** Closes the listener and all connections. */
  close (): void {
    this.listener.close()
    this.reset()
  }

  /**
   * Begins a fault.
   * @param fault - the fault
   * @returns ends the fault
   */
  begin (fault: LinkFault): () => void {
    this.faults.add(fault)
    return () => {
      this.faults.delete(fault)
      for (const { directions } of this.channels) for (const direction of directions) direction.pump()
    }
  }

  /** Resets all present connections. */
  reset (): void {
    for (const { client, server, directions } of [...this.channels]) {
      for (const direction of directions) direction.clear()
      resetSocket(client)
      resetSocket(server)
    }
  }

  /** Makes the present connections silent for good; new ones work. */
  silencePresent (): void {
    for (const channel of this.channels) channel.silent = true
  }

  private has (name: 'holdRequests' | 'holdReplies' | 'resetNew'): boolean {
    return [...this.faults].some(fault => fault[name] === true)
  }

  private delayMs (): number {
    return Math.max(0, ...[...this.faults].map(fault => fault.delayMs ?? 0))
  }

  private accept (client: Socket): void {
    client.on('error', () => {})
    if (this.has('resetNew')) {
      resetSocket(client)
      return
    }
    const { target, sourceIp, requests, replies } = this.opts
    const server = connect({ ...target, localAddress: sourceIp, allowHalfOpen: true, noDelay: true })
    const channel: Channel = {
      client,
      server,
      silent: false,
      directions: [
        new Direction(server, () => channel.silent || this.has('holdRequests'), requests),
        new Direction(client, () => channel.silent || this.has('holdReplies'), replies)
      ]
    }
    this.channels.add(channel)
    this.forward(client, server, channel, 0)
    this.forward(server, client, channel, 1)
  }

  private forward (from: Socket, to: Socket, channel: Channel, number: 0 | 1): void {
    const direction = channel.directions[number]
    from.on('data', bytes => direction?.push(bytes, this.delayMs()))
    from.on('end', () => direction?.push(undefined, this.delayMs()))
    from.on('error', () => {
      const isHeld = channel.silent || this.has(number === 0 ? 'holdRequests' : 'holdReplies')
      direction?.clear()
      if (isHeld) direction?.push(undefined, 0)
      else resetSocket(to)
    })
    from.on('close', () => { if (to.destroyed) this.channels.delete(channel) })
  }
}

/** A socket whose end is being sent cannot be reset: it would never be closed. */
function resetSocket (socket: Socket): void {
  if (socket.writableEnded) socket.destroy()
  else socket.resetAndDestroy()
}
