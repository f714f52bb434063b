/**
 * The product's own interfaces for jobs, JSON over HTTP: for callers and operators, and between entries and workers.
 * @module
 */
export { createJobServer, createMonitoringServer, type JobServerOpts, type MonitoringServerOpts } from './job-server.ts'
export { createWorkerServer } from './worker-server.ts'
export { HttpWorkerClient } from './worker-client.ts'
export { jobStoreLayout } from './store-layout.ts'
