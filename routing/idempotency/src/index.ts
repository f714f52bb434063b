/**
 * Idempotency keys: which request with a key may run, and which response later requests with the same key get.
 * @module
 */
export { ClaimTable } from './claim-table.ts'
export { ClaimPartitions, PARTITION_COUNT, partitionOf, partitionResource, type ClaimPartitionsOpts } from './partitions.ts'
export { claimId, requestHash, issueKey, parseIssuedKey } from './keys.ts'
