import { onAbort } from '@wisteriaslip/core.result'
import { buildConnector, Client, type Dispatcher } from 'undici'

/** Options of {@link SingleConnection}. */
export interface SingleConnectionOpts {
  readonly connectTimeoutMs: number
  /** The connection is closed after this time without a request. */
  readonly idleTimeoutMs: number
}

/**
 * A connection that is opened by its first request and never again: a request either arrives at the process that has accepted
 * the connection, or nowhere. Requests are sent in turn, each after the response to the one before.
 */
export class SingleConnection {
  private readonly client: Client
  private readonly ending = new AbortController()
  private opened = false
  private isBusy = false
  /** Requests that wait for their turn: each is told whether it has come. */
  private readonly waiting: Array<(isGranted: boolean) => void> = []

  /**
   * @param origin - scheme, host and port
   * @param opts - timeouts
   */
  constructor (origin: string, { connectTimeoutMs, idleTimeoutMs }: SingleConnectionOpts) {
    const open = buildConnector({ timeout: connectTimeoutMs })
    const connect: buildConnector.connector = (opts, callback) => {
      if (this.opened) return callback(new Error('the connection has ended'), null)
      this.opened = true
      open(opts, callback)
    }
    this.client = new Client(origin, { pipelining: 1, keepAliveTimeout: idleTimeoutMs, keepAliveMaxTimeout: idleTimeoutMs, connect })
    this.client.on('disconnect', () => this.end())
    this.client.on('connectionError', () => this.end())
  }

  /** Sends requests over the connection. */
  get dispatcher (): Dispatcher {
    return this.client
  }

  /** Aborts once the connection has ended, or could not be opened. */
  get ended (): AbortSignal {
    return this.ending.signal
  }

  /**
   * Sends a request once those before it have their responses.
   * @param signal - ends the wait for its turn, but not the request
   * @param send - sends the request over the dispatcher, and resolves or rejects when it has ended
   * @returns what `send` returns; undefined if it was not called, as the signal aborted or the connection ended before
   */
  async inTurn<T extends object> (signal: AbortSignal | undefined, send: () => Promise<T>): Promise<T | undefined> {
    if (this.isOver(signal) || !await this.takeTurn(signal)) return undefined
    try {
      return this.isOver(signal) ? undefined : await send()
    } finally {
      this.passTurn()
    }
  }

  private isOver (signal: AbortSignal | undefined): boolean {
    return signal?.aborted === true || this.ended.aborted
  }

  private async takeTurn (signal: AbortSignal | undefined): Promise<boolean> {
    if (!this.isBusy) {
      this.isBusy = true
      return true
    }
    return await new Promise<boolean>(resolve => {
      const settle = (isGranted: boolean): void => {
        const index = this.waiting.indexOf(settle)
        if (index >= 0) this.waiting.splice(index, 1)
        for (const detach of detachAll) detach()
        resolve(isGranted)
      }
      this.waiting.push(settle)
      const detachAll = [signal, this.ended].map(each => each === undefined ? () => {} : onAbort(each, () => settle(false)))
    })
  }

  private passTurn (): void {
    const next = this.waiting[0]
    if (next === undefined) this.isBusy = false
    else next(true)
  }

  /** Ends the connection. Requests in progress fail, and those that wait are not sent. */
  end (): void {
    if (this.ending.signal.aborted) return
    this.client.destroy(new Error('the connection has ended')).catch(() => {})
    this.ending.abort()
  }
}
