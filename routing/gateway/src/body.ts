import type { IncomingMessage } from 'node:http'
import { err, ok, type Result } from '@wisteriaslip/core.result'

/** Why a request body could not be read. */
export type BodyError = 'too-large' | 'incomplete'

/**
 * Reads the complete body of a request.
 * @param req - request of a caller
 * @param opts - maximum size in bytes and maximum time in milliseconds
 * @returns the body; `incomplete` if it ended early or took too long
 */
export async function readBody (req: IncomingMessage, opts: { maxBytes: number, timeoutMs: number }): Promise<Result<Buffer, BodyError>> {
  if (Number(req.headers['content-length'] ?? 0) > opts.maxBytes) return err('too-large')
  return await new Promise(resolve => {
    const chunks: Buffer[] = []
    let bytes = 0
    const finish = (result: Result<Buffer, BodyError>): void => {
      clearTimeout(timer)
      req.removeAllListeners('data')
      resolve(result)
    }
    const timer = setTimeout(() => finish(err('incomplete')), opts.timeoutMs)
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (bytes > opts.maxBytes) finish(err('too-large'))
      else chunks.push(chunk)
    })
    req.on('end', () => finish(req.complete ? ok(Buffer.concat(chunks)) : err('incomplete')))
    req.on('error', () => finish(err('incomplete')))
    req.on('close', () => finish(err('incomplete')))
  })
}
