/**
 * Workers and a job site in memory, and entries as processes with workers on loopback.
 * @module
 */
export { JobSite, type SiteLeader } from './job-site.ts'
export { InMemoryWorkers, type StartFault, type RecordedRun } from './memory-workers.ts'
export { untilState, withSite } from './with-site.ts'
export { waitUntil } from './wait-until.ts'
export { JobProcesses, type JobProcess } from './job-processes.ts'
export { KeepAliveCaller, type KeepAliveReply } from './keep-alive-caller.ts'
export { HttpWorkerHosts } from './worker-hosts.ts'
export { VirtualPart } from './virtual-part.ts'
export { VirtualProcess } from './virtual-process.ts'
export { VirtualWorkers, type CallCosts } from './virtual-workers.ts'
export { StandInChannel, type ChannelCalls } from './stand-in-channel.ts'
export { plainStep } from './step.ts'
