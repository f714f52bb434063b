import meow from 'meow'
import { exitCodes, printError, type Command, type ExitCode, type Flags } from './command.ts'

const VERSION = '0.1.0'

/** A command that is loaded when it is run, so that a start evaluates the modules of that command only. */
interface CommandEntry {
  readonly name: string
  readonly summary: string
  load (): Promise<Command>
}

const commands: readonly CommandEntry[] = [
  { name: 'entry', summary: 'run an entry', load: async () => (await import('./commands/entry.ts')).entryCommand },
  { name: 'serve', summary: 'run a job entry on the platform', load: async () => (await import('./commands/serve.ts')).serveCommand },
  { name: 'apply', summary: 'write operator documents', load: async () => (await import('./commands/apply.ts')).applyCommand },
  { name: 'get', summary: 'show operator documents', load: async () => (await import('./commands/get.ts')).getCommand },
  { name: 'validate', summary: 'validate settings or documents without applying them', load: async () => (await import('./commands/validate.ts')).validateCommand },
  { name: 'status', summary: 'show entries, pools and waves', load: async () => (await import('./commands/status.ts')).statusCommand },
  { name: 'label', summary: 'change the labels of a VM', load: async () => (await import('./commands/vm.ts')).labelCommand },
  { name: 'cordon', summary: 'stop assigning new work to a VM', load: async () => (await import('./commands/vm.ts')).cordonCommand },
  { name: 'uncordon', summary: 'resume assigning work to a VM', load: async () => (await import('./commands/vm.ts')).uncordonCommand },
  { name: 'wave', summary: 'declare, pause, resume, cancel or show a maintenance wave', load: async () => (await import('./commands/wave.ts')).waveCommand },
  { name: 'explain', summary: 'show the state of a VM, pool or wave and the decisions about it', load: async () => (await import('./commands/explain.ts')).explainCommand },
  { name: 'jobs', summary: 'submit, cancel and inspect jobs', load: async () => (await import('./commands/jobs.ts')).jobsCommand }
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
  const command = await commands.find(each => each.name === name)?.load()
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
