/**
 * Results, tagged errors and the clock that all packages share.
 * @module
 */
export { err, ok, type Result } from './result.ts'
export { systemClock, type Clock } from './clock.ts'
export { linkAbort, within, type LinkedAbort } from './abort.ts'
export { parseJson } from './json.ts'
export { Wakeup } from './wakeup.ts'
export { backoff, pause, runEvery } from './timing.ts'
