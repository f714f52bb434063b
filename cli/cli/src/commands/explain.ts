import type { Explanation } from '@wisteriaslip/cli.operators'
import { exitCodes, print, type Command } from '../command.ts'
import { printOperatorError, OperatorClient } from '../operator-client.ts'

/** `wisteriaslip explain`: prints the current state of an object and the decisions that led to it. */
export const explainCommand: Command = {
  name: 'explain',
  help: `Usage: wisteriaslip explain KIND NAME [options]

Shows the current state of a vm, pool or wave, and the latest decisions about
it.

  --entry URL, --key-file FILE, --json`,
  async run (input, flags) {
    const client = await OperatorClient.from(flags)
    const query = new URLSearchParams({ kind: input[0] ?? '', name: input[1] ?? '' })
    const explanation = await client.get<Explanation>(`/v1/explain?${query.toString()}`)
    if (!explanation.ok) return printOperatorError(explanation.error)
    if (flags.json === true) {
      print(JSON.stringify(explanation.value))
      return exitCodes.ok
    }
    print(JSON.stringify(explanation.value.present))
    for (const decision of explanation.value.decisions) print(`${decision.at} ${decision.reason} ${JSON.stringify(decision.details)}`)
    return exitCodes.ok
  }
}
