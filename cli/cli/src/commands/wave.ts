import { changeDocument } from '../change-document.ts'
import { exitCodes, print, printError, type Command, type ExitCode, type Flags } from '../command.ts'
import { printOperatorError, OperatorClient } from '../operator-client.ts'
import { splitPair } from '../pairs.ts'

const stateByAction = { pause: 'paused', resume: 'running', cancel: 'cancelled' } as const

/** `wisteriaslip wave`: declares, pauses, resumes and cancels maintenance waves. */
export const waveCommand: Command = {
  name: 'wave',
  help: `Usage: wisteriaslip wave declare NAME --selector KEY=VALUE [--selector KEY=VALUE]
       wisteriaslip wave pause|resume|cancel NAME

A wave drains and reboots every VM that its selector matches, as many at a time
as the disruption budgets of the pools allow.

  --entry URL, --key-file FILE`,
  async run (input, flags) {
    const [action, name] = input
    if (action === 'declare') return await declareWave(name, flags)
    if (action !== undefined && action in stateByAction) {
      const state = stateByAction[action as keyof typeof stateByAction]
      return await changeDocument({ kind: 'wave', name }, flags, wave => ({ ...wave, state }))
    }
    printError({ code: 'UNKNOWN_ACTION', message: `unknown wave action: ${action ?? 'none given'}`, hint: 'Use declare, pause, resume or cancel.' })
    return exitCodes.usage
  }
}

async function declareWave (name: string | undefined, flags: Flags): Promise<ExitCode> {
  const pairs = (flags.selector as string[] | undefined) ?? []
  if (name === undefined || pairs.length === 0) {
    printError({ code: 'WAVE_INCOMPLETE', message: 'a wave needs a name and a selector', hint: 'Use wave declare NAME --selector KEY=VALUE.' })
    return exitCodes.usage
  }
  const selector: Record<string, string> = {}
  for (const text of pairs) {
    const pair = splitPair(text, '=')
    if (pair === undefined) {
      printError({ code: 'SELECTOR_INVALID', message: `cannot select by ${text}`, hint: 'Use --selector KEY=VALUE.' })
      return exitCodes.usage
    }
    selector[pair[0]] = pair[1]
  }
  const client = await OperatorClient.from(flags)
  const applied = await client.post<{ revision: number }>('/v1/apply', { documents: [{ kind: 'wave', name, selector }], seen: { [`wave/${name}`]: 0 } })
  if (!applied.ok) return printOperatorError(applied.error)
  print(`accepted at revision ${applied.value.revision}`)
  return exitCodes.ok
}
