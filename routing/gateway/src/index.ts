/**
 * Callers' HTTP interface, and the connections to targets behind it.
 * @module
 */
export { Gateway, type GatewayOpts } from './gateway.ts'
export { TargetConnections, type TargetConnectionsOpts } from './target-connections.ts'
export { Connection, type Answer, type SendError, type TargetRequest } from './connection.ts'
export type { ClaimOwner } from './claims.ts'
export { PoolRuntime, type PoolRuntimeOpts } from './pool-runtime.ts'
export { errorReply, type ErrorReply } from './replies.ts'
