import type { IncomingMessage } from 'node:http'
import { guardedConnection } from './guard-server.ts'
import { JoinedBytes } from './joined-bytes.ts'

/** Bytes, text and parsed value. */
const COST_OF_PARSED_BODY = 3

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
  /** What a byte of the whole body costs until the response is complete; 3 by default, for a body that is parsed. */
  readonly costOfByte?: number
}

/**
 * Reads the body of a request. Its bytes are joined as they come, and counted until the response is complete.
 * @param req - the request
 * @param opts - limits
 * @returns the body; the promise never rejects
 */
export async function readBody (req: IncomingMessage, { maxBytes, drainBytes = 0, timeoutMs, costOfByte = COST_OF_PARSED_BODY }: ReadBodyOpts): Promise<BodyResult> {
  const connection = guardedConnection(req.socket)
  return await new Promise(resolve => {
    const joined = new JoinedBytes(maxBytes)
    let length = 0
    const finish = (result: BodyResult): void => {
      clearTimeout(timer)
      req.removeListener('data', onData)
      resolve(result)
    }
    const timer = timeoutMs === undefined ? undefined : setTimeout(() => finish({ kind: 'incomplete' }), timeoutMs)
    const onData = (chunk: Buffer): void => {
      length += chunk.length
      if (length <= maxBytes) {
        joined.add(chunk)
        connection?.holdBody(joined.allocated())
      } else if (length > maxBytes + drainBytes) {
        finish({ kind: 'too-large' })
        if (drainBytes > 0) connection?.closeEndless()
      }
    }
    req.on('data', onData)
    req.once('end', () => {
      if (!req.complete) finish({ kind: 'incomplete' })
      else if (length > maxBytes) finish({ kind: 'too-large' })
      else if (connection?.holdBody(length * costOfByte) === false) {
        connection.noteOverload()
        finish({ kind: 'overload' })
      } else finish({ kind: 'whole', bytes: joined.join() })
    })
    req.once('error', () => finish({ kind: 'incomplete' }))
    req.once('close', () => finish({ kind: 'incomplete' }))
  })
}
