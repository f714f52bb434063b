import { setTimeout as sleep } from 'node:timers/promises'
import type { EntryStatus } from '@wisteriaslip/cli.operators'
import { exitCodes, print, printError, type Command, type ExitCode, type Flags } from '../command.ts'
import { readDocuments } from '../documents.ts'
import { printOperatorError, OperatorClient } from '../operator-client.ts'
import { splitPair } from '../pairs.ts'

const POLL_INTERVAL_MS = 200

interface DocumentName {
  readonly kind: string
  readonly name: string
}

/** `wisteriaslip apply`: writes and deletes operator documents. */
export const applyCommand: Command = {
  name: 'apply',
  help: `Usage: wisteriaslip apply -f FILE [-f FILE] [--delete KIND/NAME] [options]

Validates documents against all others and writes them atomically. A file holds
one document or a list of documents.

  -f, --file FILE      documents in JSON
  --delete KIND/NAME   delete a document
  --revision N         fail if the current revision of any document is not N
  --wait               wait until the documents are in effect at every entry
  --wait-ms N          maximum wait in milliseconds, 10000 by default
  --entry URL, --key-file FILE, --json`,
  async run (_input, flags) {
    const documents = await readDocuments(flags.file)
    if (!documents.ok) {
      printError(documents.error)
      return exitCodes.usage
    }
    const deletes: DocumentName[] = []
    for (const text of flags.delete as string[] | undefined ?? []) {
      const pair = splitPair(text, '/')
      if (pair === undefined) {
        printError({ code: 'DELETE_INVALID', message: `cannot delete ${text}`, hint: 'Use --delete KIND/NAME.' })
        return exitCodes.usage
      }
      deletes.push({ kind: pair[0], name: pair[1] })
    }
    const client = await OperatorClient.from(flags)
    const seen = expectedRevisions(documents.value, flags.revision)
    const applied = await client.post<{ revision: number }>('/v1/apply', { documents: documents.value, deletes, seen })
    if (!applied.ok) return printOperatorError(applied.error)
    if (flags.wait === true) return await waitUntilInEffect(client, applied.value.revision, flags)
    print(flags.json === true ? JSON.stringify(applied.value) : `accepted at revision ${applied.value.revision}`)
    return exitCodes.ok
  }
}

function expectedRevisions (documents: readonly unknown[], revision: unknown): Record<string, number> {
  if (typeof revision !== 'number') return {}
  return Object.fromEntries(documents.map(document => {
    const { kind, name } = document as { kind: string, name: string }
    return [`${kind}/${name}`, revision]
  }))
}

async function waitUntilInEffect (client: OperatorClient, revision: number, flags: Flags): Promise<ExitCode> {
  const maxAttempts = Math.max(1, Math.ceil(Number(flags.waitMs) / POLL_INTERVAL_MS))
  let outdatedMembers: string[] = []
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    const status = await client.get<EntryStatus>('/v1/status')
    if (!status.ok) return printOperatorError(status.error)
    outdatedMembers = status.value.members.filter(member => (member.revision ?? 0) < revision).map(member => member.id)
    if (outdatedMembers.length === 0) {
      print(flags.json === true ? JSON.stringify({ revision, inForce: true }) : `revision ${revision} is in force everywhere`)
      return exitCodes.ok
    }
    await sleep(POLL_INTERVAL_MS)
  }
  printError({ code: 'NOT_IN_FORCE', message: `revision ${revision} is accepted but not yet in effect at ${outdatedMembers.join(', ')}`, hint: 'Run wisteriaslip status; these entries may be disconnected.' })
  return exitCodes.refused
}
