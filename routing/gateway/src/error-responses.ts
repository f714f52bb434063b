import type { ServerResponse } from 'node:http'
import type { Refusal } from '@wisteriaslip/routing.admission'

/** Outcomes of a request that an error response reports to the caller. */
export const requestOutcomes = {
  /** The request has not run and will not run. */
  notRun: 'not-run',
  /** The request may or may not have run. It will not be sent again. */
  unknown: 'unknown'
} as const

/** Error response that the entry itself sends to a caller. */
export interface ErrorResponse {
  readonly status: number
  readonly code: string
  readonly outcome: (typeof requestOutcomes)[keyof typeof requestOutcomes]
  readonly message: string
  readonly hint: string
  readonly retryAfterMs?: number
}

const MIN_RETRY_AFTER_S = 1

/** Error responses with constant contents. */
export const errorResponses = {
  noWorkload: notRun(404, 'NO_WORKLOAD', 'No workload takes this method and path.', 'Check the path, or ask your operator for a workload that matches it.'),
  unknownTenant: notRun(401, 'UNKNOWN_TENANT', 'The key shown belongs to no tenant.', 'Send "Authorization: Bearer KEY" with the key from your operator.'),
  classNotAllowed: notRun(403, 'CLASS_NOT_ALLOWED', 'This workload does not allow the class asked for.', 'Leave out the Wisteriaslip-Class header or name an allowed class.'),
  bodyTooLarge: notRun(413, 'BODY_TOO_LARGE', 'The body is larger than this entry accepts.', 'Send less at once.'),
  bodyIncomplete: notRun(400, 'BODY_INCOMPLETE', 'The body ended early or came too slowly.', 'Send the request again.'),
  badDeadline: notRun(400, 'BAD_DEADLINE', 'Wisteriaslip-Deadline-Ms is not a whole number of milliseconds above 0.', 'Correct or leave out the header.'),
  badIdempotencyKey: notRun(400, 'BAD_IDEMPOTENCY_KEY', 'Idempotency-Key must be 1 to 255 visible ASCII characters, once.', 'Use a UUID, or a key from POST /idempotency-keys.'),
  badPath: notRun(400, 'BAD_PATH', 'The path is not acceptable.', 'Use an absolute path without dot segments, of 8192 characters at most.'),
  idempotencyKeyReused: notRun(422, 'IDEMPOTENCY_KEY_REUSED', 'This Idempotency-Key came before with another request.', 'Use a new key for each different request.'),
  claimUnavailable: notRun(503, 'CLAIM_UNAVAILABLE', 'The Idempotency-Key cannot be recorded now.', 'Try again later, or use a key from POST /idempotency-keys, which works without the store.', 2_000),
  claimLost: unknownOutcome(409, 'OUTCOME_UNKNOWN', 'A request with this Idempotency-Key may have run; its answer is no longer known.', 'Find out at the service itself whether it happened.'),
  stillRunning: unknownOutcome(409, 'STILL_RUNNING', 'A request with this Idempotency-Key is still under way.', 'Send the same request with the same key again later for its answer.', 1_000),
  notReady: notRun(503, 'NOT_READY', 'This entry has no configuration or is not registered yet.', 'Try again at another entry.', 1_000),
  overloaded: notRun(503, 'OVERLOADED', 'This entry holds too many bodies.', 'Try again later or at another entry.', 1_000),
  shuttingDown: notRun(503, 'SHUTTING_DOWN', 'This entry is shutting down.', 'Try again at another entry.', 1_000),
  noTarget: notRun(503, 'NO_TARGET', 'No target could be reached.', 'Try again later.', 1_000),
  outcomeUnknown: unknownOutcome(502, 'OUTCOME_UNKNOWN', 'The request was sent, but no whole answer came back.', 'Find out at the service itself whether it happened; send it again only if it did not.'),
  timedOut: unknownOutcome(504, 'OUTCOME_UNKNOWN', 'The request was sent, but no whole answer came in time.', 'Find out at the service itself whether it happened; send it again only if it did not.')
} as const

/**
 * @param refusal - why the pool's queue refused the request
 * @returns the error response for the caller
 */
export function refusalResponse (refusal: Refusal): ErrorResponse {
  const hint = 'Try again after the time in Retry-After, or allow a longer deadline.'
  return notRun(503, refusal.code, 'The request would not be served before its deadline.', hint, refusal.retryAfterMs)
}

/**
 * Sends an error response, or closes the caller's connection if headers have already been sent.
 * @param res - response to the caller
 * @param requestId - ID of the request
 * @param response - the error response
 */
export function sendError (res: ServerResponse, requestId: string, response: ErrorResponse): void {
  if (res.headersSent) {
    res.destroy()
    return
  }
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'wisteriaslip-request-id': requestId,
    'wisteriaslip-outcome': response.outcome
  }
  if (response.retryAfterMs !== undefined) headers['retry-after'] = String(Math.max(MIN_RETRY_AFTER_S, Math.ceil(response.retryAfterMs / 1_000)))
  const body = JSON.stringify({ code: response.code, outcome: response.outcome, message: response.message, hint: response.hint, requestId })
  res.writeHead(response.status, { ...headers, 'content-length': Buffer.byteLength(body) })
  res.end(body)
}

function notRun (status: number, code: string, message: string, hint: string, retryAfterMs?: number): ErrorResponse {
  return { status, code, outcome: requestOutcomes.notRun, message, hint, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }
}

function unknownOutcome (status: number, code: string, message: string, hint: string, retryAfterMs?: number): ErrorResponse {
  return { status, code, outcome: requestOutcomes.unknown, message, hint, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }
}
