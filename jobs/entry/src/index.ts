/**
 * An entry that serves jobs, put together from ports.
 * @module
 */
export { createCallerServer, JobEntry, type EntryStatus, type JobEntryOpts } from './entry.ts'
export { SiteView } from './site-view.ts'
