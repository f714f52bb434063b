import { runCli } from './cli.ts'
import { limitHeapGrowth } from './memory.ts'

limitHeapGrowth()

runCli(process.argv.slice(2)).then(
  code => { process.exitCode = code },
  error => {
    process.stderr.write(`${String(error)}\n`)
    process.exitCode = 70 // EX_SOFTWARE in sysexits.h: an unexpected error
  }
)
