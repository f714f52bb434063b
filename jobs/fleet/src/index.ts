/**
 * The fleet leader: maintenance waves and pool sizes.
 * @module
 */
export { FleetTerm } from './term.ts'
export type { FleetTermOpts, ServiceOrders, WaveLedger, WaveRecord } from './ports.ts'
export { PoolSizes, type PlannedMove } from './pool-sizes.ts'
export { WaveProgress } from './wave-progress.ts'
