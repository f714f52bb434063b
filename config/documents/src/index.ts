/**
 * Operator documents: what operators declare, how it is checked, and how requests and VMs match it.
 * @module
 */
export { documentSchema, kinds, type ClassDoc, type Document, type DocumentOf, type Kind, type Labels, type PoolDoc, type Selector, type TenantDoc, type VmDoc, type WaveDoc, type WorkloadDoc } from './schema.ts'
export { checkDocuments, parseDocument, type DocumentError } from './check.ts'
export { FleetConfig } from './fleet-config.ts'
export { matches } from './selector.ts'
export { resolveBudget } from './budget.ts'
