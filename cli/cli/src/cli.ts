import meow from 'meow'
import { exitCodes, printError, type Command, type ExitCode, type Flags } from './command.ts'
import { applyCommand } from './commands/apply.ts'
import { cordonCommand, labelCommand, uncordonCommand } from './commands/vm.ts'
import { entryCommand } from './commands/entry.ts'
import { explainCommand } from './commands/explain.ts'
import { getCommand } from './commands/get.ts'
import { jobsCommand } from './commands/jobs.ts'
import { serveCommand } from './commands/serve.ts'
import { statusCommand } from './commands/status.ts'
import { validateCommand } from './commands/validate.ts'
import { waveCommand } from './commands/wave.ts'

const VERSION = '0.1.0'

const commands: readonly Command[] = [
  entryCommand, serveCommand, applyCommand, getCommand, validateCommand, statusCommand,
  labelCommand, cordonCommand, uncordonCommand, waveCommand, explainCommand, jobsCommand
]

const flags = {
  settings: { type: 'string' },
  logLevel: { type: 'string' },
  file: { type: 'string', shortFlag: 'f', isMultiple: true },
  entry: { type: 'string' },
  keyFile: { type: 'string' },
  json: { type: 'boolean', default: false },
  wait: { type: 'boolean', default: false },
  waitMs: { type: 'number', default: 10_000 },
  revision: { type: 'number' },
  delete: { type: 'string', isMultiple: true },
  selector: { type: 'string', isMultiple: true },
  help: { type: 'boolean', shortFlag: 'h' },
  version: { type: 'boolean' }
} as const

/**
 * Parses the command line and runs the command.
 * @param argv - arguments after the program's name
 * @returns the exit code
 */
export async function runCli (argv: readonly string[]): Promise<ExitCode> {
  const cli = meow({
    argv: [...argv],
    importMeta: { url: 'file:///wisteriaslip' } as ImportMeta,
    pkg: { name: 'wisteriaslip', version: VERSION },
    flags,
    autoHelp: false,
    autoVersion: false,
    allowUnknownFlags: true
  })
  const parsedFlags = cli.flags as Flags
  const unknownFlag = Object.keys(parsedFlags).find(flag => !(flag in flags))
  if (parsedFlags.version === true) {
    process.stdout.write(`${VERSION}\n`)
    return exitCodes.ok
  }
  const [name, ...input] = cli.input
  const command = commands.find(each => each.name === name)
  if (command === undefined) return showHelp(name, parsedFlags.help === true)
  if (parsedFlags.help === true) {
    process.stdout.write(`${command.help}\n`)
    return exitCodes.ok
  }
  if (unknownFlag !== undefined) {
    printError({ code: 'UNKNOWN_FLAG', message: `unknown flag ${unknownFlag}`, hint: `See wisteriaslip ${command.name} --help.` })
    return exitCodes.usage
  }
  return await command.run(input, parsedFlags)
}

function showHelp (name: string | undefined, requested: boolean): ExitCode {
  const lines = commands.map(command => `  ${command.name.padEnd(10)} ${command.summary}`)
  const text = ['Usage: wisteriaslip COMMAND [options]', '', ...lines, '', 'Run wisteriaslip COMMAND --help for details. --version prints the version.'].join('\n')
  if (requested || name === undefined) {
    process.stdout.write(`${text}\n`)
    return requested ? exitCodes.ok : exitCodes.usage
  }
  printError({ code: 'UNKNOWN_COMMAND', message: `unknown command ${name}`, hint: 'See wisteriaslip --help.' })
  return exitCodes.usage
}
