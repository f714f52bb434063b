import { err, type Result } from '@wisteriaslip/core.result'
import type { Driver, DriverError, DriverTxn, KeyRange, RangeOpts, WatchBatch, WatchOpts } from '@wisteriaslip/store.client'
import type { PeerError } from './client.ts'
import type { RelayRequest, RelayReply } from './service.ts'

/** After this many consecutive failures of direct calls, calls go through a peer until a direct call succeeds. */
const DIRECT_FAILURE_THRESHOLD = 2
/** While calls go through a peer, every n-th call tries the store directly again. */
const DIRECT_RETRY_INTERVAL_CALLS = 10

/** Driver that falls back to a peer while the entry itself cannot reach the store. */
export class RelayDriver implements Driver {
  private readonly direct: Driver
  private readonly relay: (request: RelayRequest, signal: AbortSignal | undefined) => Promise<RelayReply | undefined>
  private directFailures = 0
  private callCount = 0

  /**
   * @param direct - driver that calls the store
   * @param relay - relays a call through a peer that reaches the store; resolves to undefined if there is no such peer, in
   * which case the call is made directly. A call without a reply must be `lost` (see {@link toRelayReply})
   */
  constructor (direct: Driver, relay: (request: RelayRequest, signal: AbortSignal | undefined) => Promise<RelayReply | undefined>) {
    this.direct = direct
    this.relay = relay
  }

  /** @returns whether the entry itself reaches the store, judging by its latest calls */
  hasDirectStoreAccess (): boolean {
    return this.directFailures < DIRECT_FAILURE_THRESHOLD
  }

  async range (key: string, opts: RangeOpts): Promise<Result<KeyRange, DriverError>> {
    const request: RelayRequest = { op: 'range', key, prefix: opts.prefix === true, minModRevision: opts.minModRevision }
    return await this.callWithFallback(async () => await this.direct.range(key, opts), request, opts.signal)
  }

  async txn (txn: DriverTxn, signal: AbortSignal): Promise<Result<{ succeeded: boolean, revision: number }, DriverError>> {
    return await this.callWithFallback(async () => await this.direct.txn(txn, signal), { op: 'txn', txn }, signal)
  }

  async grantLease (ttlMs: number, signal: AbortSignal): Promise<Result<string, DriverError>> {
    return await this.callWithFallback(async () => await this.direct.grantLease(ttlMs, signal), { op: 'grant', ttlMs }, signal)
  }

  async keepAlive (leaseId: string, signal: AbortSignal): Promise<Result<void, DriverError>> {
    return await this.callWithFallback(async () => await this.direct.keepAlive(leaseId, signal), { op: 'keepAlive', leaseId }, signal)
  }

  async revokeLease (leaseId: string, signal: AbortSignal): Promise<Result<void, DriverError>> {
    return await this.callWithFallback(async () => await this.direct.revokeLease(leaseId, signal), { op: 'revoke', leaseId }, signal)
  }

  async watch (prefix: string, fromRevision: number, onBatch: (batch: WatchBatch) => void, signal: AbortSignal, opts?: WatchOpts): Promise<DriverError> {
    return await this.direct.watch(prefix, fromRevision, onBatch, signal, opts)
  }

  private async callWithFallback<T> (direct: () => Promise<Result<T, DriverError>>, request: RelayRequest, signal: AbortSignal | undefined): Promise<Result<T, DriverError>> {
    this.callCount += 1
    const useRelay = this.directFailures >= DIRECT_FAILURE_THRESHOLD && this.callCount % DIRECT_RETRY_INTERVAL_CALLS !== 0
    if (useRelay) {
      const relayed = await this.relay(request, signal)
      if (relayed !== undefined) return relayed as Result<T, DriverError>
    }
    if (signal?.aborted === true) return err({ kind: 'lost', message: 'aborted' })
    const result = await direct()
    this.directFailures = result.ok || result.error.kind === 'refused' ? 0 : this.directFailures + 1
    return result
  }
}

/**
 * Converts the result of a peer call that relays a store call.
 * @param result - result of the peer call
 * @returns the peer's reply; without one, `lost`, as the peer may have carried out the call
 */
export function toRelayReply (result: Result<RelayReply, PeerError>): RelayReply {
  return result.ok ? result.value : err({ kind: 'lost', message: result.error.message })
}
