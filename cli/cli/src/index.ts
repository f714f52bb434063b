/**
 * Command line of wisteriaslip.
 * @module
 */
export { runCli } from './cli.ts'
