import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client'
import type { AnyTRPCRouter } from '@trpc/server'
import type { Client } from 'undici'
import { err, ok, withTimeout, type Result } from '@wisteriaslip/core.result'
import type { Metrics } from '@wisteriaslip/core.metrics'
import { Connections } from './connections.ts'
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
  readonly connections: Connections
  readonly trpc: TRPCClient<AnyTRPCRouter>
  callsInProgress: number
}

interface FetchInit {
  readonly body?: string
  readonly headers?: Record<string, string>
  readonly signal: AbortSignal
}

interface FetchResponse {
  readonly ok: boolean
  readonly status: number
  json (): Promise<unknown>
}

type AnyMethod = (input: any) => Promise<any>
type ServiceMethods<S> = { [K in keyof S]: AnyMethod }

/**
 * Calls peers by their address.
 * @typeParam S - service that the peers provide
 */
export interface PeerCaller<S extends ServiceMethods<S> = PeerService> {
  /**
   * Calls a peer once, without retries.
   * @param address - address of the peer
   * @param method - method of its service
   * @param input - input of the method
   * @param opts - timeout in milliseconds (1000 by default) and a signal that cancels the call
   * @returns the response, or `peer-unreachable` if the call failed or timed out
   */
  call<M extends keyof S & string> (address: PeerAddress, method: M, input: Parameters<S[M]>[0], opts?: { timeoutMs?: number, signal?: AbortSignal }): Promise<Result<Awaited<ReturnType<S[M]>>, PeerError>>
}

/**
 * Clients of all peers. A call without a response closes its connection and the idle ones to that peer, which may be dead as
 * well, and the next call opens a new one. Other calls in progress go on.
 * @typeParam S - service that the peers provide
 */
export class PeerClients<S extends ServiceMethods<S> = PeerService> implements PeerCaller<S> {
  private readonly peers = new Map<string, Peer>()
  private readonly opts: { key: string | undefined, metrics: Metrics }

  constructor (opts: { key: string | undefined, metrics: Metrics }) {
    this.opts = opts
  }

  async call<M extends keyof S & string> (address: PeerAddress, method: M, input: Parameters<S[M]>[0], opts: { timeoutMs?: number, signal?: AbortSignal } = {}): Promise<Result<Awaited<ReturnType<S[M]>>, PeerError>> {
    const origin = `http://${address.host}:${address.port}`
    const peer = this.getPeer(origin)
    peer.callsInProgress += 1
    this.opts.metrics.count('peer_calls_total', { method })
    try {
      const procedure = peer.trpc[method] as unknown as { mutate (input: Parameters<S[M]>[0], opts: { signal: AbortSignal }): Promise<Awaited<ReturnType<S[M]>>> }
      return ok(await withTimeout(opts.timeoutMs ?? CALL_TIMEOUT_MS, opts.signal, async signal => await procedure.mutate(input, { signal })))
    } catch (error) {
      this.removeIfUnused(origin, peer)
      this.opts.metrics.count('peer_failures_total', { method })
      return err({ kind: 'peer-unreachable', code: 'PEER_UNREACHABLE', message: (error as Error).message, refused: isRefused(error) })
    } finally {
      peer.callsInProgress -= 1
    }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    const peers = [...this.peers.values()]
    this.peers.clear()
    await Promise.all(peers.map(async peer => await peer.connections.close()))
  }

  private getPeer (origin: string): Peer {
    const existing = this.peers.get(origin)
    if (existing !== undefined) return existing
    const connections = new Connections(origin, MAX_CONNECTIONS_PER_PEER)
    const trpc = createTRPCClient<AnyTRPCRouter>({
      links: [httpLink({
        url: origin,
        headers: this.opts.key === undefined ? {} : { authorization: `Bearer ${this.opts.key}` },
        fetch: async (url, init) => {
          const path = String(url).slice(origin.length)
          const request = init as FetchInit
          return await connections.run(request.signal, async connection => await post(connection, path, request))
        }
      })]
    })
    const peer = { connections, trpc, callsInProgress: 0 }
    this.peers.set(origin, peer)
    return peer
  }

  /** Removes a peer without connections after its only call has failed: it may have ended for good. */
  private removeIfUnused (origin: string, peer: Peer): void {
    const isUnused = peer.callsInProgress === 1 && peer.connections.count() === 0
    if (isUnused && this.peers.get(origin) === peer) this.peers.delete(origin)
  }
}

/** Implements the part of `fetch` that tRPC uses. The streams of the built-in one make it several times as expensive. */
async function post (connection: Client, path: string, init: FetchInit): Promise<FetchResponse> {
  const res = await connection.request({ method: 'POST', path, body: init.body ?? '', headers: init.headers ?? {} })
  const text = await res.body.text()
  return { ok: res.statusCode < 300, status: res.statusCode, json: async () => JSON.parse(text) as unknown }
}

/** Returns whether a connection was refused, as the cause of an error or of one of its causes. */
function isRefused (error: unknown): boolean {
  const { code, cause } = error as { code?: unknown, cause?: unknown }
  return code === 'ECONNREFUSED' || (cause instanceof Error && isRefused(cause))
}
