/**
 * Results, tagged errors and the clock that all packages share.
 * @module
 */
export { err, ok, type Result } from './result.ts'
export { systemClock, type Clock } from './clock.ts'
export { backoff, pause, runEvery, withTimeout } from './timing.ts'
