/**
 * A leader's term over one service: takeover, worker sessions, records.
 * @module
 */
export { serviceLoad, withdrawWorkers } from './load.ts'
export { ServiceTerm } from './term.ts'
export type { TermOpts } from './ports.ts'
