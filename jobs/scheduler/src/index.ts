/**
 * State and scheduling decisions of a service's leader. Performs no I/O.
 * @module
 */
export { Scheduler, type OrphanedRun, type ReportResult, type SchedulerOpts } from './scheduler.ts'
export { JobTable, type PendingCompletion } from './job-table.ts'
export { TrackedWorker, type ClockReading } from './tracked-worker.ts'
export { TrackedJob, type Task, type TrackedStep } from './tracked-job.ts'
export { explainJob, explainPair, explainWorker } from './explain.ts'
export type { LeftOutReason } from './left-out.ts'
export type { RoomCount } from './room-count.ts'
export { describeUnserved, findUnserved, type UnservedTask } from './unserved-tasks.ts'
export { SETTLE_MS } from './crash.ts'
export { LostWorkerDetector, type VmListCoverage } from './lost-worker-detector.ts'
export type { ReleaseCause, ReleasedRun } from './released-run.ts'
export type { Run } from './run.ts'
export type { LostRun, WorkerLoss } from './worker-loss.ts'
export { emptyProgress, toProgress, type JobProgress } from './progress.ts'
export { Company, type CompanyCost } from './company.ts'
export { chooseBackfillSpeeds, type SpeedChange } from './backfill-speed.ts'
export { StepPermits, type PermitRequest } from './permits.ts'
export type { QueueLookup } from './step-priority.ts'
export { isSettled } from './settled.ts'
