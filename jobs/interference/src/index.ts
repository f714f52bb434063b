/**
 * Which tasks slow each other down on a worker, learned from reports.
 * @module
 */
export {}
