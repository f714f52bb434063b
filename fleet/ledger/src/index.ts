/**
 * The ledger of a pool: its VMs and the places that voluntary disruptions take in its budget.
 * @module
 */
export { emptyLedger, phases, type Place, type PoolLedger, type WaveProgress } from './types.ts'
export { roomIn, takePlace, type LedgerError, type RoomOpts } from './rules.ts'
export { LedgerStore, type LedgerStoreOpts } from './ledger-store.ts'
