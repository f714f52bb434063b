import type { ServerResponse } from 'node:http'
import type { Refusal } from '@wisteriaslip/routing.admission'

/** What became of a request, as the caller is told. */
export const outcomes = {
  /** It did not run and will not. */
  notRun: 'not-run',
  /** It may or may not have run. It will not be sent again. */
  unknown: 'unknown'
} as const

/** An answer that the entry itself gives. */
export interface ErrorReply {
  readonly status: number
  readonly code: string
  readonly outcome: (typeof outcomes)[keyof typeof outcomes]
  readonly message: string
  readonly hint: string
  readonly retryAfterMs?: number
}

const MIN_RETRY_AFTER_S = 1

/** Replies that depend on nothing but their code. */
export const errorReply = {
  noWorkload: notRun(404, 'NO_WORKLOAD', 'No workload takes this method and path.', 'Check the path, or ask your operator for a workload that matches it.'),
  unknownTenant: notRun(401, 'UNKNOWN_TENANT', 'The key shown belongs to no tenant.', 'Send "Authorization: Bearer KEY" with the key from your operator.'),
  classNotAllowed: notRun(403, 'CLASS_NOT_ALLOWED', 'This workload does not allow the class asked for.', 'Leave out the Wisteriaslip-Class header or name an allowed class.'),
  bodyTooLarge: notRun(413, 'BODY_TOO_LARGE', 'The body is larger than this entry accepts.', 'Send less at once.'),
  bodyIncomplete: notRun(400, 'BODY_INCOMPLETE', 'The body ended early or came too slowly.', 'Send the request again.'),
  badDeadline: notRun(400, 'BAD_DEADLINE', 'Wisteriaslip-Deadline-Ms is not a whole number of milliseconds above 0.', 'Correct or leave out the header.'),
  badKey: notRun(400, 'BAD_IDEMPOTENCY_KEY', 'Idempotency-Key must be 1 to 255 visible ASCII characters, once.', 'Use a UUID, or a key from POST /idempotency-keys.'),
  badPath: notRun(400, 'BAD_PATH', 'The path is not acceptable.', 'Use an absolute path without dot segments, of 8192 characters at most.'),
  keyReused: notRun(422, 'IDEMPOTENCY_KEY_REUSED', 'This Idempotency-Key came before with another request.', 'Use a new key for each different request.'),
  claimUnavailable: notRun(503, 'CLAIM_UNAVAILABLE', 'The Idempotency-Key cannot be recorded now.', 'Try again later, or use a key from POST /idempotency-keys, which works without the store.', 2_000),
  claimLost: unknown(409, 'OUTCOME_UNKNOWN', 'A request with this Idempotency-Key may have run; its answer is no longer known.', 'Find out at the service itself whether it happened.'),
  stillRunning: unknown(409, 'STILL_RUNNING', 'A request with this Idempotency-Key is still under way.', 'Send the same request with the same key again later for its answer.', 1_000),
  notReady: notRun(503, 'NOT_READY', 'This entry has no configuration or is not registered yet.', 'Try again at another entry.', 1_000),
  shuttingDown: notRun(503, 'SHUTTING_DOWN', 'This entry is shutting down.', 'Try again at another entry.', 1_000),
  noTarget: notRun(503, 'NO_TARGET', 'No target could be reached.', 'Try again later.', 1_000),
  outcomeUnknown: unknown(502, 'OUTCOME_UNKNOWN', 'The request was sent, but no whole answer came back.', 'Find out at the service itself whether it happened; send it again only if it did not.'),
  timedOut: unknown(504, 'OUTCOME_UNKNOWN', 'The request was sent, but no whole answer came in time.', 'Find out at the service itself whether it happened; send it again only if it did not.')
} as const

/**
 * @param refusal - of the queue
 * @returns the reply to the caller
 */
export function refusalReply (refusal: Refusal): ErrorReply {
  const hint = 'Try again after the time in Retry-After, or allow a longer deadline.'
  return notRun(503, refusal.code, 'The request would not be served before its deadline.', hint, refusal.retryAfterMs)
}

/**
 * Sends a reply of the entry itself.
 * @param res - to the caller
 * @param requestId - id of the request
 * @param reply - what to say
 */
export function sendError (res: ServerResponse, requestId: string, reply: ErrorReply): void {
  if (res.headersSent) {
    res.destroy()
    return
  }
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'wisteriaslip-request-id': requestId,
    'wisteriaslip-outcome': reply.outcome
  }
  if (reply.retryAfterMs !== undefined) headers['retry-after'] = String(Math.max(MIN_RETRY_AFTER_S, Math.ceil(reply.retryAfterMs / 1_000)))
  const body = JSON.stringify({ code: reply.code, outcome: reply.outcome, message: reply.message, hint: reply.hint, requestId })
  res.writeHead(reply.status, { ...headers, 'content-length': Buffer.byteLength(body) })
  res.end(body)
}

function notRun (status: number, code: string, message: string, hint: string, retryAfterMs?: number): ErrorReply {
  return { status, code, outcome: outcomes.notRun, message, hint, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }
}

function unknown (status: number, code: string, message: string, hint: string, retryAfterMs?: number): ErrorReply {
  return { status, code, outcome: outcomes.unknown, message, hint, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }
}
