/**
 * The product's own interfaces for jobs, JSON over HTTP.
 * @module
 */
export { createInsightServer, createJobServer, type InsightServerOpts, type JobServerOpts } from './job-server.ts'
export { createWorkerServer } from './worker-server.ts'
export { HttpWorkerClient } from './worker-client.ts'
export { jobStoreLayout } from './store-layout.ts'
