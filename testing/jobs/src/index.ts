/**
 * Workers and a job site in memory.
 * @module
 */
export { JobSite, type SiteLeader } from './job-site.ts'
export { JobWorkers, type OrderFault, type SeenRun } from './memory-workers.ts'
export { waitUntil } from './wait-until.ts'
export { JobProcesses, type JobProcess } from './job-processes.ts'
export { HttpWorkerHosts } from './worker-hosts.ts'
export { plainStep } from './step.ts'
