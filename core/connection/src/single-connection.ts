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

  /** Ends the connection. Requests in progress fail, and those that wait are not sent. */
  end (): void {
    if (this.ending.signal.aborted) return
    this.client.destroy(new Error('the connection has ended')).catch(() => {})
    this.ending.abort()
  }
}
