/**
 * The platform's key-value service as the rest of the product sees it.
 * @module
 */
export type { Change, Driver, DriverTxn, Guard, KeyRange, RangeOpts, RawKeyValue, Store, Versioned, WatchBatch, WatchOpts } from './types.ts'
export type { DriverError, StoreError } from './errors.ts'
export { StoreClient, type StoreClientOpts } from './client.ts'
export { toVersioned, decodeEnvelope, encodeEnvelope } from './envelope.ts'
export { Breaker } from './breaker.ts'
export { CallBudget } from './budget.ts'
