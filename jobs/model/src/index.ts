/**
 * Types for jobs, steps, tasks, workers and VMs, and interfaces of the clients for workers and the VM platform.
 * @module
 */
export { addressOf, isFinal, isOfQueue, jobStates, parseTaskName, whyTooLarge, type Account, type AddressedJob, type Job, type JobConfig, type JobRequest, type JobState, type PermitCost, type Queue, type Resources, type Schedule, type Service, type Step, type TaskName } from './job.ts'
export { compareRevisions, incarnationKey, mayBeSameIncarnation, runOutcomes, UNKNOWN_BORN, type ActiveRun, type AddressedWorkerCalls, type EndedRun, type PermitClient, type PermitError, type Permits, type RunOutcome, type StartCommand, type WorkerCalls, type WorkerChannel, type WorkerClient, type WorkerEndpoint, type WorkerError, type WorkerRegistration, type WorkerReport } from './worker.ts'
export { vmStates, type FleetClient, type FleetError, type Vm, type VmList, type Wave, type WaveSpec } from './fleet.ts'
export type { JobLimits } from './limits.ts'
export { CLOCK_DRIFT_FACTOR, COMMAND_TIMEOUT_MS, LEADERSHIP_OVERLAP_MS, MAX_RESPONSE_AGE_FOR_LEASE_MS, POLL_TIMEOUT_MARGIN_MS, POLL_WAIT_IDLE_MS, WORKER_LEASE_MS } from './term-times.ts'
export type { StoreLayout } from './store-layout.ts'
