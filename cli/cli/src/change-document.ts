import { exitCodes, print, printError, type ExitCode, type Flags } from './command.ts'
import { printOperatorError, OperatorClient } from './operator-client.ts'

type AnyDocument = Record<string, unknown>

/**
 * Reads a document, changes it, and writes it back unless it has been changed meanwhile.
 * @param subject - kind and name of the document
 * @param flags - flags of the command
 * @param change - returns the changed document
 * @returns the exit code
 */
export async function changeDocument (subject: { kind: string, name: string | undefined }, flags: Flags, change: (document: AnyDocument) => AnyDocument): Promise<ExitCode> {
  if (subject.name === undefined) {
    printError({ code: 'NAME_MISSING', message: `no ${subject.kind} name given`, hint: 'Pass the name after the command.' })
    return exitCodes.usage
  }
  const client = await OperatorClient.from(flags)
  const query = new URLSearchParams({ kind: subject.kind, name: subject.name })
  const listed = await client.get<{ documents: Array<{ document: AnyDocument, revision: number }> }>(`/v1/documents?${query.toString()}`)
  if (!listed.ok) return printOperatorError(listed.error)
  const found = listed.value.documents[0]
  if (found === undefined) {
    printError({ code: 'NOT_FOUND', message: `no such ${subject.kind}: ${subject.name}`, hint: `See wisteriaslip get ${subject.kind}.` })
    return exitCodes.refused
  }
  const seen = { [`${subject.kind}/${subject.name}`]: found.revision }
  const applied = await client.post<{ revision: number }>('/v1/apply', { documents: [change(found.document)], seen })
  if (!applied.ok) return printOperatorError(applied.error)
  print(`accepted at revision ${applied.value.revision}`)
  return exitCodes.ok
}
