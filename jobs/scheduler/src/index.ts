/**
 * What a service's leader knows of jobs and workers, and its decisions; no input or output.
 * @module
 */
export { Scheduler, type Orphan, type ReportOutcome, type SchedulerOpts } from './scheduler.ts'
export { JobTable, type PendingEnd } from './job-table.ts'
export { TrackedWorker } from './tracked-worker.ts'
export { TrackedJob, type Task, type TrackedStep } from './tracked-job.ts'
export { explainJob, explainWorker } from './explain.ts'
export { LostLives } from './lost-lives.ts'
export type { Run } from './run.ts'
export { noProgress, progressOf, type Progress } from './progress.ts'
export { choosePaces, type PaceChange } from './pacing.ts'
export { StepPermits, type PermitQuestion } from './permits.ts'
export type { QueueLookup } from './order.ts'
