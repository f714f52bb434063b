/**
 * Admission of requests to the slots of a pool inside an entry: classes with guaranteed shares, client accounts with
 * quotas, and deadlines.
 * @module
 */
export { PoolQueue, type Admission, type PoolQueueOpts, type QueueRequest, type Refusal } from './pool-queue.ts'
export { ServiceTimes } from './service-times.ts'
