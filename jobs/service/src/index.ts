/**
 * A leader's term for one service: takeover from the previous leader, worker sessions and durable records.
 * @module
 */
export { computeServiceLoad } from './load.ts'
export { endOldWithdrawals, withdrawWorkers } from './withdrawals.ts'
export { SerialPermitClient } from './serial-permit-client.ts'
export { ServiceTerm } from './term.ts'
export type { ServiceTermOpts } from './ports.ts'
