/**
 * Operators' HTTP interface of an entry.
 * @module
 */
export { createOperatorServer, type OperatorServerOpts } from './server.ts'
export type { EntryStatus, Explanation, MemberStatus, WaveStatus } from './status.ts'
