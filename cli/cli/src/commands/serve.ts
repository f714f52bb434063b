import { exitCodes, printError, type Command } from '../command.ts'
import { allowYoungGrowth } from '../memory.ts'

/** `wisteriaslip serve`: runs an entry for jobs on the platform. */
export const serveCommand: Command = {
  name: 'serve',
  summary: 'run an entry for jobs on the platform',
  help: `Usage: wisteriaslip serve [--settings FILE] [--log-level LEVEL]

Runs an entry for jobs in the foreground. SIGTERM or SIGINT asks for a planned
stop, SIGHUP to read the settings again.

  --settings FILE    settings in JSON; by default the file that the variable
                     WISTERIASLIP_SETTINGS names
  --log-level LEVEL  least level of log lines, info by default`,
  async run (_input, flags) {
    const path = typeof flags.settings === 'string' ? flags.settings : process.env.WISTERIASLIP_SETTINGS
    if (path === undefined) {
      printError({ code: 'SETTINGS_MISSING', message: 'no settings given', hint: 'Pass --settings FILE or set WISTERIASLIP_SETTINGS.' })
      return exitCodes.usage
    }
    allowYoungGrowth()
    const { runOnPlatform } = await import('@wisteriaslip/platform')
    const stop = new AbortController()
    for (const signal of ['SIGTERM', 'SIGINT'] as const) process.once(signal, () => stop.abort())
    const logLevel = typeof flags.logLevel === 'string' ? flags.logLevel : 'info'
    const failed = await runOnPlatform(path, { signal: stop.signal, logLevel, onReload: reload => process.on('SIGHUP', reload) })
    // Connections to workers and peers may still be open; all that matters has ended.
    if (failed === undefined) process.exit(exitCodes.ok)
    printError(failed)
    return exitCodes.usage
  }
}
