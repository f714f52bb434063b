/**
 * Read models of VMs and pools, indexed for routing. The index is rebuilt when the configuration, a ledger or the
 * platform's VM list changes.
 * @module
 */
export { FleetView, type FleetViewOpts, type PoolVm, type VmStatus } from './fleet-view.ts'
export { DocumentView, isStoredDocument, type StoredDocument } from './document-view.ts'
