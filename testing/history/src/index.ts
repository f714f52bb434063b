/**
 * Recorded histories of requests, and a checker of the guarantees that must hold for them.
 * @module
 */
export { checkHistory, type Attempt, type ExecutorStart, type History, type Violation } from './check.ts'
