/**
 * HTTP over one connection that is never opened again.
 * @module
 */
export { SingleConnection, type SingleConnectionOpts } from './single-connection.ts'
