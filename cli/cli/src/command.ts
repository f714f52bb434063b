/** Exit codes of all commands. */
export const exitCodes = {
  ok: 0,
  /** The command ran, and the answer is no: invalid, in conflict, not in force everywhere. */
  refused: 1,
  usage: 2,
  /** The entry or the store did not answer. */
  unavailable: 3
} as const

/** Exit code of a command. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes]

/** Flags that commands understand, as meow parsed them. */
export type Flags = Readonly<Record<string, string | boolean | number | string[] | undefined>>

/** One command. */
export interface Command {
  readonly name: string
  readonly summary: string
  readonly help: string
  /** @returns the exit code */
  run (input: readonly string[], flags: Flags): Promise<ExitCode>
}

/**
 * Prints a line to standard output.
 * @param line - without its end
 */
export function print (line: string): void {
  process.stdout.write(`${line}\n`)
}

/**
 * Prints an error with its code and what to do.
 * @param error - with a stable code
 */
export function printError (error: { code: string, message: string, hint: string }): void {
  process.stderr.write(`${error.code}: ${error.message}\n${error.hint}\n`)
}
