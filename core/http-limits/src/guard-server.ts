import type { Server, ServerOptions } from 'node:http'
import type { Socket } from 'node:net'
import type { ClientLimits, ConnectionGroup } from './client-limits.ts'
import { GuardedConnection } from './guarded-connection.ts'

const MAX_HEADER_BYTES = 16 * 1_024

/** Options for servers that strangers can reach: limits on headers, and deadlines in milliseconds. */
export const limitedServerOptions = {
  maxHeaderSize: MAX_HEADER_BYTES,
  headersTimeout: 30_000,
  requestTimeout: 60_000,
  connectionsCheckingInterval: 2_000
} as const satisfies ServerOptions

const connections = new WeakMap<Socket, GuardedConnection>()

/**
 * @param socket - socket of a request
 * @returns its connection if its server is guarded
 */
export function guardedConnection (socket: Socket): GuardedConnection | undefined {
  return connections.get(socket)
}

/**
 * Limits what clients of a server may hold. Call it before the server listens.
 * @param server - server, created with {@link limitedServerOptions}
 * @param limits - limits of the process
 * @param group - connections that share a limit on their number; those of callers by default
 */
export function guardServer (server: Server, limits: ClientLimits, group: ConnectionGroup = limits.callers): void {
  server.on('connection', (socket: Socket) => {
    const connection = new GuardedConnection(socket, limits)
    connections.set(socket, connection)
    limits.add(group, connection)
  })
  const closeIdleConnections = server.closeIdleConnections.bind(server)
  server.closeIdleConnections = () => {
    // What has arrived, but waits for its turn, is no idle connection.
    for (const connection of [...group.connections]) connection.beginNow()
    closeIdleConnections()
  }
  server.on('checkExpectation', (req, res) => {
    // The server's own answer comes without an event, so that the request would not count.
    guardedConnection(req.socket)?.begin(req, res)
    res.writeHead(417).end()
  })
  server.prependListener('request', (req, res) => guardedConnection(req.socket)?.begin(req, res))
}
