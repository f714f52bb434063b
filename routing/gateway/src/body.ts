import type { IncomingMessage } from 'node:http'
import { readBody as readWholeBody } from '@wisteriaslip/core.http-limits'
import { err, ok, type Result } from '@wisteriaslip/core.result'

/** Bodies are sent on as they are. */
const COST_OF_BYTE = 1

/** Why a request body could not be read. */
export type BodyError = 'too-large' | 'incomplete' | 'overload'

/**
 * Reads the complete body of a request.
 * @param req - request of a caller
 * @param opts - maximum size in bytes and maximum time in milliseconds
 * @returns the body; `incomplete` if it ended early or took too long, `overload` if the process holds too much
 */
export async function readBody (req: IncomingMessage, opts: { maxBytes: number, timeoutMs: number }): Promise<Result<Buffer, BodyError>> {
  if (Number(req.headers['content-length'] ?? 0) > opts.maxBytes) return err('too-large')
  const body = await readWholeBody(req, { ...opts, costOfByte: COST_OF_BYTE })
  return body.kind === 'whole' ? ok(body.bytes) : err(body.kind)
}
