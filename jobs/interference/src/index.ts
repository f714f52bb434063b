/**
 * Which tasks slow each other down on a worker, learned from reports.
 * @module
 */
export { InterferenceModel, type KnownPair, type ObservedRun, type PairChange } from './model.ts'
