/**
 * The ledger of a pool: its VMs and the places that voluntary disruptions take in its budget.
 * @module
 */
export { emptyLedger, disruptionPhases, type Disruption, type PoolLedger, type WaveProgress } from './types.ts'
export { disruptionsAllowed, addDisruption, type LedgerError, type BudgetOpts } from './budget.ts'
export { LedgerStore, type LedgerStoreOpts } from './ledger-store.ts'
