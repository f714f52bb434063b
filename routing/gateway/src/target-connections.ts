import { err, ok, type Clock, type Result } from '@wisteriaslip/core.result'
import { Connection, type SendError } from './connection.ts'

/** A connection that was idle for longer may be unresponsive: a non-idempotent request opens a new one instead. */
const MAX_NON_IDEMPOTENT_IDLE_MS = 250
/** An idle connection is closed after this time. */
const MAX_IDLE_MS = 15_000
/** How long a target is considered unhealthy after connecting to it has failed repeatedly. */
const UNHEALTHY_DURATION_MS = 500
const FAILURES_UNTIL_UNHEALTHY = 2

/** Options of target connections. */
export interface TargetConnectionsOpts {
  readonly address: { readonly host: string, readonly port: number }
  /** Maximum number of connections: this entry's share of the target's limit. */
  readonly limit: number
  readonly clock: Clock
}

/** Connections from this entry to one target. */
export class TargetConnections {
  private readonly opts: TargetConnectionsOpts
  private readonly idle: Connection[] = []
  private openCount = 0
  private connectFailures = 0
  private unhealthyUntil = Number.NEGATIVE_INFINITY
  private lastTimeoutAt = Number.NEGATIVE_INFINITY

  constructor (opts: TargetConnectionsOpts) {
    this.opts = opts
  }

  /** @returns false for a short time after connecting to the target has failed repeatedly, true otherwise */
  isHealthy (): boolean {
    return this.opts.clock.now() >= this.unhealthyUntil
  }

  /** @returns number of open connections, idle and in use */
  count (): number {
    return this.openCount
  }

  /**
   * Reuses an idle connection or opens a new one. A non-idempotent request gets only a connection that is new or
   * has been idle for at most {@link MAX_NON_IDEMPOTENT_IDLE_MS}.
   * @param idempotent - whether the request may be sent more than once
   * @param signal - cancels the attempt to connect
   * @returns a connection for one request; an error means that nothing was sent
   */
  async acquire (idempotent: boolean, signal: AbortSignal): Promise<Result<Connection, SendError>> {
    const idleConnection = this.acquireIdle(idempotent)
    if (idleConnection !== undefined) return ok(idleConnection)
    if (this.openCount >= this.opts.limit) this.closeOldestIdle()
    if (this.openCount >= this.opts.limit) return err({ kind: 'connect-failed', sent: false, message: 'connection limit of this entry reached' })
    this.openCount += 1
    const opened = await Connection.open(this.opts.address, { now: this.opts.clock.now(), signal })
    if (opened.ok) {
      this.connectFailures = 0
      return opened
    }
    this.openCount -= 1
    if (!signal.aborted) this.recordConnectFailure()
    return opened
  }

  /**
   * Returns a connection after a complete exchange.
   * @param connection - an acquired connection
   * @param reusable - false if either end wants to close the connection
   */
  giveBack (connection: Connection, reusable: boolean): void {
    connection.recordSuccess(this.opts.clock.now())
    if (reusable && !connection.isClosed()) {
      this.idle.push(connection)
      return
    }
    this.discard(connection)
  }

  /**
   * Closes a connection that failed. After a timeout, connections that are idle now are not reused either; the target
   * is still considered healthy.
   * @param connection - an acquired connection
   * @param timedOut - whether the request timed out
   */
  discardFailed (connection: Connection, timedOut: boolean): void {
    this.discard(connection)
    if (timedOut) this.lastTimeoutAt = this.opts.clock.now()
  }

  /** Closes connections that have been idle for too long. */
  closeExpired (): void {
    const minLastUsedAt = this.opts.clock.now() - MAX_IDLE_MS
    for (const connection of [...this.idle]) {
      if (connection.lastUsedAt() < minLastUsedAt || connection.isClosed()) this.closeIdle(connection)
    }
  }

  /** Closes all idle connections. Connections in use are not affected. */
  close (): void {
    for (const connection of [...this.idle]) this.closeIdle(connection)
  }

  private acquireIdle (idempotent: boolean): Connection | undefined {
    const minLastUsedAt = this.opts.clock.now() - MAX_NON_IDEMPOTENT_IDLE_MS
    while (this.idle.length > 0) {
      const connection = this.idle[this.idle.length - 1]
      if (connection === undefined) return undefined
      if (connection.isClosed() || connection.lastUsedAt() <= this.lastTimeoutAt) {
        this.closeIdle(connection)
        continue
      }
      if (!idempotent && connection.lastUsedAt() < minLastUsedAt) return undefined
      this.idle.pop()
      return connection
    }
    return undefined
  }

  private closeOldestIdle (): void {
    const oldest = this.idle[0]
    if (oldest !== undefined) this.closeIdle(oldest)
  }

  private closeIdle (connection: Connection): void {
    const index = this.idle.indexOf(connection)
    if (index !== -1) this.idle.splice(index, 1)
    this.discard(connection)
  }

  private discard (connection: Connection): void {
    connection.close()
    this.openCount -= 1
  }

  private recordConnectFailure (): void {
    this.connectFailures += 1
    if (this.connectFailures < FAILURES_UNTIL_UNHEALTHY) return
    this.unhealthyUntil = this.opts.clock.now() + UNHEALTHY_DURATION_MS
  }
}
