/**
 * Accepts and cancels jobs and reports their state, at any entry.
 * @module
 */
export { Intake, type SubmitResult, type IntakeOpts, type LeaderClient, type JobStateResult } from './intake.ts'
