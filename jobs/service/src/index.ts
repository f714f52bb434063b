/**
 * A leader's term over one service: takeover, worker sessions, records.
 * @module
 */
export { computeServiceLoad, withdrawWorkers } from './load.ts'
export { ServiceTerm } from './term.ts'
export type { ServiceTermOpts } from './ports.ts'
