import { changeDocument } from '../change-document.ts'
import { exitCodes, printError, type Command } from '../command.ts'

/** `wisteriaslip label`: sets and removes labels of a VM. */
export const labelCommand: Command = {
  name: 'label',
  help: `Usage: wisteriaslip label VM KEY=VALUE [KEY=VALUE] [KEY-]

Sets labels; KEY- removes a label.

  --entry URL, --key-file FILE`,
  async run (input, flags) {
    const [name, ...changes] = input
    if (changes.length === 0) {
      printError({ code: 'LABELS_MISSING', message: 'no labels given', hint: 'Use KEY=VALUE to set and KEY- to remove.' })
      return exitCodes.usage
    }
    const invalid = changes.find(change => !/^[^=]+(=.*|-)$/.test(change))
    if (invalid !== undefined) {
      printError({ code: 'LABEL_INVALID', message: `cannot change labels by ${invalid}`, hint: 'Use KEY=VALUE to set and KEY- to remove.' })
      return exitCodes.usage
    }
    return await changeDocument({ kind: 'vm', name }, flags, vm => ({ ...vm, labels: changeLabels(vm.labels as Record<string, string>, changes) }))
  }
}

/** `wisteriaslip cordon`: stops assigning new work to a VM. */
export const cordonCommand: Command = {
  name: 'cordon',
  help: `Usage: wisteriaslip cordon VM

  --entry URL, --key-file FILE`,
  run: async (input, flags) => await changeDocument({ kind: 'vm', name: input[0] }, flags, vm => ({ ...vm, cordoned: true }))
}

/** `wisteriaslip uncordon`: resumes assigning work to a VM. */
export const uncordonCommand: Command = {
  name: 'uncordon',
  help: `Usage: wisteriaslip uncordon VM

  --entry URL, --key-file FILE`,
  run: async (input, flags) => await changeDocument({ kind: 'vm', name: input[0] }, flags, vm => ({ ...vm, cordoned: false }))
}

function changeLabels (labels: Readonly<Record<string, string>>, changes: readonly string[]): Record<string, string> {
  const out = { ...labels }
  for (const change of changes) {
    const equalsIndex = change.indexOf('=')
    if (equalsIndex > 0) out[change.slice(0, equalsIndex)] = change.slice(equalsIndex + 1)
    else delete out[change.replace(/-$/, '')]
  }
  return out
}
