/**
 * Writing operator documents: whole-configuration checks and compare-and-swap.
 * @module
 */
export { applyDocuments, type ApplyError, type ApplyRequest, type ApplyOpts } from './apply.ts'
