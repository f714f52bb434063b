import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream } from 'node:fs'
import { fileURLToPath } from 'node:url'

const CLI = fileURLToPath(new URL('../../../cli/cli/src/main.ts', import.meta.url))

/** A process that a test started and must end. */
export interface StartedProcess {
  readonly child: ChildProcess
  /** Kills it with SIGKILL and waits until it has exited. */
  kill (): Promise<void>
  /**
   * Requests a graceful shutdown with SIGTERM and waits until the process has exited.
   * @returns the exit code, null when a signal ended the process
   */
  stop (): Promise<number | null>
}

/**
 * Starts the CLI as a separate process.
 * @param args - command-line arguments
 * @param opts - file for its log; path of a built binary to run instead of the sources; Node.js flags for the sources;
 * `appendOutput`: standard output goes to the log file, too, after what is there
 * @returns the process
 */
export function startProcess (args: readonly string[], opts: { logFile?: string, binary?: string, nodeArgs?: readonly string[], appendOutput?: boolean } = {}): StartedProcess {
  const command = opts.binary ?? process.execPath
  const prefix = opts.binary === undefined ? [...opts.nodeArgs ?? [], '--import', 'tsx', CLI] : []
  const appends = opts.appendOutput === true
  const child = spawn(command, [...prefix, ...args], { stdio: ['ignore', appends ? 'pipe' : 'ignore', 'pipe'] })
  if (opts.logFile !== undefined) {
    const log = createWriteStream(opts.logFile, { flags: appends ? 'a' : 'w' })
    for (const output of [child.stdout, child.stderr]) output?.pipe(log, { end: false })
    child.once('close', () => log.end())
  } else child.stderr?.resume()
  const exited = once(child, 'exit')
  return {
    child,
    kill: async () => {
      child.kill('SIGKILL')
      await exited
    },
    stop: async () => {
      child.kill('SIGTERM')
      await exited
      return child.exitCode
    }
  }
}
