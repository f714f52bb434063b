/** Exit codes shared by all commands. */
export const exitCodes = {
  ok: 0,
  /** The command ran and the request was rejected: invalid, in conflict, or not yet in effect at every entry. */
  refused: 1,
  /** Wrong arguments, a document or job file that cannot be read, or settings that `entry` or `serve` cannot load. */
  usage: 2,
  /** The entry or the store could not be reached or failed. */
  unavailable: 3
} as const

/** Exit code with which a command ends the process. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes]

/** Command-line flags as parsed by meow. */
export type Flags = Readonly<Record<string, string | boolean | number | string[] | undefined>>

/** A command of the command-line interface. */
export interface Command {
  readonly name: string
  readonly help: string
  /**
   * Runs the command.
   * @param input - positional arguments after the command's name
   * @param flags - parsed flags
   * @returns the exit code
   */
  run (input: readonly string[], flags: Flags): Promise<ExitCode>
}

/**
 * Prints a line to standard output.
 * @param line - text of the line, without the newline
 */
export function print (line: string): void {
  process.stdout.write(`${line}\n`)
}

/**
 * Prints an error and its hint to standard error.
 * @param error - stable error code, message, and hint on how to resolve the error
 */
export function printError (error: { code: string, message: string, hint: string }): void {
  process.stderr.write(`${error.code}: ${error.message}\n${error.hint}\n`)
}
