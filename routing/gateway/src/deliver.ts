import type { ServerResponse } from 'node:http'
import type { RecordedResponse } from '@wisteriaslip/peers.protocol'
import type { OpenResponse } from './exchange.ts'
import { callerHeaders, headerNames } from './headers.ts'

/** A response up to this size is read completely before any of it is sent, so that truncation can be reported as an error. */
const MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024

/** How a response was forwarded to the caller. */
export type Delivery =
  /** The complete response was forwarded. */
  | { readonly kind: 'whole', readonly outcome: RecordedResponse | undefined }
  /** Truncated before any of it was forwarded: another response can still be sent. */
  | { readonly kind: 'cut-unheard' }
  /** Truncated after part of it was forwarded: the caller's connection was closed, which the caller sees as an error. */
  | { readonly kind: 'cut-midway' }

/**
 * Reads a target's response and forwards it to the caller, with backpressure. A truncated response is never forwarded
 * as a complete one.
 * @param response - the target's response
 * @param res - response to the caller
 * @param requestId - ID of the request
 * @returns how it was forwarded, with a copy of the response if it was small enough to be buffered
 */
export async function deliver (response: OpenResponse, res: ServerResponse, requestId: string): Promise<Delivery> {
  const headers = callerHeaders(response.answer.headers, { [headerNames.requestId]: requestId })
  const chunks: Buffer[] = []
  let bytes = 0
  let streaming = false
  try {
    for await (const chunk of response.answer.body as AsyncIterable<Buffer>) {
      bytes += chunk.length
      if (!streaming) chunks.push(chunk)
      if (!streaming && bytes <= MAX_BUFFERED_RESPONSE_BYTES) continue
      if (!streaming) {
        streaming = true
        res.writeHead(response.answer.status, headers)
        for (const bufferedChunk of chunks.splice(0)) await write(res, bufferedChunk)
        continue
      }
      await write(res, chunk)
    }
  } catch {
    response.end({ complete: false })
    if (streaming) res.destroy()
    return { kind: streaming ? 'cut-midway' : 'cut-unheard' }
  }
  response.end({ complete: true })
  if (streaming) {
    res.end()
    return { kind: 'whole', outcome: undefined }
  }
  const body = Buffer.concat(chunks)
  sendResponse(res, response.answer.status, headers, body)
  return { kind: 'whole', outcome: toOutcome(response.answer.status, headers, body) }
}

/**
 * Sends the recorded response of an earlier request with the same idempotency key.
 * @param outcome - recorded response
 * @param res - response to the caller
 */
export function replay (outcome: RecordedResponse, res: ServerResponse): void {
  sendResponse(res, outcome.status, { ...outcome.headers }, Buffer.from(outcome.bodyBase64, 'base64'))
}

function sendResponse (res: ServerResponse, status: number, headers: Record<string, string | string[]>, body: Buffer): void {
  const isHead = res.req.method === 'HEAD'
  const hasNoBody = status === 204 || status === 304 || isHead
  res.writeHead(status, hasNoBody ? headers : { ...headers, 'content-length': String(body.length) })
  res.end(hasNoBody ? undefined : body)
}

function toOutcome (status: number, headers: Record<string, string | string[]>, body: Buffer): RecordedResponse {
  const flat = Object.entries(headers).map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : value])
  return { status, headers: Object.fromEntries(flat), bodyBase64: body.toString('base64') }
}

async function write (res: ServerResponse, chunk: Buffer): Promise<void> {
  if (res.destroyed) return
  if (res.write(chunk)) return
  await new Promise<void>(resolve => {
    const onWritable = (): void => {
      res.removeListener('drain', onWritable)
      res.removeListener('close', onWritable)
      resolve()
    }
    res.once('drain', onWritable)
    res.once('close', onWritable)
  })
}
