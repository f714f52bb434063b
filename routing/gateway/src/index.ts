/**
 * HTTP interface for callers, and the connections to targets that requests are forwarded over.
 * @module
 */
export { Gateway, type GatewayOpts } from './gateway.ts'
export { TargetConnections, type TargetConnectionsOpts } from './target-connections.ts'
export { Connection, type TargetResponse, type SendError, type TargetRequest } from './connection.ts'
export type { ClaimOwner } from './claims.ts'
export { PoolRuntime, type PoolRuntimeOpts } from './pool-runtime.ts'
export { errorResponses, type ErrorResponse } from './error-responses.ts'
