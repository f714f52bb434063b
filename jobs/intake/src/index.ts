/**
 * Accepting, cancelling and answering for jobs, at any entry.
 * @module
 */
export { Intake, type SubmitResult, type IntakeOpts, type LeaderClient, type JobStateResult } from './intake.ts'
