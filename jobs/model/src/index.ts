/**
 * Jobs, steps, tasks, workers and VMs, and the ports through which the product reaches them.
 * @module
 */
export { isFinal, jobStates, parseTaskName, type Job, type JobConfig, type JobRequest, type JobState, type Queue, type Resources, type Schedule, type Service, type Step, type TaskName } from './job.ts'
export { endings, type EndedTask, type Ending, type PermitCalls, type RunningTask, type StartOrder, type WorkerCalls, type WorkerEntry, type WorkerError, type WorkerReport, type WorkerTarget } from './worker.ts'
export { vmStates, type FleetCalls, type FleetError, type Vm, type Wave } from './fleet.ts'
export type { JobLimits } from './limits.ts'
export type { StoreSources } from './sources.ts'
