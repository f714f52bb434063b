import type { Explanation } from '@wisteriaslip/cli.operators'
import { exitCodes, print, type Command } from '../command.ts'
import { printOperatorError, OperatorClient } from '../operator-client.ts'

/** `wisteriaslip explain`: prints the current state of an object and the decisions that led to it. */
export const explainCommand: Command = {
  name: 'explain',
  summary: 'show the decisions about a VM, pool or wave',
  help: `Usage: wisteriaslip explain KIND NAME [options]

Shows the current state of a vm, pool, wave, resource or job, and the latest
decisions about it.

  --entry URL, --key-file FILE, --json`,
  async run (input, flags) {
    const client = await OperatorClient.from(flags)
    const query = new URLSearchParams({ kind: input[0] ?? '', name: input[1] ?? '' })
    const told = await client.get<Explanation>(`/v1/explain?${query.toString()}`)
    if (!told.ok) return printOperatorError(told.error)
    if (flags.json === true) {
      print(JSON.stringify(told.value))
      return exitCodes.ok
    }
    print(JSON.stringify(told.value.present))
    for (const decision of told.value.decisions) print(`${decision.at} ${decision.reason} ${JSON.stringify(decision.details)}`)
    return exitCodes.ok
  }
}
