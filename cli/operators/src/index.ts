/**
 * HTTP API of an entry for operators.
 * @module
 */
export { createOperatorServer, type OperatorServerOpts } from './server.ts'
export type { EntryStatus, Explanation, MemberStatus, WaveStatus } from './status.ts'
