/**
 * Real entries, their store, VMs and workers on a virtual clock, under seeded faults.
 * @module
 */
export { EntryLink, type LinkCut } from './entry-link.ts'
export type { Draw } from './draw.ts'
export { VirtualStore, type StoreFaults, type StoreOutage } from './virtual-store.ts'
export { VirtualFleet, MAINTENANCE_MS, type VirtualFleetOpts } from './virtual-fleet.ts'
export { VirtualVm, type VirtualPool } from './virtual-vm.ts'
export { SITE_PREFIX, simulatedLayout } from './store-layout.ts'
export { Incarnation, type WorkerLink, type WorkerMachine } from './worker-machine.ts'
export { RunHistory } from './run-history.ts'
export { LONGEST_LEASE_MS, WorkerRuns, type TaskDemand } from './worker-runs.ts'
export { WorkerCalls } from './worker-calls.ts'
export { Disturbances } from './disturbances.ts'
export { LeaderLog, type SeenTerm } from './leader-log.ts'
export { LostWatch, type LostTask, type LostWatchOpts, type WatchedJob } from './lost-watch.ts'
export { VirtualPeers } from './virtual-peers.ts'
export { SimulatedEntry, type SimulatedEntryOpts } from './simulated-entry.ts'
export { Simulation, type SimulationOpts } from './simulation.ts'
export { jobIds } from './site-jobs.ts'
export { drawDay } from './day.ts'
export type { Day, DayEvent } from './day-events.ts'
export { playDay, type DayResult } from './play-day.ts'
