/**
 * Recorded histories of requests, and the checker of what must always hold.
 * @module
 */
export { checkHistory, type Attempt, type History, type Start, type Violation } from './check.ts'
