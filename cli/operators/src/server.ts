import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { z } from 'zod'
import { limitedServerOptions, readBody } from '@wisteriaslip/core.http-limits'
import { hasValidKey } from '@wisteriaslip/core.auth'
import type { Result } from '@wisteriaslip/core.result'
import { documentKinds, type Document, type DocumentKind } from '@wisteriaslip/config.documents'
import type { ApplyError, ApplyRequest } from '@wisteriaslip/config.apply'
import { formatIssues } from '@wisteriaslip/config.settings'
import { subjectKinds, type SubjectKind } from '@wisteriaslip/core.decisions'
import type { EntryStatus, Explanation } from './status.ts'

const overload = Symbol('overload')
const MAX_BODY_BYTES = 8 * 1024 * 1024

const applySchema = z.strictObject({
  documents: z.array(z.unknown()).default([]),
  deletes: z.array(z.strictObject({ kind: z.enum(documentKinds), name: z.string() })).default([]),
  seen: z.record(z.string(), z.number().int()).default({}),
  dryRun: z.boolean().default(false)
})

/** Options of {@link createOperatorServer}: the operator key and the handlers of the requests. */
export interface OperatorServerOpts {
  /**
   * Key that authenticates operators; undefined if the settings name no keys, which they may omit only with
   * `trialWithoutKeys`.
   */
  readonly key: string | undefined
  readonly apply: (request: ApplyRequest, dryRun: boolean) => Promise<Result<{ revision: number }, ApplyError>>
  readonly documents: (kind: DocumentKind | undefined, name: string | undefined) => Array<{ document: Document, revision: number }>
  readonly status: () => EntryStatus
  readonly explain: (kind: SubjectKind, name: string) => Promise<Explanation>
  readonly metrics: () => string
}

/**
 * Creates the HTTP server for operators: `GET /v1/documents`, `POST /v1/apply`, `GET /v1/status`, `GET /v1/explain`,
 * `GET /metrics`.
 * @param opts - operator key and request handlers
 * @returns a server that is not listening yet
 */
export function createOperatorServer (opts: OperatorServerOpts): Server {
  return createServer(limitedServerOptions, (req, res) => {
    handleRequest(req, res, opts).catch(error => sendJson(res, 500, { code: 'INTERNAL', message: String(error), hint: 'See the entry\'s log.' }))
  })
}

async function handleRequest (req: IncomingMessage, res: ServerResponse, opts: OperatorServerOpts): Promise<void> {
  if (!hasValidKey(req, opts.key)) {
    return sendJson(res, 401, { code: 'OPERATOR_KEY_WRONG', message: 'the operator key is missing or wrong', hint: 'Set WISTERIASLIP_KEY or pass --key-file.' })
  }
  const url = new URL(req.url ?? '/', 'http://entry')
  const route = `${req.method ?? 'GET'} ${url.pathname}`
  switch (route) {
    case 'GET /metrics':
      res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' })
      res.end(opts.metrics())
      return
    case 'GET /v1/status': return sendJson(res, 200, opts.status())
    case 'GET /v1/documents': return handleGetDocuments(url, res, opts)
    case 'GET /v1/explain': return await explain(url, res, opts)
    case 'POST /v1/apply': return await handleApply(req, res, opts)
    default: return sendJson(res, 404, { code: 'NO_ROUTE', message: `${route} does not exist`, hint: 'See docs/OPERATORS.md.' })
  }
}

function handleGetDocuments (url: URL, res: ServerResponse, opts: OperatorServerOpts): void {
  const kind = z.enum(documentKinds).optional().safeParse(url.searchParams.get('kind') ?? undefined)
  if (!kind.success) return sendJson(res, 400, { code: 'BAD_KIND', message: 'unknown document kind', hint: `Use one of ${documentKinds.join(', ')}.` })
  sendJson(res, 200, { documents: opts.documents(kind.data, url.searchParams.get('name') ?? undefined) })
}

async function explain (url: URL, res: ServerResponse, opts: OperatorServerOpts): Promise<void> {
  const kind = url.searchParams.get('kind') ?? ''
  const name = url.searchParams.get('name') ?? ''
  if (!(kind in subjectKinds) || name === '') {
    return sendJson(res, 400, { code: 'BAD_SUBJECT', message: 'the kind is unknown or the name is missing', hint: `Use one of ${Object.keys(subjectKinds).join(', ')}.` })
  }
  sendJson(res, 200, await opts.explain(kind as SubjectKind, name))
}

async function handleApply (req: IncomingMessage, res: ServerResponse, opts: OperatorServerOpts): Promise<void> {
  const body = await readJson(req)
  if (body === overload) return sendJson(res, 503, { code: 'OVERLOADED', message: 'the entry holds too many bodies; nothing was applied', hint: 'Send it again later, or to another entry.' })
  const parsed = applySchema.safeParse(body)
  if (!parsed.success) {
    return sendJson(res, 400, { code: 'BAD_REQUEST', message: formatIssues(parsed.error.issues, body).join('; '), hint: 'Send {"documents": [...], "deletes": [...], "seen": {...}}.' })
  }
  const applied = await opts.apply(parsed.data, parsed.data.dryRun)
  if (applied.ok) return sendJson(res, 200, applied.value)
  sendJson(res, httpStatusOf(applied.error), { code: applied.error.code, message: applied.error.message, hint: applied.error.hint })
}

function httpStatusOf (error: ApplyError): number {
  switch (error.kind) {
    case 'invalid-document': return 422
    case 'too-many': return 413
    case 'conflict': return 409
    case 'unavailable': return 503
    case 'unknown': return 504
  }
}

async function readJson (req: IncomingMessage): Promise<unknown> {
  const body = await readBody(req, { maxBytes: MAX_BODY_BYTES })
  if (body.kind === 'overload') return overload
  if (body.kind !== 'whole') return undefined
  try {
    return JSON.parse(body.bytes.toString()) as unknown
  } catch {
    return undefined
  }
}

function sendJson (res: ServerResponse, status: number, body: unknown): void {
  if (res.headersSent) return
  res.writeHead(status, { 'content-type': 'application/json' })
  res.end(JSON.stringify(body))
}
