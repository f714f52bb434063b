/**
 * The entry process, assembled from all packages.
 * @module
 */
export { Entry, type EntryOpts } from './entry.ts'
