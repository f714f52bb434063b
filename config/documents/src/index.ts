/**
 * Operator documents: schemas, validation, and matching of requests and VMs to them.
 * @module
 */
export { documentSchema, documentKinds, type ClassDoc, type Document, type DocumentOf, type DocumentKind, type Labels, type PoolDoc, type Selector, type TenantDoc, type VmDoc, type WaveDoc, type WorkloadDoc } from './schema.ts'
export { checkDocuments, isUsableDocument, parseDocument, type DocumentError } from './check.ts'
export { FleetConfig } from './fleet-config.ts'
export { matchesSelector } from './selector.ts'
export { resolveMaxUnavailable } from './budget.ts'
