import { err, type Result } from '@wisteriaslip/core.result'
import type { Driver, DriverError, DriverTxn, KeyRange, RangeOpts, WatchBatch, WatchOpts } from '@wisteriaslip/store.client'
import type { RelayRequest, RelayReply } from './service.ts'

/** Calls that fail directly this often in a row go through a peer at once, until a direct one succeeds. */
const DIRECT_FAILURES = 2
/** Now and then the direct way is tried again. */
const RETRY_DIRECT_EVERY = 10

/** Driver that goes through a peer while the entry itself cannot reach the store. */
export class RelayDriver implements Driver {
  private readonly direct: Driver
  private readonly relay: (call: RelayRequest, signal: AbortSignal | undefined) => Promise<RelayReply | undefined>
  private failures = 0
  private calls = 0

  /**
   * @param direct - adapter of the store
   * @param relay - asks one peer that has the store; undefined when there is none
   */
  constructor (direct: Driver, relay: (call: RelayRequest, signal: AbortSignal | undefined) => Promise<RelayReply | undefined>) {
    this.direct = direct
    this.relay = relay
  }

  /** @returns whether the entry itself reaches the store, as far as its latest calls tell */
  hasDirectStoreAccess (): boolean {
    return this.failures < DIRECT_FAILURES
  }

  async range (key: string, opts: RangeOpts): Promise<Result<KeyRange, DriverError>> {
    const call: RelayRequest = { op: 'range', key, prefix: opts.prefix === true, minModRevision: opts.minModRevision }
    return await this.either(async () => await this.direct.range(key, opts), call, opts.signal)
  }

  async txn (txn: DriverTxn, signal: AbortSignal): Promise<Result<{ succeeded: boolean, revision: number }, DriverError>> {
    return await this.either(async () => await this.direct.txn(txn, signal), { op: 'txn', txn }, signal)
  }

  async grantLease (ttlMs: number, signal: AbortSignal): Promise<Result<string, DriverError>> {
    return await this.either(async () => await this.direct.grantLease(ttlMs, signal), { op: 'grant', ttlMs }, signal)
  }

  async keepAlive (leaseId: string, signal: AbortSignal): Promise<Result<void, DriverError>> {
    return await this.either(async () => await this.direct.keepAlive(leaseId, signal), { op: 'keepAlive', leaseId }, signal)
  }

  async revokeLease (leaseId: string, signal: AbortSignal): Promise<Result<void, DriverError>> {
    return await this.either(async () => await this.direct.revokeLease(leaseId, signal), { op: 'revoke', leaseId }, signal)
  }

  async watch (prefix: string, fromRevision: number, onBatch: (batch: WatchBatch) => void, signal: AbortSignal, opts?: WatchOpts): Promise<DriverError> {
    return await this.direct.watch(prefix, fromRevision, onBatch, signal, opts)
  }

  private async either<T> (direct: () => Promise<Result<T, DriverError>>, call: RelayRequest, signal: AbortSignal | undefined): Promise<Result<T, DriverError>> {
    this.calls += 1
    const viaPeer = this.failures >= DIRECT_FAILURES && this.calls % RETRY_DIRECT_EVERY !== 0
    if (viaPeer) {
      const relayed = await this.relay(call, signal)
      if (relayed !== undefined) return relayed as Result<T, DriverError>
    }
    if (signal?.aborted === true) return err({ kind: 'lost', message: 'aborted' })
    const answer = await direct()
    this.failures = answer.ok || answer.error.kind === 'refused' ? 0 : this.failures + 1
    return answer
  }
}
