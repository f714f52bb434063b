/**
 * Client of the platform's key-value service, independent of the protocol that a driver implements.
 * @module
 */
export type { CallOpts, Change, Driver, DriverTxn, Guard, KeyRange, RangeOpts, RawKeyValue, Store, Versioned, WatchBatch, WatchOpts } from './types.ts'
export type { DriverError, StoreError } from './errors.ts'
export { StoreClient, type StoreClientOpts } from './client.ts'
export { toVersioned, decodeEnvelope, encodeEnvelope } from './envelope.ts'
export { splitChanges } from './split-changes.ts'
export { CircuitBreaker } from './breaker.ts'
export { CallBudget } from './call-budget.ts'
