import type { Logger } from '@wisteriaslip/core.logger'
import type { Metrics } from '@wisteriaslip/core.metrics'
import type { GuardedConnection } from './guarded-connection.ts'
import { Turns } from './turns.ts'

const BYTES_PER_MB = 1_048_576
/** The rest is for the process itself, what is accepted, and buffers that are not collected yet. */
const CLIENTS_SHARE_OF_MEMORY = 0.2
/** Below this part of the budget connections are no longer closed for it. */
const RELIEVED_SHARE = 0.9
/** Descriptors of files and of the runtime. */
const FILE_FDS = 200
/** The rest is for peers, store, workers, readiness and metrics. */
const CLIENTS_SHARE_OF_FDS = 0.75
const SWEEP_INTERVAL_MS = 1_000
const LOG_INTERVAL_MS = 1_000

/** Limits of memory in MB and of descriptors where the settings name none. */
export const defaultProcessLimits = { memoryMb: 350, maxFds: 4_100 } as const

/** Why a connection was closed, or a request refused (`overload`). */
export const closeReasons = {
  /** More bytes in progress than the budget. */
  bytes: 'bytes',
  /** More connections than the limit. */
  connections: 'connections',
  /** A body that makes no progress. */
  stalled: 'stalled',
  /** A response that nobody reads. */
  unread: 'unread',
  /** A body that goes on although it is too large. */
  endless: 'endless',
  /** The server failed to read on. */
  failed: 'failed',
  overload: 'overload'
} as const

/** One of {@link closeReasons}. */
export type CloseReason = typeof closeReasons[keyof typeof closeReasons]

/** Connections that share a limit on their number. */
export interface ConnectionGroup {
  readonly max: number
  readonly connections: Set<GuardedConnection>
}

/** Options of {@link ClientLimits}. */
export interface ClientLimitsOpts {
  /** Memory limit of the process in MB. */
  readonly memoryMb?: number | undefined
  /** Limit of descriptors of the process. */
  readonly maxFds?: number | undefined
  readonly logger?: Logger
}

/** What all clients of a process may hold together: bytes in progress, and connections. */
export class ClientLimits {
  readonly turns = new Turns()
  /** Connections of callers. */
  readonly callers: ConnectionGroup
  private readonly budgetBytes: number
  private readonly logger: Logger | undefined
  private readonly groups: ConnectionGroup[] = []
  private readonly closed = new Map<CloseReason, number>()
  private readonly logged = new Map<CloseReason, { readonly at: number, readonly count: number }>()
  private usedBytes = 0

  constructor ({ memoryMb = defaultProcessLimits.memoryMb, maxFds = defaultProcessLimits.maxFds, logger }: ClientLimitsOpts = {}) {
    this.budgetBytes = Math.floor(memoryMb * BYTES_PER_MB * CLIENTS_SHARE_OF_MEMORY)
    this.callers = this.group(Math.max(1, Math.floor((maxFds - FILE_FDS) * CLIENTS_SHARE_OF_FDS)))
    this.logger = logger
    setInterval(() => this.sweep(), SWEEP_INTERVAL_MS).unref()
  }

  /**
   * @param max - largest number of connections
   * @returns a group of connections with a limit of its own
   */
  group (max: number): ConnectionGroup {
    const group = { max, connections: new Set<GuardedConnection>() }
    this.groups.push(group)
    return group
  }

  /** @param metrics - registry that shows bytes in progress, connections, and closed connections by reason */
  report (metrics: Metrics): void {
    metrics.gauge('client_bytes_in_progress', {}, () => this.usedBytes)
    metrics.gauge('client_connections', {}, () => this.groups.reduce((sum, { connections }) => sum + connections.size, 0))
    for (const reason of Object.values(closeReasons)) metrics.gauge('client_refusals_total', { reason }, () => this.closed.get(reason) ?? 0)
  }

  /** @returns bytes in progress of all connections */
  bytesInProgress (): number {
    return this.usedBytes
  }

  /**
   * Counts a new connection, and closes another one if there are too many.
   * @param group - its group
   * @param connection - the connection
   */
  add (group: ConnectionGroup, connection: GuardedConnection): void {
    if (group.connections.size >= group.max) this.close(worst([group]) ?? connection, closeReasons.connections)
    if (!connection.isClosed()) group.connections.add(connection)
  }

  /** @param connection - has ended, or is about to */
  remove (connection: GuardedConnection): void {
    for (const { connections } of this.groups) connections.delete(connection)
  }

  /**
   * Changes the bytes in progress. Above the budget, connections are closed: first those that hold most and have completed
   * no request for longest. Those whose request is being handled stay.
   * @param deltaBytes - difference
   * @returns whether the budget holds
   */
  charge (deltaBytes: number): boolean {
    this.usedBytes += deltaBytes
    if (deltaBytes <= 0 || this.usedBytes <= this.budgetBytes) return true
    while (this.usedBytes > this.budgetBytes * RELIEVED_SHARE) {
      const connection = worst(this.groups)
      if (connection === undefined) break
      this.close(connection, closeReasons.bytes)
    }
    return this.usedBytes <= this.budgetBytes
  }

  /**
   * @param reason - a request was refused, or a connection closed, for this reason
   * @param err - what the server has thrown
   */
  note (reason: CloseReason, err?: unknown): void {
    const count = (this.closed.get(reason) ?? 0) + 1
    this.closed.set(reason, count)
    const now = performance.now()
    const last = this.logged.get(reason)
    if (last !== undefined && now - last.at < LOG_INTERVAL_MS) return
    this.logged.set(reason, { at: now, count })
    this.logger?.warn({ reason, err, count: count - (last?.count ?? 0), bytes: this.usedBytes, connections: this.callers.connections.size }, 'refused clients')
  }

  private close (connection: GuardedConnection, reason: CloseReason): void {
    connection.close()
    this.note(reason)
  }

  private sweep (): void {
    const now = performance.now()
    for (const { connections } of this.groups) {
      for (const connection of [...connections]) {
        const reason = connection.overdue(now)
        if (reason !== undefined) this.close(connection, reason)
      }
    }
  }
}

/** @returns the connection to close first, undefined when a request is being handled on each */
function worst (groups: readonly ConnectionGroup[]): GuardedConnection | undefined {
  const now = performance.now()
  let found: GuardedConnection | undefined
  let highest = 0
  for (const { connections } of groups) {
    for (const connection of connections) {
      const burden = connection.burden(now)
      if (burden <= highest) continue
      highest = burden
      found = connection
    }
  }
  return found
}
