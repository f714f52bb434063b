/**
 * Durable records of jobs, and batched writes.
 * @module
 */
export { jobIdFromKey, JobKeys } from './keys.ts'
export { BatchWriter, type BatchWriterOpts } from './batch-writer.ts'
export { type IndexEntry } from './index-entry.ts'
export { isJob } from './record-schema.ts'
export { JobIndex, mayBeOfAccount, type JobIndexOpts, type JobReference } from './job-index.ts'
export { JobRecords, type AcceptResult, type JobOrigin, type ServiceRecords, type TermRecord } from './records.ts'
