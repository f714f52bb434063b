/**
 * Limits on what a process holds for its HTTP clients.
 * @module
 */
export {}
