import { exitCodes, printError, type Command } from '../command.ts'
import { allowYoungGenerationGrowth } from '../memory.ts'
import { handleSignals } from '../signals.ts'

/** `wisteriaslip serve`: runs a job entry on the platform. */
export const serveCommand: Command = {
  name: 'serve',
  help: `Usage: wisteriaslip serve [--settings FILE] [--log-level LEVEL]

Runs a job entry in the foreground. SIGTERM or SIGINT starts a graceful
shutdown. SIGHUP validates the changed settings, which take effect at the next
start.

  --settings FILE    settings in JSON; defaults to the file named by the
                     environment variable WISTERIASLIP_SETTINGS
  --log-level LEVEL  minimum level of log lines, info by default`,
  async run (_input, flags) {
    const path = typeof flags.settings === 'string' ? flags.settings : process.env.WISTERIASLIP_SETTINGS
    if (path === undefined) {
      printError({ code: 'SETTINGS_MISSING', message: 'no settings given', hint: 'Pass --settings FILE or set WISTERIASLIP_SETTINGS.' })
      return exitCodes.usage
    }
    const { shutdown, onReload } = handleSignals()
    allowYoungGenerationGrowth()
    const { runOnPlatform } = await import('@wisteriaslip/platform')
    const logLevel = typeof flags.logLevel === 'string' ? flags.logLevel : 'info'
    const failed = await runOnPlatform(path, { signal: shutdown, logLevel, onReload })
    // Open connections to workers and peers would keep the process alive although the shutdown is complete.
    if (failed === undefined) process.exit(exitCodes.ok)
    printError(failed)
    return exitCodes.usage
  }
}
