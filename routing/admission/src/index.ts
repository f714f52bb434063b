/**
 * Requests waiting inside an entry for a slot of a pool: classes with floors, tenants with quotas, deadlines.
 * @module
 */
export { PoolQueue, type Admission, type PoolQueueOpts, type QueueRequest, type Refusal } from './pool-queue.ts'
export { ServiceTimes } from './service-times.ts'
