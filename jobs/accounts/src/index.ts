/**
 * Client accounts of jobs: whose key a call carries, and calls without one.
 * @module
 */
export { AccountDirectory, digestOfKey, type Authentication, type RefusalReason } from './account-directory.ts'
export { isWellFormed } from './account-name.ts'
export { summarizeAccounts, type AccountSummary } from './account-summary.ts'
export { CallGate, type Admission, type Call, type CallGateOpts } from './call-gate.ts'
export { RefusalLog } from './refusal-log.ts'
