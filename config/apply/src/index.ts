/**
 * Writes operator documents: checks of the whole configuration and an atomic compare-and-swap.
 * @module
 */
export { applyDocuments, type ApplyError, type ApplyRequest, type ApplyOpts } from './apply.ts'
