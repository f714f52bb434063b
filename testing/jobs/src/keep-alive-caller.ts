import { Agent, request, type ClientRequest, type IncomingMessage } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

/** A request that is cut off within this time after it was sent may have met the end of an idle connection, unread. */
const UNREAD_WITHIN_MS = 200
const RECONNECT_DELAY_MS = 50

/**
 * Result of a request: the complete response; not sent, because there was no connection; sent and probably not read; or cut
 * off although the entry has probably read it.
 */
export type KeepAliveReply =
  | { readonly kind: 'response', readonly status: number, readonly body: Record<string, unknown> }
  | { readonly kind: 'not-sent' }
  | { readonly kind: 'unread' }
  | { readonly kind: 'cut', readonly message: string, readonly afterMs: number }

/** A caller that keeps one connection to an entry for as long as the entry keeps it. */
export class KeepAliveCaller {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 })
  private readonly baseUrl: string

  /** @param baseUrl - URL of the entry */
  constructor (baseUrl: string) {
    this.baseUrl = baseUrl
  }

  /**
   * Sends a request. After a failed one it waits a little, as the entry may be gone.
   * @param method - HTTP method
   * @param path - path
   * @param body - value to send as JSON
   * @returns the result
   */
  async send (method: 'GET' | 'POST', path: string, body?: unknown): Promise<KeepAliveReply> {
    const req = request(this.baseUrl + path, { method, agent: this.agent })
    const reply = await new Promise<KeepAliveReply>(resolve => observe(req, resolve, body))
    if (reply.kind !== 'response') await sleep(RECONNECT_DELAY_MS)
    return reply
  }

  /** Closes the connection. */
  close (): void {
    this.agent.destroy()
  }
}

function observe (req: ClientRequest, resolve: (reply: KeepAliveReply) => void, body: unknown): void {
  let sentAt: number | undefined
  const fail = (error: Error, responseBegun: boolean): void => {
    if (sentAt === undefined) return resolve({ kind: 'not-sent' })
    const afterMs = performance.now() - sentAt
    resolve(responseBegun || afterMs > UNREAD_WITHIN_MS ? { kind: 'cut', message: error.message, afterMs } : { kind: 'unread' })
  }
  req.once('finish', () => { sentAt = performance.now() })
  req.once('error', error => fail(error, false))
  req.once('response', (res: IncomingMessage) => {
    res.toArray().then(
      chunks => resolve({ kind: 'response', status: res.statusCode ?? 0, body: JSON.parse(Buffer.concat(chunks).toString()) }),
      error => fail(error, true))
  })
  req.end(body === undefined ? undefined : JSON.stringify(body))
}
