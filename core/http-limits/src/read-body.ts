import type { IncomingMessage } from 'node:http'
import { guardedConnection } from './guard-server.ts'

const FIRST_BYTES = 4_096
/** Buffer, text and parsed value. */
const COST_OF_WHOLE_BODY = 3

/** A body, or why there is none: `incomplete` also when its time is over, `overload` when the process holds too much. */
export type BodyResult = { readonly kind: 'whole', readonly bytes: Buffer } | { readonly kind: 'too-large' | 'incomplete' | 'overload' }

/** Options of {@link readBody}. */
export interface ReadBodyOpts {
  /** Largest size in bytes. */
  readonly maxBytes: number
  /** Bytes beyond the largest size that are read and dropped before the response; more of them close the connection. */
  readonly drainBytes?: number
  /** Longest time in milliseconds; unlimited if undefined. */
  readonly timeoutMs?: number
}

/**
 * Reads the body of a request. Its bytes are joined as they come, and counted until the response is complete.
 * @param req - the request
 * @param opts - limits
 * @returns the body; the promise never rejects
 */
export async function readBody (req: IncomingMessage, { maxBytes, drainBytes = 0, timeoutMs }: ReadBodyOpts): Promise<BodyResult> {
  const connection = guardedConnection(req.socket)
  return await new Promise(resolve => {
    let buffer = Buffer.alloc(0)
    let length = 0
    const finish = (result: BodyResult): void => {
      clearTimeout(timer)
      req.removeListener('data', onData)
      buffer = Buffer.alloc(0)
      resolve(result)
    }
    const timer = timeoutMs === undefined ? undefined : setTimeout(() => finish({ kind: 'incomplete' }), timeoutMs)
    const onData = (chunk: Buffer): void => {
      length += chunk.length
      if (length <= maxBytes) {
        if (length > buffer.length) {
          buffer = grown(buffer, { length, maxBytes, before: length - chunk.length })
          connection?.holdBody(buffer.length)
        }
        chunk.copy(buffer, length - chunk.length)
        return
      }
      if (buffer.length > 0) connection?.holdBody(0)
      buffer = Buffer.alloc(0)
      if (length <= maxBytes + drainBytes) return
      finish({ kind: 'too-large' })
      if (drainBytes > 0) connection?.closeEndless()
    }
    req.on('data', onData)
    req.once('end', () => {
      if (!req.complete) finish({ kind: 'incomplete' })
      else if (length > maxBytes) finish({ kind: 'too-large' })
      else if (connection?.holdBody(length * COST_OF_WHOLE_BODY) === false) {
        connection.noteOverload()
        finish({ kind: 'overload' })
      } else finish({ kind: 'whole', bytes: buffer.subarray(0, length) })
    })
    req.once('error', () => finish({ kind: 'incomplete' }))
    req.once('close', () => finish({ kind: 'incomplete' }))
  })
}

/** @returns a buffer with room for `length` bytes that holds the first `before` bytes of the given one */
function grown (buffer: Buffer, { length, maxBytes, before }: { length: number, maxBytes: number, before: number }): Buffer {
  const larger = Buffer.allocUnsafe(Math.min(maxBytes, Math.max(length, buffer.length * 2, FIRST_BYTES)))
  buffer.copy(larger, 0, 0, before)
  return larger
}
