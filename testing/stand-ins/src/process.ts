import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream } from 'node:fs'
import { fileURLToPath } from 'node:url'

const CLI = fileURLToPath(new URL('../../../cli/cli/src/main.ts', import.meta.url))

/** A process that a test started, and ends. */
export interface StartedProcess {
  readonly child: ChildProcess
  /** Ends it without warning. */
  kill (): Promise<void>
  /** Asks for a planned stop and waits for it. */
  stop (): Promise<number | null>
}

/**
 * Starts the command line as a process of its own.
 * @param args - of the command line
 * @param opts - file for its log; the built binary to run instead of the sources; flags of the runtime
 * @returns the process
 */
export function startProcess (args: readonly string[], opts: { logFile?: string, binary?: string, nodeArgs?: readonly string[] } = {}): StartedProcess {
  const command = opts.binary ?? process.execPath
  const prefix = opts.binary === undefined ? [...opts.nodeArgs ?? [], '--import', 'tsx', CLI] : []
  const child = spawn(command, [...prefix, ...args], { stdio: ['ignore', 'ignore', 'pipe'] })
  if (opts.logFile !== undefined) child.stderr?.pipe(createWriteStream(opts.logFile))
  else child.stderr?.resume()
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
