import { request, type Dispatcher } from 'undici'

/** What a caller got, or that it got no whole answer. */
export type CallerReply =
  | { readonly kind: 'answer', readonly status: number, readonly outcome: string | undefined, readonly body: string }
  | { readonly kind: 'no-answer', readonly message: string }

/**
 * Sends one request and waits for the whole answer.
 * @param url - at an entry
 * @param opts - method, headers, body
 * @returns what came of it
 */
export async function callOnce (url: string, opts: { method?: 'GET' | 'POST', headers?: Record<string, string>, body?: string, timeoutMs?: number, dispatcher?: Dispatcher } = {}): Promise<CallerReply> {
  try {
    const res = await request(url, {
      method: opts.method ?? 'GET',
      headers: opts.headers ?? {},
      ...(opts.body === undefined ? {} : { body: opts.body }),
      ...(opts.dispatcher === undefined ? {} : { dispatcher: opts.dispatcher }),
      signal: AbortSignal.timeout(opts.timeoutMs ?? 20_000)
    })
    const body = await res.body.text()
    const outcome = res.headers['wisteriaslip-outcome']
    return { kind: 'answer', status: res.statusCode, outcome: typeof outcome === 'string' ? outcome : undefined, body }
  } catch (error) {
    return { kind: 'no-answer', message: (error as Error).message }
  }
}
