import { createHash } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { FleetConfig, TenantDoc, WorkloadDoc } from '@wisteriaslip/config.documents'
import { errorResponses, type ErrorResponse } from './error-responses.ts'
import { gatewayHeaderNames, singleHeader } from './headers.ts'

const MAX_PATH_CHARS = 8_192
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/
const DOT_SEGMENT_PATTERN = /(^|\/)(\.|%2e){1,2}(\/|$)/i

/** Validated request line and headers of a request. */
export interface RequestHead {
  readonly method: string
  /** Path including the query string. */
  readonly path: string
  readonly workload: WorkloadDoc
  readonly pool: string
  readonly tenant: TenantDoc
  readonly class: string
  readonly deadlineMs: number
  /** Value of the Idempotency-Key header. */
  readonly key: string | undefined
}

/**
 * Validates the request line and headers of a request against the configuration.
 * @param req - request of a caller
 * @param config - configuration in effect
 * @returns the validated head, or the error response for the caller
 */
export function validateHead (req: IncomingMessage, config: FleetConfig): Result<RequestHead, ErrorResponse> {
  const path = req.url ?? ''
  const pathname = path.split('?', 1)[0] ?? ''
  if (!path.startsWith('/') || path.length > MAX_PATH_CHARS || DOT_SEGMENT_PATTERN.test(pathname)) return err(errorResponses.badPath)
  const method = req.method ?? 'GET'
  const workload = config.workloadFor(method, pathname)
  const pool = workload === undefined ? undefined : config.poolFor(workload.name)
  if (workload === undefined || pool === undefined) return err(errorResponses.noWorkload)
  const tenant = config.tenantFor(hashBearerKey(singleHeader(req.headers, 'authorization')))
  if (tenant === undefined) return err(errorResponses.unknownTenant)
  const className = singleHeader(req.headers, gatewayHeaderNames.class) ?? workload.class
  if (className !== workload.class && !workload.otherClasses.includes(className)) return err(errorResponses.classNotAllowed)
  const deadlineMs = parseDeadlineMs(req, workload)
  if (deadlineMs === undefined) return err(errorResponses.badDeadline)
  const key = req.headers['idempotency-key']
  if (key !== undefined && (typeof key !== 'string' || !IDEMPOTENCY_KEY_PATTERN.test(key))) return err(errorResponses.badIdempotencyKey)
  return ok({ method, path, workload, pool: pool.name, tenant, class: className, deadlineMs, key })
}

function hashBearerKey (authorization: string | undefined): string | undefined {
  if (authorization === undefined) return undefined
  const key = authorization.replace(/^Bearer\s+/i, '')
  return createHash('sha256').update(key).digest('hex')
}

function parseDeadlineMs (req: IncomingMessage, workload: WorkloadDoc): number | undefined {
  const header = req.headers[gatewayHeaderNames.deadline]
  if (header === undefined) return workload.deadlineMs
  const ms = Number(header)
  if (!Number.isInteger(ms) || ms <= 0) return undefined
  return Math.min(ms, workload.deadlineMs)
}
