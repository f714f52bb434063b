/**
 * The wisteriaslip command-line interface.
 * @module
 */
export { runCli } from './cli.ts'
