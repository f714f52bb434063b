/**
 * Job side of an entry that is configured by the settings file of `wisteriaslip entry`.
 * @module
 */
export { runJobs } from './run-jobs.ts'
