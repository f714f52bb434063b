import { createHash } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { FleetConfig, TenantDoc, WorkloadDoc } from '@wisteriaslip/config.documents'
import { headerNames, single } from './headers.ts'
import { errorReply, type ErrorReply } from './replies.ts'

const MAX_PATH_CHARS = 8_192
const VISIBLE_ASCII = /^[\x21-\x7e]{1,255}$/
const DOT_SEGMENT = /(^|\/)(\.|%2e){1,2}(\/|$)/i

/** What a caller asks for, checked against the configuration. */
export interface Intake {
  readonly method: string
  /** Path with the query. */
  readonly path: string
  readonly workload: WorkloadDoc
  readonly pool: string
  readonly tenant: TenantDoc
  readonly class: string
  readonly deadlineMs: number
  readonly key: string | undefined
}

/**
 * Checks the head of a request.
 * @param req - from the caller
 * @param config - in force
 * @returns what is asked for, or why it is refused
 */
export function checkHead (req: IncomingMessage, config: FleetConfig): Result<Intake, ErrorReply> {
  const path = req.url ?? ''
  const plainPath = path.split('?', 1)[0] ?? ''
  if (!path.startsWith('/') || path.length > MAX_PATH_CHARS || DOT_SEGMENT.test(plainPath)) return err(errorReply.badPath)
  const method = req.method ?? 'GET'
  const workload = config.workloadFor(method, plainPath)
  const pool = workload === undefined ? undefined : config.poolFor(workload.name)
  if (workload === undefined || pool === undefined) return err(errorReply.noWorkload)
  const tenant = config.tenantFor(keyHash(single(req.headers, 'authorization')))
  if (tenant === undefined) return err(errorReply.unknownTenant)
  const className = single(req.headers, headerNames.class) ?? workload.class
  if (className !== workload.class && !workload.otherClasses.includes(className)) return err(errorReply.classNotAllowed)
  const deadlineMs = readDeadline(req, workload)
  if (deadlineMs === undefined) return err(errorReply.badDeadline)
  const key = req.headers['idempotency-key']
  if (key !== undefined && (typeof key !== 'string' || !VISIBLE_ASCII.test(key))) return err(errorReply.badKey)
  return ok({ method, path, workload, pool: pool.name, tenant, class: className, deadlineMs, key })
}

function keyHash (authorization: string | undefined): string | undefined {
  if (authorization === undefined) return undefined
  const key = authorization.replace(/^Bearer\s+/i, '')
  return createHash('sha256').update(key).digest('hex')
}

function readDeadline (req: IncomingMessage, workload: WorkloadDoc): number | undefined {
  const header = req.headers[headerNames.deadline]
  if (header === undefined) return workload.deadlineMs
  const ms = Number(header)
  if (!Number.isInteger(ms) || ms <= 0) return undefined
  return Math.min(ms, workload.deadlineMs)
}
