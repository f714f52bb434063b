import { readSettings } from '@wisteriaslip/config.settings'
import { checkDocuments, parseDocument, type Document } from '@wisteriaslip/config.documents'
import { exitCodes, print, printError, type Command } from '../command.ts'
import { readDocuments } from '../documents.ts'

/** `wisteriaslip validate`: checks files without an entry. */
export const validateCommand: Command = {
  name: 'validate',
  summary: 'check settings or documents without writing',
  help: `Usage: wisteriaslip validate [-f FILE] [--settings FILE]

Checks operator documents against each other, and settings, without any entry.

  -f, --file FILE  documents in JSON
  --settings FILE  settings of an entry`,
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
