import type { ServerResponse } from 'node:http'
import type { RecordedResponse } from '@wisteriaslip/peers.protocol'
import type { OpenResponse } from './exchange.ts'
import { callerHeaders, gatewayHeaderNames } from './headers.ts'

/** A response up to this size is read completely before any of it is sent, so that truncation can be reported as an error. */
const MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024

/** How a response was forwarded to the caller. */
export type Delivery =
  /**
   * The target's response was read completely and handed to the caller's connection. Sending may still be in progress,
   * or the caller may have disconnected.
   */
  | { readonly kind: 'whole', readonly recordedResponse: RecordedResponse | undefined }
  /** Truncated before any of it was forwarded: another response can still be sent. */
  | { readonly kind: 'truncated-unsent' }
  /** Truncated after part of it was forwarded: the caller's connection was closed, which the caller sees as an error. */
  | { readonly kind: 'cut-midway' }

/**
 * Reads a target's response and forwards it to the caller, with backpressure. A truncated response is never forwarded
 * as a complete one.
 * @param openResponse - the target's response
 * @param res - response to the caller
 * @param requestId - ID of the request
 * @returns how it was forwarded, with a copy of the response if it was small enough to be buffered
 */
export async function deliver (openResponse: OpenResponse, res: ServerResponse, requestId: string): Promise<Delivery> {
  const headers = callerHeaders(openResponse.response.headers, { [gatewayHeaderNames.requestId]: requestId })
  const chunks: Buffer[] = []
  let bytes = 0
  let streaming = false
  try {
    for await (const chunk of openResponse.response.body as AsyncIterable<Buffer>) {
      bytes += chunk.length
      if (!streaming) chunks.push(chunk)
      if (!streaming && bytes <= MAX_BUFFERED_RESPONSE_BYTES) continue
      if (!streaming) {
        streaming = true
        res.writeHead(openResponse.response.status, headers)
        for (const bufferedChunk of chunks.splice(0)) await write(res, bufferedChunk)
        continue
      }
      await write(res, chunk)
    }
  } catch {
    openResponse.end({ complete: false })
    if (streaming) res.destroy()
    return { kind: streaming ? 'cut-midway' : 'truncated-unsent' }
  }
  openResponse.end({ complete: true })
  if (streaming) {
    res.end()
    return { kind: 'whole', recordedResponse: undefined }
  }
  const body = Buffer.concat(chunks)
  sendResponse(res, openResponse.response.status, headers, body)
  return { kind: 'whole', recordedResponse: toRecordedResponse(openResponse.response.status, headers, body) }
}

/**
 * Sends the recorded response of an earlier request with the same idempotency key.
 * @param recordedResponse - complete response to the earlier request
 * @param res - response to the caller
 */
export function sendRecordedResponse (recordedResponse: RecordedResponse, res: ServerResponse): void {
  sendResponse(res, recordedResponse.status, { ...recordedResponse.headers }, Buffer.from(recordedResponse.bodyBase64, 'base64'))
}

function sendResponse (res: ServerResponse, status: number, headers: Record<string, string | string[]>, body: Buffer): void {
  const isHead = res.req.method === 'HEAD'
  const hasNoBody = status === 204 || status === 304 || isHead
  res.writeHead(status, hasNoBody ? headers : { ...headers, 'content-length': String(body.length) })
  res.end(hasNoBody ? undefined : body)
}

function toRecordedResponse (status: number, headers: Record<string, string | string[]>, body: Buffer): RecordedResponse {
  const flatHeaders = Object.entries(headers).map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : value])
  return { status, headers: Object.fromEntries(flatHeaders), bodyBase64: body.toString('base64') }
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
