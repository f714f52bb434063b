import { Client } from 'undici'
import { onAbort } from '@wisteriaslip/core.result'

const IDLE_CONNECTION_TIMEOUT_MS = 30_000

interface Waiter {
  resolve (connection: Client): void
  reject (error: Error): void
}

/**
 * Connections to one peer, each used by one exchange at a time. A failed exchange closes its own connection and those that
 * are idle, which may be dead for the same reason; the others prove themselves by the exchanges in progress on them.
 */
export class Connections {
  private readonly origin: string
  private readonly maxConnections: number
  private readonly busy = new Set<Client>()
  private readonly idle: Client[] = []
  private readonly waiters = new Set<Waiter>()

  /**
   * @param origin - scheme, host and port of the peer
   * @param maxConnections - maximum number of connections; further exchanges wait
   */
  constructor (origin: string, maxConnections: number) {
    this.origin = origin
    this.maxConnections = maxConnections
  }

  /**
   * Runs an exchange on a connection of its own, which is opened on its first use.
   * @param signal - ends the exchange at once, whatever the state of its connection; what is not sent by then is never sent
   * @param exchange - sends a request and reads the complete response
   * @returns the result of the exchange
   * @throws the error of the exchange, or one when the signal aborts or the connections are closed
   */
  async run<T> (signal: AbortSignal, exchange: (connection: Client) => Promise<T>): Promise<T> {
    signal.throwIfAborted()
    const connection = this.take() ?? await this.wait(signal)
    const removeListener = onAbort(signal, () => destroy(connection, signal))
    try {
      const result = await exchange(connection)
      this.release(connection)
      return result
    } catch (error) {
      this.discard(connection)
      throw error
    } finally {
      removeListener()
    }
  }

  /** @returns number of connections, busy or idle */
  count (): number {
    return this.busy.size + this.idle.length
  }

  /** Closes all connections. Exchanges in progress fail, and those that wait are not begun. */
  async close (): Promise<void> {
    const error = new Error('connections closed')
    for (const waiter of this.waiters) waiter.reject(error)
    this.waiters.clear()
    await Promise.all([...this.busy, ...this.idle.splice(0)].map(async connection => await connection.destroy()))
  }

  private take (): Client | undefined {
    const connection = this.idle.pop() ?? this.create()
    if (connection !== undefined) this.busy.add(connection)
    return connection
  }

  private create (): Client | undefined {
    if (this.count() >= this.maxConnections) return undefined
    return new Client(this.origin, { pipelining: 1, keepAliveTimeout: IDLE_CONNECTION_TIMEOUT_MS })
  }

  private async wait (signal: AbortSignal): Promise<Client> {
    let removeListener = (): void => {}
    try {
      return await new Promise((resolve, reject) => {
        const waiter = { resolve, reject }
        this.waiters.add(waiter)
        removeListener = onAbort(signal, () => {
          this.waiters.delete(waiter)
          reject(toError(signal))
        })
      })
    } finally {
      removeListener()
    }
  }

  private release (connection: Client): void {
    this.busy.delete(connection)
    if (!connection.destroyed) this.idle.push(connection)
    this.serveWaiter()
  }

  private discard (connection: Client): void {
    this.busy.delete(connection)
    for (const dead of [connection, ...this.idle.splice(0)]) destroy(dead)
    this.serveWaiter()
  }

  private serveWaiter (): void {
    const [waiter] = this.waiters
    const connection = waiter === undefined ? undefined : this.take()
    if (waiter === undefined || connection === undefined) return
    this.waiters.delete(waiter)
    waiter.resolve(connection)
  }
}

function destroy (connection: Client, signal?: AbortSignal): void {
  connection.destroy(signal === undefined ? null : toError(signal)).catch(() => {})
}

function toError (signal: AbortSignal): Error {
  return signal.reason instanceof Error ? signal.reason : new Error('call aborted')
}
