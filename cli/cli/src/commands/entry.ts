import { ClientLimits } from '@wisteriaslip/core.http-limits'
import { createLogger, topicLogger, type Logger } from '@wisteriaslip/core.logger'
import { readSettings } from '@wisteriaslip/config.settings'
import { exitCodes, printError, type Command } from '../command.ts'
import { handleSignals } from '../signals.ts'

/** `wisteriaslip entry`: runs an entry until it receives SIGTERM or SIGINT. */
export const entryCommand: Command = {
  name: 'entry',
  help: `Usage: wisteriaslip entry --settings FILE

Runs an entry in the foreground. SIGTERM or SIGINT starts a graceful shutdown,
which lets requests in progress complete. SIGHUP validates the changed settings,
which take effect at the next start.

  --settings FILE  settings in JSON, see docs/OPERATORS.md`,
  async run (_input, flags) {
    if (typeof flags.settings !== 'string') {
      printError({ code: 'SETTINGS_MISSING', message: 'no settings given', hint: 'Pass --settings FILE.' })
      return exitCodes.usage
    }
    const path = flags.settings
    const { shutdown, onReload } = handleSignals()
    const read = await readSettings(path)
    if (!read.ok) {
      printError(read.error)
      return exitCodes.usage
    }
    const { Entry } = await import('@wisteriaslip/cli.entry')
    const { runJobs } = await import('@wisteriaslip/cli.jobs')
    const { settings, keys } = read.value
    const logger = createLogger('wisteriaslip', { level: settings.logLevel })
    onReload(() => { logChangedSettings(path, logger).catch(() => {}) })
    const limits = new ClientLimits({ ...settings.processLimits, logger: topicLogger(logger.child({ entry: settings.id }), 'clients') })
    const entry = new Entry({ settings, keys, limits, logger: logger.child({ entry: settings.id }) })
    await Promise.all([
      entry.run(shutdown, addresses => logger.info({ entry: settings.id, ...addresses }, 'listening')),
      runJobs(settings, keys, { logger: logger.child({ entry: settings.id, side: 'jobs' }), limits, signal: shutdown })
    ])
    return exitCodes.ok
  }
}

/** Validates and logs changed settings, which a running entry does not apply. */
async function logChangedSettings (path: string, logger: Logger): Promise<void> {
  const read = await readSettings(path)
  if (read.ok) logger.info('changed settings are valid; they take effect at the next start')
  else logger.warn({ code: read.error.code, message: read.error.message }, 'changed settings are invalid')
}
