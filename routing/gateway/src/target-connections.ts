import { err, ok, type Clock, type Result } from '@wisteriaslip/core.result'
import { Connection, type SendError } from './connection.ts'

/** An idle connection older than this may have gone silent: a non-idempotent request opens a new one instead. */
const FRESH_MS = 250
/** An idle connection is closed after this time. */
const IDLE_MS = 15_000
/** A target whose connections fail is left alone for this long. */
const SUSPECT_MS = 500
const FAILURES_TO_SUSPECT = 2

/** Options of the connections to one target. */
export interface TargetConnectionsOpts {
  readonly address: { readonly host: string, readonly port: number }
  /** This entry's share of the target's connections. */
  readonly limit: number
  readonly clock: Clock
}

/** Connections of this entry to one target. */
export class TargetConnections {
  private readonly opts: TargetConnectionsOpts
  private readonly idle: Connection[] = []
  private open = 0
  private failures = 0
  private suspectUntil = Number.NEGATIVE_INFINITY
  private distrustBefore = Number.NEGATIVE_INFINITY

  constructor (opts: TargetConnectionsOpts) {
    this.opts = opts
  }

  /** @returns whether recent attempts give no reason to leave the target alone */
  healthy (): boolean {
    return this.opts.clock.now() >= this.suspectUntil
  }

  /** @returns open connections, idle and in use */
  count (): number {
    return this.open
  }

  /**
   * Takes an idle connection, or opens one. A non-idempotent request gets only one that worked a moment ago or is new.
   * @param idempotent - whether the request may be sent twice
   * @param signal - gives up
   * @returns a connection for one request; a failure proves that nothing was sent
   */
  async take (idempotent: boolean, signal: AbortSignal): Promise<Result<Connection, SendError>> {
    const known = this.takeIdle(idempotent)
    if (known !== undefined) return ok(known)
    if (this.open >= this.opts.limit) this.closeOneIdle()
    if (this.open >= this.opts.limit) return err({ kind: 'connect-failed', sent: false, message: 'all connections of this entry are in use' })
    this.open += 1
    const opened = await Connection.open(this.opts.address, { now: this.opts.clock.now(), signal })
    if (opened.ok) {
      this.failures = 0
      return opened
    }
    this.open -= 1
    if (!signal.aborted) this.noteFailure()
    return opened
  }

  /**
   * Gives back a connection after a whole exchange.
   * @param connection - that was taken
   * @param reusable - false when either end wants it closed
   */
  giveBack (connection: Connection, reusable: boolean): void {
    connection.proved(this.opts.clock.now())
    if (reusable && !connection.closed()) {
      this.idle.push(connection)
      return
    }
    this.drop(connection)
  }

  /**
   * Closes a connection that failed. After a time-out its idle siblings are no longer trusted, though the target is.
   * @param connection - that was taken
   * @param silent - whether it timed out
   */
  fail (connection: Connection, silent: boolean): void {
    this.drop(connection)
    if (silent) this.distrustBefore = this.opts.clock.now()
  }

  /** Closes connections that were idle for long. */
  closeExpired (): void {
    const before = this.opts.clock.now() - IDLE_MS
    for (const connection of [...this.idle]) {
      if (connection.lastUsed() < before || connection.closed()) this.closeIdle(connection)
    }
  }

  /** Closes all idle connections. Those in use end with their requests. */
  close (): void {
    for (const connection of [...this.idle]) this.closeIdle(connection)
  }

  private takeIdle (idempotent: boolean): Connection | undefined {
    const freshSince = this.opts.clock.now() - FRESH_MS
    while (this.idle.length > 0) {
      const connection = this.idle[this.idle.length - 1]
      if (connection === undefined) return undefined
      if (connection.closed() || connection.lastUsed() <= this.distrustBefore) {
        this.closeIdle(connection)
        continue
      }
      if (!idempotent && connection.lastUsed() < freshSince) return undefined
      this.idle.pop()
      return connection
    }
    return undefined
  }

  private closeOneIdle (): void {
    const oldest = this.idle[0]
    if (oldest !== undefined) this.closeIdle(oldest)
  }

  private closeIdle (connection: Connection): void {
    const index = this.idle.indexOf(connection)
    if (index !== -1) this.idle.splice(index, 1)
    this.drop(connection)
  }

  private drop (connection: Connection): void {
    connection.close()
    this.open -= 1
  }

  private noteFailure (): void {
    this.failures += 1
    if (this.failures < FAILURES_TO_SUSPECT) return
    this.suspectUntil = this.opts.clock.now() + SUSPECT_MS
  }
}
