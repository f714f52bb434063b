/**
 * What an entry knows of VMs and pools, indexed for routing. Rebuilt when the configuration, a ledger or the VM list changes.
 * @module
 */
export { FleetView, type FleetViewOpts, type PoolVm, type VmStatus } from './fleet-view.ts'
export { DocumentView, type StoredDocument } from './document-view.ts'
