import { runCli } from './cli.ts'
import { limitYoungGeneration } from './memory.ts'

limitYoungGeneration()

runCli(process.argv.slice(2)).then(
  code => { process.exitCode = code },
  error => {
    process.stderr.write(`${String(error)}\n`)
    process.exitCode = 70
  }
)
