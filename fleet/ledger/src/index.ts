/**
 * The ledger of a pool: its member VMs and the voluntary disruptions that count against its budget.
 * @module
 */
export { emptyLedger, disruptionPhases, type Disruption, type PoolLedger, type WaveProgress } from './types.ts'
export { disruptionsAllowed, addDisruption, type LedgerError, type BudgetOpts } from './budget.ts'
export { markDone, markSetAside, progressOf } from './wave-progress.ts'
export { LedgerStore, type LedgerStoreOpts, type RecordedMove } from './ledger-store.ts'
