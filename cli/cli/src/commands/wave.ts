import type { Explanation, WaveStatus } from '@wisteriaslip/cli.operators'
import { changeDocument } from '../change-document.ts'
import { exitCodes, print, printError, type Command, type ExitCode, type Flags } from '../command.ts'
import { formatWaveStatus, formatWaveWaits } from '../format-wave.ts'
import { printOperatorError, OperatorClient } from '../operator-client.ts'
import { splitPair } from '../pairs.ts'

/** Explanation of a wave. */
interface WaveExplanation extends Explanation {
  readonly present: { readonly progress: readonly WaveStatus[] }
}

const stateByAction = { pause: 'paused', resume: 'running', cancel: 'cancelled' } as const

/** `wisteriaslip wave`: declares, pauses, resumes, cancels and shows maintenance waves. */
export const waveCommand: Command = {
  name: 'wave',
  help: `Usage: wisteriaslip wave declare NAME --selector KEY=VALUE [--selector KEY=VALUE]
       wisteriaslip wave pause|resume|cancel NAME
       wisteriaslip wave show NAME

A wave drains and reboots every VM that its selector matches, as many at a time
as the disruption budgets of the pools allow.

show prints the progress of a wave in each pool, and what it waits for: the VMs
under way, and the reason why no further VM is started.

  --entry URL, --key-file FILE, --json (show)`,
  async run (input, flags) {
    const [action, name] = input
    if (action === 'declare') return await declareWave(name, flags)
    if (action === 'show') return await showWave(name, flags)
    if (action !== undefined && action in stateByAction) {
      const state = stateByAction[action as keyof typeof stateByAction]
      return await changeDocument({ kind: 'wave', name }, flags, wave => ({ ...wave, state }))
    }
    printError({ code: 'UNKNOWN_ACTION', message: `unknown wave action: ${action ?? 'none given'}`, hint: 'Use declare, pause, resume, cancel or show.' })
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

async function showWave (name: string | undefined, flags: Flags): Promise<ExitCode> {
  if (name === undefined) {
    printError({ code: 'NAME_MISSING', message: 'no wave name given', hint: 'Pass the name after the command.' })
    return exitCodes.usage
  }
  const client = await OperatorClient.from(flags)
  const query = new URLSearchParams({ kind: 'wave', name }).toString()
  const listed = await client.get<{ documents: readonly unknown[] }>(`/v1/documents?${query}`)
  if (!listed.ok) return printOperatorError(listed.error)
  if (listed.value.documents.length === 0) {
    printError({ code: 'NOT_FOUND', message: `no such wave: ${name}`, hint: 'See wisteriaslip get wave.' })
    return exitCodes.refused
  }
  const explained = await client.get<WaveExplanation>(`/v1/explain?${query}`)
  if (!explained.ok) return printOperatorError(explained.error)
  if (flags.json === true) print(JSON.stringify(explained.value))
  else printWave(name, explained.value)
  return exitCodes.ok
}

function printWave (name: string, { present, decisions }: WaveExplanation): void {
  if (present.progress.length === 0) print(`wave ${name}: its selector matches no VM of a pool`)
  for (const wave of present.progress) {
    for (const line of [...formatWaveStatus(wave), ...formatWaveWaits(wave, decisions)]) print(line)
  }
}
