/**
 * Workers and a job site in memory.
 * @module
 */
export { JobSite, type SiteLeader } from './site.ts'
export { JobWorkers, type OrderFault, type SeenRun } from './workers.ts'
export { until } from './until.ts'
