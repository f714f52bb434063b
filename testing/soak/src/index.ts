/**
 * Fault soak: entries as processes on stand-ins of the platform, with faults of links, processes, store and workers, and
 * checks of what workers and callers see.
 * @module
 */
export { play, type PlayResult } from './play.ts'
export { checkRuns, type Violation } from './check.ts'
export { checkCompletion } from './check-completion.ts'
export { checkWaits, type Seen } from './check-waits.ts'
export { findGaps, longestGap, type RunGap } from './run-gaps.ts'
export { randomFaults } from './random-faults.ts'
export { recut, type RecutOpts, type RecutTimes } from './recut.ts'
export { goneWithLeaders, replacedUnnoticed, type ReplacedOpts, type Scenario } from './scenario.ts'
export { SoakSite } from './site.ts'
export { Callers, type SubmittedJob } from './callers.ts'
export type { Disturbance } from './fault-record.ts'
export type { RunRecord, TermRecord, WorkerLife } from './run-log.ts'
