/**
 * Jobs, steps, tasks, workers and VMs, and the ports through which the product reaches them.
 * @module
 */
export { isFinal, jobStates, parseTaskName, type Job, type JobConfig, type JobRequest, type JobState, type Queue, type Resources, type Schedule, type Service, type Step, type TaskName } from './job.ts'
export { runOutcomes, type EndedRun, type RunOutcome, type PermitClient, type ActiveRun, type StartCommand, type WorkerClient, type WorkerRegistration, type WorkerError, type WorkerReport, type WorkerEndpoint } from './worker.ts'
export { vmStates, type FleetClient, type FleetError, type Vm, type Wave } from './fleet.ts'
export type { JobLimits } from './limits.ts'
export type { StoreLayout } from './store-layout.ts'
