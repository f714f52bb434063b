import { createLogger } from '@wisteriaslip/core.logger'
import { readSettings } from '@wisteriaslip/config.settings'
import { exitCodes, printError, type Command } from '../command.ts'

/** `wisteriaslip entry`: runs an entry until it receives SIGTERM or SIGINT. */
export const entryCommand: Command = {
  name: 'entry',
  help: `Usage: wisteriaslip entry --settings FILE

Runs an entry in the foreground. SIGTERM or SIGINT starts a graceful shutdown,
which lets requests in progress complete.

  --settings FILE  settings in JSON, see docs/OPERATORS.md`,
  async run (_input, flags) {
    if (typeof flags.settings !== 'string') {
      printError({ code: 'SETTINGS_MISSING', message: 'no settings given', hint: 'Pass --settings FILE.' })
      return exitCodes.usage
    }
    const read = await readSettings(flags.settings)
    if (!read.ok) {
      printError(read.error)
      return exitCodes.usage
    }
    const { Entry } = await import('@wisteriaslip/cli.entry')
    const { runJobs } = await import('@wisteriaslip/cli.jobs')
    const { settings, keys } = read.value
    const logger = createLogger('wisteriaslip', { level: settings.logLevel })
    const shutdown = new AbortController()
    process.on('SIGTERM', () => shutdown.abort())
    process.once('SIGINT', () => shutdown.abort())
    const entry = new Entry({ settings, keys, logger: logger.child({ entry: settings.id }) })
    await Promise.all([
      entry.run(shutdown.signal, addresses => logger.info({ entry: settings.id, ...addresses }, 'listening')),
      runJobs(settings, keys, { logger: logger.child({ entry: settings.id, side: 'jobs' }), signal: shutdown.signal })
    ])
    return exitCodes.ok
  }
}
