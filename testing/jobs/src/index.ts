/**
 * Workers and a job site in memory.
 * @module
 */
export { JobSite, type SiteLeader } from './site.ts'
export { JobWorkers, type OrderFault, type SeenRun } from './workers.ts'
export { until } from './until.ts'
export { JobProcesses, type JobProcess } from './job-processes.ts'
export { WorkerHosts } from './worker-hosts.ts'
export { plainStep } from './step.ts'
