import { exitCodes, print, type Command } from '../command.ts'
import { printOperatorError, OperatorClient } from '../operator-client.ts'

interface ListedDocument { readonly document: { readonly kind: string, readonly name: string }, readonly revision: number }

/** `wisteriaslip get`: prints the documents in effect. */
export const getCommand: Command = {
  name: 'get',
  help: `Usage: wisteriaslip get [KIND [NAME]] [options]

Shows the documents in effect and their revisions.

  --entry URL, --key-file FILE, --json`,
  async run (input, flags) {
    const client = await OperatorClient.from(flags)
    const query = new URLSearchParams()
    if (input[0] !== undefined) query.set('kind', input[0])
    if (input[1] !== undefined) query.set('name', input[1])
    const listed = await client.get<{ documents: ListedDocument[] }>(`/v1/documents?${query.toString()}`)
    if (!listed.ok) return printOperatorError(listed.error)
    if (flags.json === true) print(JSON.stringify(listed.value.documents))
    else for (const { document, revision } of listed.value.documents) print(`${document.kind}/${document.name} revision ${revision} ${JSON.stringify(document)}`)
    return exitCodes.ok
  }
}
