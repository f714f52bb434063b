import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client'
import type { AnyTRPCRouter } from '@trpc/server'
import { Agent, request } from 'undici'
import { err, ok, withTimeout, type Result } from '@wisteriaslip/core.result'
import type { Metrics } from '@wisteriaslip/core.metrics'
import type { PeerService } from './service.ts'

const CALL_TIMEOUT_MS = 1_000
const MAX_CONNECTIONS_PER_PEER = 4

/** Failure of a peer call: there was no usable response. The call may still have taken effect. */
export interface PeerError {
  readonly kind: 'peer-unreachable'
  readonly code: 'PEER_UNREACHABLE'
  readonly message: string
  /** The peer's machine has refused the connection: no process listens there. */
  readonly refused?: boolean
}

/** Address on which a peer listens. */
export interface PeerAddress {
  readonly host: string
  readonly port: number
}

interface Peer {
  readonly agent: Agent
  readonly trpc: TRPCClient<AnyTRPCRouter>
}

interface FetchInit {
  readonly body?: string
  readonly headers?: Record<string, string>
  readonly signal?: AbortSignal | null
}

interface FetchResponse {
  readonly ok: boolean
  readonly status: number
  json (): Promise<unknown>
}

type AnyMethod = (input: any) => Promise<any>
type ServiceMethods<S> = { [K in keyof S]: AnyMethod }

/**
 * Clients of all peers. A failed call closes all connections to that peer, and the next call opens new ones.
 * @typeParam S - service that the peers provide
 */
export class PeerClients<S extends ServiceMethods<S> = PeerService> {
  private readonly peers = new Map<string, Peer>()
  private readonly opts: { key: string | undefined, metrics: Metrics }

  constructor (opts: { key: string | undefined, metrics: Metrics }) {
    this.opts = opts
  }

  /**
   * Calls a peer once, without retries.
   * @param address - address of the peer
   * @param method - method of its service
   * @param input - input of the method
   * @param opts - timeout in milliseconds (1000 by default) and a signal that cancels the call
   * @returns the response, or `peer-unreachable` if the call failed or timed out
   */
  async call<M extends keyof S & string> (address: PeerAddress, method: M, input: Parameters<S[M]>[0], opts: { timeoutMs?: number, signal?: AbortSignal } = {}): Promise<Result<Awaited<ReturnType<S[M]>>, PeerError>> {
    const origin = `http://${address.host}:${address.port}`
    const peer = this.getPeer(origin)
    this.opts.metrics.count('peer_calls_total', { method })
    try {
      const procedure = peer.trpc[method] as unknown as { mutate (input: Parameters<S[M]>[0], opts: { signal: AbortSignal }): Promise<Awaited<ReturnType<S[M]>>> }
      return ok(await withTimeout(opts.timeoutMs ?? CALL_TIMEOUT_MS, opts.signal, async signal => await procedure.mutate(input, { signal })))
    } catch (error) {
      this.disconnect(origin)
      this.opts.metrics.count('peer_failures_total', { method })
      return err({ kind: 'peer-unreachable', code: 'PEER_UNREACHABLE', message: (error as Error).message, refused: isRefused(error) })
    }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    const agents = [...this.peers.values()].map(peer => peer.agent)
    this.peers.clear()
    await Promise.all(agents.map(async agent => await agent.destroy()))
  }

  private getPeer (origin: string): Peer {
    const existing = this.peers.get(origin)
    if (existing !== undefined) return existing
    const agent = new Agent({ connections: MAX_CONNECTIONS_PER_PEER, pipelining: 1, keepAliveTimeout: 30_000 })
    const trpc = createTRPCClient<AnyTRPCRouter>({
      links: [httpLink({
        url: origin,
        headers: this.opts.key === undefined ? {} : { authorization: `Bearer ${this.opts.key}` },
        fetch: async (url, init) => await this.fetch(agent, url, init as FetchInit | undefined)
      })]
    })
    const peer = { agent, trpc }
    this.peers.set(origin, peer)
    return peer
  }

  /** Implements the part of `fetch` that tRPC uses. The streams of the built-in one make it several times as expensive. */
  private async fetch (agent: Agent, url: unknown, init: FetchInit | undefined): Promise<FetchResponse> {
    const res = await request(String(url), {
      method: 'POST',
      body: init?.body ?? '',
      headers: init?.headers ?? {},
      dispatcher: agent,
      ...(init?.signal === undefined || init.signal === null ? {} : { signal: init.signal })
    })
    const ok = res.statusCode < 300
    return { ok, status: res.statusCode, json: async () => await res.body.json() }
  }

  private disconnect (origin: string): void {
    const peer = this.peers.get(origin)
    if (peer === undefined) return
    this.peers.delete(origin)
    peer.agent.destroy().catch(() => {})
  }
}

/** Returns whether a connection was refused, as the cause of an error or of one of its causes. */
function isRefused (error: unknown): boolean {
  const { code, cause } = error as { code?: unknown, cause?: unknown }
  return code === 'ECONNREFUSED' || (cause instanceof Error && isRefused(cause))
}
