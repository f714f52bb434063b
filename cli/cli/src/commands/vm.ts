import { changeDocument } from '../change-document.ts'
import { exitCodes, printError, type Command } from '../command.ts'

/** `wisteriaslip label`: changes the labels of a VM. */
export const labelCommand: Command = {
  name: 'label',
  summary: 'change the labels of a VM',
  help: `Usage: wisteriaslip label VM KEY=VALUE [KEY=VALUE] [KEY-]

Sets labels, or removes those that are followed by a dash.

  --entry URL, --key-file FILE`,
  async run (input, flags) {
    const [name, ...changes] = input
    if (changes.length === 0) {
      printError({ code: 'LABELS_MISSING', message: 'no labels given', hint: 'Use KEY=VALUE to set and KEY- to remove.' })
      return exitCodes.usage
    }
    return await changeDocument({ kind: 'vm', name }, flags, vm => ({ ...vm, labels: relabel(vm.labels as Record<string, string>, changes) }))
  }
}

/** `wisteriaslip cordon`: a VM gets no new work. */
export const cordonCommand: Command = {
  name: 'cordon',
  summary: 'give a VM no new work',
  help: `Usage: wisteriaslip cordon VM

  --entry URL, --key-file FILE`,
  run: async (input, flags) => await changeDocument({ kind: 'vm', name: input[0] }, flags, vm => ({ ...vm, cordoned: true }))
}

/** `wisteriaslip uncordon`: a VM gets work again. */
export const uncordonCommand: Command = {
  name: 'uncordon',
  summary: 'give a VM work again',
  help: `Usage: wisteriaslip uncordon VM

  --entry URL, --key-file FILE`,
  run: async (input, flags) => await changeDocument({ kind: 'vm', name: input[0] }, flags, vm => ({ ...vm, cordoned: false }))
}

function relabel (labels: Readonly<Record<string, string>>, changes: readonly string[]): Record<string, string> {
  const out = { ...labels }
  for (const change of changes) {
    const equals = change.indexOf('=')
    if (equals > 0) out[change.slice(0, equals)] = change.slice(equals + 1)
    else delete out[change.replace(/-$/, '')]
  }
  return out
}
