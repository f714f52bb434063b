/**
 * The fleet leader: runs maintenance waves and scales pools.
 * @module
 */
export { FleetTerm } from './term.ts'
export type { FleetTermOpts, ServiceLeaderClient, TurnTimes, WaveRecord, WaveRecordStore } from './ports.ts'
export { PoolAutoscaler, type PlannedMove } from './pool-autoscaler.ts'
export { shareVms, type PoolRequest } from './vm-shares.ts'
export { DownVms } from './down-vms.ts'
export { DrainTurns } from './drain-turns.ts'
export { waitReasons } from './explain-wave.ts'
export { countDown, planWaves, type FleetSnapshot, type VmLoad } from './wave-schedule.ts'
export { WaveTracker } from './wave-tracker.ts'
