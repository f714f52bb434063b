import { err, ok, delay, type Result } from '@wisteriaslip/core.result'
import { checkDocuments, parseDocument, type Document, type DocumentError, type DocumentKind } from '@wisteriaslip/config.documents'
import { isStoredDocument, type StoredDocument } from '@wisteriaslip/fleet.view'
import type { StoreKeys } from '@wisteriaslip/peers.membership'
import type { Mirror } from '@wisteriaslip/store.mirror'
import type { Change, Store, Versioned } from '@wisteriaslip/store.client'

const MAX_ATTEMPTS = 5
const RETRY_DELAY_MS = 100
const MAX_DOCUMENTS = 120

/** Change of the configuration that an operator requests. */
export interface ApplyRequest {
  readonly documents: readonly unknown[]
  readonly deletes: ReadonlyArray<{ readonly kind: DocumentKind, readonly name: string }>
  /**
   * Revisions of the documents that the operator has seen, by `KIND/NAME`; 0 means that the document did not exist.
   * Documents that are not listed are replaced at any revision.
   */
  readonly seen: Readonly<Record<string, number>>
}

/** Reason why nothing was written or, for `APPLY_UNKNOWN`, why it is not known whether the write took effect. */
export type ApplyError =
  | DocumentError
  | { readonly kind: 'too-many', readonly code: 'TOO_MANY_DOCUMENTS', readonly message: string, readonly hint: string }
  | { readonly kind: 'conflict', readonly code: 'DOCUMENT_CONFLICT', readonly message: string, readonly hint: string }
  | { readonly kind: 'unavailable', readonly code: 'STORE_UNAVAILABLE', readonly message: string, readonly hint: string }
  | { readonly kind: 'unknown', readonly code: 'APPLY_UNKNOWN', readonly message: string, readonly hint: string }

/** Dependencies and options of {@link applyDocuments}. */
export interface ApplyOpts {
  readonly store: Store
  readonly mirror: Mirror
  readonly keys: StoreKeys
  /** Checks the documents without writing them. */
  readonly dryRun: boolean
}

/**
 * Checks the configuration that results from a change and writes the change in one transaction.
 * @param request - documents to write and to delete
 * @param opts - store, mirror, key names and dry run
 * @returns the revision of the write; the mirror's revision for a dry run or when nothing changes
 */
export async function applyDocuments (request: ApplyRequest, opts: ApplyOpts): Promise<Result<{ revision: number }, ApplyError>> {
  if (request.documents.length + request.deletes.length > MAX_DOCUMENTS) return err(tooMany())
  const parsed = parseAll(request.documents)
  if (!parsed.ok) return parsed
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    if (attempt > 0) await delay(RETRY_DELAY_MS, new AbortController().signal)
    const conflict = findConflict(request.seen, opts)
    if (conflict !== undefined) return err(conflict)
    const checked = checkDocuments(resultingDocuments(parsed.value, request, opts))
    if (!checked.ok) return checked
    if (opts.dryRun) return ok({ revision: opts.mirror.revision() })
    const changes = toChanges(parsed.value, request, opts)
    if (changes.length === 0) return ok({ revision: opts.mirror.revision() })
    const written = await opts.store.update([...changes, generationIncrement(opts)])
    if (written.ok) return ok({ revision: written.value })
    if (written.error.kind === 'conflict') continue
    return err(written.error.kind === 'unavailable' && written.error.maybeApplied ? outcomeUnknown() : unavailable(written.error.message))
  }
  return err({ kind: 'conflict', code: 'DOCUMENT_CONFLICT', message: 'the configuration was changed concurrently on every attempt', hint: 'Get the documents again and retry.' })
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
    const currentRevision = opts.mirror.get(opts.keys.documents + name)?.modRevision ?? 0
    if (currentRevision === revision) continue
    return { kind: 'conflict', code: 'DOCUMENT_CONFLICT', message: `${name} is at revision ${currentRevision}, not ${revision}`, hint: 'The document was changed in the meantime. Get it again, redo the change, and apply.' }
  }
  return undefined
}

function resultingDocuments (documents: readonly Document[], request: ApplyRequest, opts: ApplyOpts): Document[] {
  const byKey = new Map<string, Document>()
  for (const doc of opts.mirror.list<StoredDocument>(opts.keys.documents)) {
    if (isStoredDocument(doc.value) && !doc.value.deleted) byKey.set(doc.key, doc.value.document)
  }
  for (const document of documents) byKey.set(opts.keys.document(document.kind, document.name), document)
  for (const { kind, name } of request.deletes) byKey.delete(opts.keys.document(kind, name))
  return [...byKey.values()]
}

function toChanges (documents: readonly Document[], request: ApplyRequest, opts: ApplyOpts): Change[] {
  const puts = documents.map(document => {
    const key = opts.keys.document(document.kind, document.name)
    return { key, value: { document, deleted: false, declaredIn: declaredIn(key, opts) } }
  })
  const deletes = request.deletes.flatMap(({ kind, name }) => {
    const key = opts.keys.document(kind, name)
    const existing = opts.mirror.get<StoredDocument>(key)
    return existing === undefined || !isStoredDocument(existing.value) ? [] : [{ key, value: { document: existing.value.document, deleted: true } }]
  })
  return [...puts, ...deletes]
    .map(({ key, value }) => ({ key, value, prior: opts.mirror.get<StoredDocument>(key) }))
    .filter(change => !isUnchanged(change.prior, change.value))
}

/** A document keeps its generation when it is changed, and gets a new one when it is applied again after a deletion. */
function declaredIn (key: string, opts: ApplyOpts): number | undefined {
  const existing = opts.mirror.get<StoredDocument>(key)
  const exists = existing !== undefined && !existing.value.deleted
  return exists ? existing.value.declaredIn : nextGeneration(opts)
}

function isUnchanged (prior: Versioned<StoredDocument> | undefined, value: StoredDocument): boolean {
  return prior !== undefined && JSON.stringify(prior.value) === JSON.stringify(value)
}

/**
 * Every write of the configuration increments the generation, so that two changes that were checked against the same
 * documents cannot both be written.
 */
function generationIncrement (opts: ApplyOpts): Change {
  const prior = opts.mirror.get<number>(opts.keys.generation)
  return { key: opts.keys.generation, prior, value: nextGeneration(opts) }
}

function nextGeneration (opts: ApplyOpts): number {
  return (opts.mirror.get<number>(opts.keys.generation)?.value ?? 0) + 1
}

function tooMany (): ApplyError {
  return { kind: 'too-many', code: 'TOO_MANY_DOCUMENTS', message: `more than ${MAX_DOCUMENTS} documents in one call`, hint: 'Apply them in several calls, in the order class, tenant, vm, pool, workload, wave.' }
}

function unavailable (message: string): ApplyError {
  return { kind: 'unavailable', code: 'STORE_UNAVAILABLE', message, hint: 'Nothing was written. The current configuration stays in effect; retry when the store is available.' }
}

function outcomeUnknown (): ApplyError {
  return { kind: 'unknown', code: 'APPLY_UNKNOWN', message: 'the store did not confirm the write', hint: 'It may have been applied: get the documents before you apply again.' }
}
