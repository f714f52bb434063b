/**
 * The job side of an entry with the product's own settings.
 * @module
 */
export { runJobs } from './run-jobs.ts'
