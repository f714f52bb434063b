/**
 * The product's own interfaces for jobs, JSON over HTTP.
 * @module
 */
export { createInsightServer, createJobServer, type InsightServerOpts, type JobServerOpts } from './job-server.ts'
export { createWorkerServer } from './worker-server.ts'
export { HttpWorkers } from './workers.ts'
export { jobSources } from './sources.ts'
