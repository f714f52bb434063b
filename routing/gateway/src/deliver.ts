import type { ServerResponse } from 'node:http'
import type { Outcome } from '@wisteriaslip/peers.protocol'
import { callerHeaders, headerNames } from './headers.ts'
import type { OpenAnswer } from './exchange.ts'

/** An answer up to this size is read whole before the caller hears of it, so that a cut one is reported as such. */
const BUFFER_BYTES = 256 * 1024

/** How an answer was passed on. */
export type Delivery =
  /** The caller has, or will have, the whole answer. */
  | { readonly kind: 'whole', readonly outcome: Outcome | undefined }
  /** It was cut before the caller heard anything: another answer can still be given. */
  | { readonly kind: 'cut-unheard' }
  /** It was cut midway; the caller's connection was broken, which it sees as an error. */
  | { readonly kind: 'cut-midway' }

/**
 * Reads an answer and passes it on, with backpressure. It is never passed on shorter than it was.
 * @param open - the answer
 * @param res - to the caller
 * @param requestId - id of the request
 * @returns how it went; the outcome is kept only if the answer was small
 */
export async function deliver (open: OpenAnswer, res: ServerResponse, requestId: string): Promise<Delivery> {
  const headers = callerHeaders(open.answer.headers, { [headerNames.requestId]: requestId })
  const chunks: Buffer[] = []
  let bytes = 0
  let streaming = false
  try {
    for await (const chunk of open.answer.body as AsyncIterable<Buffer>) {
      bytes += chunk.length
      if (!streaming) chunks.push(chunk)
      if (!streaming && bytes <= BUFFER_BYTES) continue
      if (!streaming) {
        streaming = true
        res.writeHead(open.answer.status, headers)
        for (const kept of chunks.splice(0)) await write(res, kept)
        continue
      }
      await write(res, chunk)
    }
  } catch {
    open.end({ whole: false })
    if (streaming) res.destroy()
    return { kind: streaming ? 'cut-midway' : 'cut-unheard' }
  }
  open.end({ whole: true })
  if (streaming) {
    res.end()
    return { kind: 'whole', outcome: undefined }
  }
  const body = Buffer.concat(chunks)
  sendWhole(res, open.answer.status, headers, body)
  return { kind: 'whole', outcome: toOutcome(open.answer.status, headers, body) }
}

/**
 * Sends the recorded answer of an earlier request with the same key.
 * @param outcome - recorded
 * @param res - to the caller
 */
export function replay (outcome: Outcome, res: ServerResponse): void {
  sendWhole(res, outcome.status, { ...outcome.headers }, Buffer.from(outcome.bodyBase64, 'base64'))
}

function sendWhole (res: ServerResponse, status: number, headers: Record<string, string | string[]>, body: Buffer): void {
  const isHead = res.req.method === 'HEAD'
  const bodiless = status === 204 || status === 304 || isHead
  res.writeHead(status, bodiless ? headers : { ...headers, 'content-length': String(body.length) })
  res.end(bodiless ? undefined : body)
}

function toOutcome (status: number, headers: Record<string, string | string[]>, body: Buffer): Outcome {
  const flat = Object.entries(headers).map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : value])
  return { status, headers: Object.fromEntries(flat), bodyBase64: body.toString('base64') }
}

async function write (res: ServerResponse, chunk: Buffer): Promise<void> {
  if (res.destroyed) return
  if (res.write(chunk)) return
  await new Promise<void>(resolve => {
    const proceed = (): void => {
      res.removeListener('drain', proceed)
      res.removeListener('close', proceed)
      resolve()
    }
    res.once('drain', proceed)
    res.once('close', proceed)
  })
}
