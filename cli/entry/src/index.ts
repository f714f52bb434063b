/**
 * The entry process: all packages put together.
 * @module
 */
export { Entry, type EntryDeps } from './entry.ts'
