/**
 * Limits on what a process holds for its HTTP clients.
 * @module
 */
export { ClientLimits, defaultProcessLimits, type ClientLimitsOpts, type ConnectionGroup } from './client-limits.ts'
export { guardServer, limitedServerOptions } from './guard-server.ts'
export { readBody, type BodyResult, type ReadBodyOpts } from './read-body.ts'
