import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client'
import type { AnyTRPCRouter } from '@trpc/server'
import { Agent, request } from 'undici'
import { err, ok, withTimeout, type Result } from '@wisteriaslip/core.result'
import type { Metrics } from '@wisteriaslip/core.metrics'
import type { PeerService } from './service.ts'

const CALL_TIMEOUT_MS = 1_000
const CONNECTIONS = 4

/** A call on a peer that gave no usable answer. It may have had its effect. */
export interface PeerError {
  readonly kind: 'peer-unreachable'
  readonly code: 'PEER_UNREACHABLE'
  readonly message: string
}

/** Where a peer listens. */
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

interface FetchAnswer {
  readonly ok: boolean
  readonly status: number
  json (): Promise<unknown>
}

type AnyMethod = (input: any) => Promise<any>
type Methods<S> = { [K in keyof S]: AnyMethod }

/**
 * Clients of all peers. A call that times out drops all connections to that peer: the next call opens new ones.
 * @typeParam S - the service that the peers offer
 */
export class PeerClients<S extends Methods<S> = PeerService> {
  private readonly peers = new Map<string, Peer>()
  private readonly opts: { key: string | undefined, metrics: Metrics }

  constructor (opts: { key: string | undefined, metrics: Metrics }) {
    this.opts = opts
  }

  /**
   * Calls a peer once.
   * @param address - where it listens
   * @param method - of its service
   * @param input - of the method
   * @param opts - time limit in milliseconds, 1000 by default
   * @returns the answer, or that there was none in time
   */
  async call<M extends keyof S & string> (address: PeerAddress, method: M, input: Parameters<S[M]>[0], opts: { timeoutMs?: number, signal?: AbortSignal } = {}): Promise<Result<Awaited<ReturnType<S[M]>>, PeerError>> {
    const origin = `http://${address.host}:${address.port}`
    const peer = this.peer(origin)
    this.opts.metrics.count('peer_calls_total', { method })
    try {
      const procedure = peer.trpc[method] as unknown as { mutate (input: Parameters<S[M]>[0], opts: { signal: AbortSignal }): Promise<Awaited<ReturnType<S[M]>>> }
      return ok(await withTimeout(opts.timeoutMs ?? CALL_TIMEOUT_MS, opts.signal, async signal => await procedure.mutate(input, { signal })))
    } catch (error) {
      this.drop(origin)
      this.opts.metrics.count('peer_failures_total', { method })
      return err({ kind: 'peer-unreachable', code: 'PEER_UNREACHABLE', message: (error as Error).message })
    }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    const agents = [...this.peers.values()].map(peer => peer.agent)
    this.peers.clear()
    await Promise.all(agents.map(async agent => await agent.destroy()))
  }

  private peer (origin: string): Peer {
    const known = this.peers.get(origin)
    if (known !== undefined) return known
    const agent = new Agent({ connections: CONNECTIONS, pipelining: 1, keepAliveTimeout: 30_000 })
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

  /** What tRPC needs of `fetch`, without the streams that make the real one several times as expensive. */
  private async fetch (agent: Agent, url: unknown, init: FetchInit | undefined): Promise<FetchAnswer> {
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

  private drop (origin: string): void {
    const peer = this.peers.get(origin)
    if (peer === undefined) return
    this.peers.delete(origin)
    peer.agent.destroy().catch(() => {})
  }
}
