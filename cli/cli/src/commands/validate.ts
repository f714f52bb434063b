import { readSettings } from '@wisteriaslip/config.settings'
import { checkDocuments, parseDocument, type Document } from '@wisteriaslip/config.documents'
import { exitCodes, print, printError, type Command } from '../command.ts'
import { readDocuments } from '../documents.ts'

/** `wisteriaslip validate`: validates documents and settings locally, without connecting to an entry. */
export const validateCommand: Command = {
  name: 'validate',
  help: `Usage: wisteriaslip validate [-f FILE] [--settings FILE]

Validates settings, and operator documents against each other, without
connecting to an entry.

  -f, --file FILE  documents in JSON
  --settings FILE  settings of an entry, in JSON`,
  async run (_input, flags) {
    if (typeof flags.settings === 'string') {
      const read = await readSettings(flags.settings)
      if (!read.ok) {
        printError(read.error)
        return exitCodes.refused
      }
    }
    const inputs = await readDocuments(flags.file)
    if (!inputs.ok) {
      printError(inputs.error)
      return exitCodes.usage
    }
    const documents: Document[] = []
    for (const input of inputs.value) {
      const parsed = parseDocument(input)
      if (!parsed.ok) {
        printError(parsed.error)
        return exitCodes.refused
      }
      documents.push(parsed.value)
    }
    const checked = checkDocuments(documents)
    if (!checked.ok) {
      printError(checked.error)
      return exitCodes.refused
    }
    print('valid')
    return exitCodes.ok
  }
}
