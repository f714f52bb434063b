/**
 * What a service's leader knows of jobs and workers, and its decisions; no input or output.
 * @module
 */
export { Scheduler, type OrphanedRun, type ReportResult, type SchedulerOpts } from './scheduler.ts'
export { JobTable, type PendingEnd } from './job-table.ts'
export { TrackedWorker } from './tracked-worker.ts'
export { TrackedJob, type Task, type TrackedStep } from './tracked-job.ts'
export { explainJob, explainWorker } from './explain.ts'
export { LostWorkerDetector } from './lost-worker-detector.ts'
export type { Run } from './run.ts'
export { emptyProgress, toProgress, type JobProgress } from './progress.ts'
export { chooseBackfillSpeeds, type SpeedChange } from './backfill-speed.ts'
export { StepPermits, type PermitRequest } from './permits.ts'
export type { QueueLookup } from './step-priority.ts'
