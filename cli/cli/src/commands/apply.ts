import { setTimeout as sleep } from 'node:timers/promises'
import type { EntryStatus } from '@wisteriaslip/cli.operators'
import { exitCodes, print, printError, type Command, type ExitCode, type Flags } from '../command.ts'
import { readDocuments } from '../documents.ts'
import { fail, OperatorClient } from '../operator-client.ts'

const POLL_MS = 200

/** `wisteriaslip apply`: writes documents. */
export const applyCommand: Command = {
  name: 'apply',
  summary: 'write operator documents',
  help: `Usage: wisteriaslip apply -f FILE [-f FILE] [--delete KIND/NAME] [options]

Checks documents against all others and writes them in one step. A file holds
one document or a list of them.

  -f, --file FILE      documents in JSON
  --delete KIND/NAME   delete a document
  --revision N         refuse if any of the documents has another revision by now
  --wait               return when they are in force at every entry
  --wait-ms N          longest wait, 10000 by default
  --entry URL, --key-file FILE, --json`,
  async run (_input, flags) {
    const documents = await readDocuments(flags.file)
    if (!documents.ok) {
      printError(documents.error)
      return exitCodes.usage
    }
    const client = await OperatorClient.from(flags)
    const deletes = (flags.delete as string[] | undefined ?? []).map(parseName)
    const seen = seenRevisions(documents.value, flags.revision)
    const applied = await client.post<{ revision: number }>('/v1/apply', { documents: documents.value, deletes, seen })
    if (!applied.ok) return fail(applied.error)
    if (flags.wait === true) return await waitInForce(client, applied.value.revision, flags)
    print(flags.json === true ? JSON.stringify(applied.value) : `accepted at revision ${applied.value.revision}`)
    return exitCodes.ok
  }
}

function parseName (text: string): { kind: string, name: string } {
  const slash = text.indexOf('/')
  return { kind: text.slice(0, slash), name: text.slice(slash + 1) }
}

function seenRevisions (documents: readonly unknown[], revision: unknown): Record<string, number> {
  if (typeof revision !== 'number') return {}
  return Object.fromEntries(documents.map(document => {
    const { kind, name } = document as { kind: string, name: string }
    return [`${kind}/${name}`, revision]
  }))
}

async function waitInForce (client: OperatorClient, revision: number, flags: Flags): Promise<ExitCode> {
  const tries = Math.ceil(Number(flags.waitMs) / POLL_MS)
  let lacking: string[] = []
  for (let attempt = 0; attempt < tries; attempt++) {
    const status = await client.get<EntryStatus>('/v1/status')
    if (!status.ok) return fail(status.error)
    lacking = status.value.members.filter(member => (member.revision ?? 0) < revision).map(member => member.id)
    if (lacking.length === 0) {
      print(flags.json === true ? JSON.stringify({ revision, inForce: true }) : `revision ${revision} is in force everywhere`)
      return exitCodes.ok
    }
    await sleep(POLL_MS)
  }
  printError({ code: 'NOT_IN_FORCE', message: `revision ${revision} is accepted but not yet in force at ${lacking.join(', ')}`, hint: 'See wisteriaslip status; those entries may be cut off.' })
  return exitCodes.refused
}
