/**
 * Result type, clock, abort signals and timing utilities shared by all packages.
 * @module
 */
export { err, ok, type Result } from './result.ts'
export { systemClock, type Clock } from './clock.ts'
export { allEnded } from './all-ended.ts'
export { onAbort } from './abort-listeners.ts'
export { linkAbort, untilAborted, withTimeout, type LinkedAbort } from './abort.ts'
export { parseJson } from './json.ts'
export { startTimeout } from './timeout.ts'
export { Wakeup } from './wakeup.ts'
export { backoff, delay, runEvery } from './timing.ts'
