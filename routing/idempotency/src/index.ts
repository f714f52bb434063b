/**
 * Idempotency keys: who may run a keyed request, and what the ones after the first are told.
 * @module
 */
export { ClaimTable } from './claim-table.ts'
export { ClaimPartitions, PARTITION_COUNT, partitionOf, partitionResource, type ClaimPartitionsOpts } from './partitions.ts'
export { claimId, bodyHash, issueKey, parseIssuedKey } from './keys.ts'
