import { err, ok, delay, type Result } from '@wisteriaslip/core.result'
import { checkDocuments, parseDocument, type Document, type DocumentError, type Kind } from '@wisteriaslip/config.documents'
import type { StoredDocument } from '@wisteriaslip/fleet.view'
import type { StoreKeys } from '@wisteriaslip/peers.membership'
import type { Mirror } from '@wisteriaslip/store.mirror'
import type { Change, Store, Versioned } from '@wisteriaslip/store.client'

const TRIES = 5
const CATCH_UP_MS = 100
const MAX_DOCUMENTS = 120

/** What an operator wants changed. */
export interface ApplyRequest {
  readonly documents: readonly unknown[]
  readonly deletes: ReadonlyArray<{ readonly kind: Kind, readonly name: string }>
  /** Revisions that the operator saw, by `KIND/NAME`; 0 says that it saw none. Left out, any present revision is replaced. */
  readonly seen: Readonly<Record<string, number>>
}

/** Why nothing was written, or why that is not known. */
export type ApplyError =
  | DocumentError
  | { readonly kind: 'too-many', readonly code: 'TOO_MANY_DOCUMENTS', readonly message: string, readonly hint: string }
  | { readonly kind: 'conflict', readonly code: 'DOCUMENT_CONFLICT', readonly message: string, readonly hint: string }
  | { readonly kind: 'unavailable', readonly code: 'STORE_UNAVAILABLE', readonly message: string, readonly hint: string }
  | { readonly kind: 'unknown', readonly code: 'APPLY_UNKNOWN', readonly message: string, readonly hint: string }

/** What applying needs of the entry. */
export interface ApplyOpts {
  readonly store: Store
  readonly mirror: Mirror
  readonly keys: StoreKeys
  /** Check only; write nothing. */
  readonly dryRun: boolean
}

/**
 * Checks documents against all others and writes them in one transaction.
 * @param request - what to change
 * @param opts - store, mirror and key names
 * @returns the revision at which it was accepted
 */
export async function applyDocuments (request: ApplyRequest, opts: ApplyOpts): Promise<Result<{ revision: number }, ApplyError>> {
  if (request.documents.length + request.deletes.length > MAX_DOCUMENTS) return err(tooMany())
  const parsed = parseAll(request.documents)
  if (!parsed.ok) return parsed
  for (let attempt = 0; attempt < TRIES; attempt++) {
    if (attempt > 0) await delay(CATCH_UP_MS, new AbortController().signal)
    const conflict = findConflict(request.seen, opts)
    if (conflict !== undefined) return err(conflict)
    const checked = checkDocuments(afterwards(parsed.value, request, opts))
    if (!checked.ok) return checked
    if (opts.dryRun) return ok({ revision: opts.mirror.revision() })
    const changes = toChanges(parsed.value, request, opts)
    if (changes.length === 0) return ok({ revision: opts.mirror.revision() })
    const written = await opts.store.update([...changes, nextGeneration(opts)])
    if (written.ok) return ok({ revision: written.value })
    if (written.error.kind === 'conflict') continue
    return err(written.error.kind === 'unavailable' && written.error.maybeApplied ? unknown() : unavailable(written.error.message))
  }
  return err({ kind: 'conflict', code: 'DOCUMENT_CONFLICT', message: 'other operators keep changing the configuration', hint: 'Get the documents again and retry.' })
}

function parseAll (inputs: readonly unknown[]): Result<Document[], DocumentError> {
  const documents: Document[] = []
  for (const input of inputs) {
    const parsed = parseDocument(input)
    if (!parsed.ok) return parsed
    documents.push(parsed.value)
  }
  return ok(documents)
}

function findConflict (seen: Readonly<Record<string, number>>, opts: ApplyOpts): ApplyError | undefined {
  for (const [name, revision] of Object.entries(seen)) {
    const present = opts.mirror.get(opts.keys.documents + name)?.modRevision ?? 0
    if (present === revision) continue
    return { kind: 'conflict', code: 'DOCUMENT_CONFLICT', message: `${name} is at revision ${present}, not ${revision}`, hint: 'Somebody changed it meanwhile. Get it again, redo the change, and apply.' }
  }
  return undefined
}

function afterwards (documents: readonly Document[], request: ApplyRequest, opts: ApplyOpts): Document[] {
  const byKey = new Map<string, Document>()
  for (const doc of opts.mirror.list<StoredDocument>(opts.keys.documents)) {
    if (!doc.value.deleted) byKey.set(doc.key, doc.value.document)
  }
  for (const document of documents) byKey.set(opts.keys.document(document.kind, document.name), document)
  for (const { kind, name } of request.deletes) byKey.delete(opts.keys.document(kind, name))
  return [...byKey.values()]
}

function toChanges (documents: readonly Document[], request: ApplyRequest, opts: ApplyOpts): Change[] {
  const puts = documents.map(document => ({ key: opts.keys.document(document.kind, document.name), value: { document, deleted: false } }))
  const deletes = request.deletes.flatMap(({ kind, name }) => {
    const key = opts.keys.document(kind, name)
    const known = opts.mirror.get<StoredDocument>(key)
    return known === undefined ? [] : [{ key, value: { document: known.value.document, deleted: true } }]
  })
  return [...puts, ...deletes]
    .map(({ key, value }) => ({ key, value, prior: opts.mirror.get<StoredDocument>(key) }))
    .filter(change => !sameValue(change.prior, change.value))
}

function sameValue (prior: Versioned<StoredDocument> | undefined, value: StoredDocument): boolean {
  return prior !== undefined && JSON.stringify(prior.value) === JSON.stringify(value)
}

/** Every change of the configuration moves this key on, so that two checked against the same documents cannot both be written. */
function nextGeneration (opts: ApplyOpts): Change {
  const prior = opts.mirror.get<number>(opts.keys.generation)
  return { key: opts.keys.generation, prior, value: (prior?.value ?? 0) + 1 }
}

function tooMany (): ApplyError {
  return { kind: 'too-many', code: 'TOO_MANY_DOCUMENTS', message: `more than ${MAX_DOCUMENTS} documents at once`, hint: 'Apply them in several calls, in the order class, tenant, vm, pool, workload, wave.' }
}

function unavailable (message: string): ApplyError {
  return { kind: 'unavailable', code: 'STORE_UNAVAILABLE', message, hint: 'Nothing was written. The configuration in force stays in force; try again when the store is back.' }
}

function unknown (): ApplyError {
  return { kind: 'unknown', code: 'APPLY_UNKNOWN', message: 'the store did not confirm the write', hint: 'It may have been written: get the documents before you apply again.' }
}
