import { request, type Dispatcher } from 'undici'

/** The response that a caller received, or why it received no complete one. */
export type CallerReply =
  | { readonly kind: 'answer', readonly status: number, readonly outcome: string | undefined, readonly body: string }
  | { readonly kind: 'no-answer', readonly message: string }

/**
 * Sends one request and reads the whole response.
 * @param url - URL at an entry
 * @param opts - method, `GET` by default; headers; body; timeout in milliseconds, 20,000 by default; dispatcher
 * @returns the response, or kind `no-answer` when the request fails or times out
 */
export async function sendRequest (url: string, opts: { method?: 'GET' | 'POST', headers?: Record<string, string>, body?: string, timeoutMs?: number, dispatcher?: Dispatcher } = {}): Promise<CallerReply> {
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
