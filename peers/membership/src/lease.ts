import { delay, withTimeout, type Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { Store } from '@wisteriaslip/store.client'

/** The holder stops using the lease this long before it can expire. */
const LEASE_SAFETY_MARGIN_MS = 500
/** How often a lease is renewed in the time to live that it has without that. */
export const RENEWALS_PER_TTL = 3
/** A renewal without a response is repeated after this share of the lease, so that one lost response does not end it. */
const RENEWAL_TIMEOUT_SHARE = 0.25
const FAILED_RENEWAL_RETRY_MS = 50

/** Options of {@link EntryLease}. */
export interface EntryLeaseOpts {
  /** Time to live without renewal, in milliseconds. */
  readonly ttlMs: number
  readonly clock: Clock
  readonly logger: Logger
  /** Ends {@link EntryLease.run}. */
  readonly signal: AbortSignal
}

/** The latest proof that the store holds a lease. */
export interface LeaseConfirmation {
  readonly leaseId: string
  /** When the grant or renewal that succeeded was requested, by the injected clock: the store held the lease after that. */
  readonly at: number
}

/** The lease of an entry. It is valid only while the entry's own monotonic clock proves that it has not expired. */
export class EntryLease {
  private readonly store: Store
  private readonly opts: EntryLeaseOpts
  private leaseId: string | undefined
  private validUntil = Number.NEGATIVE_INFINITY
  private confirmedAt = Number.NEGATIVE_INFINITY

  constructor (store: Store, opts: EntryLeaseOpts) {
    this.store = store
    this.opts = opts
  }

  /** @returns the lease's id while it certainly has not expired, by the local clock */
  validLeaseId (): string | undefined {
    return this.opts.clock.now() < this.validUntil ? this.leaseId : undefined
  }

  /** @returns the latest proof of the present lease, also if it may have expired since; undefined once it has ended */
  confirmation (): LeaseConfirmation | undefined {
    return this.leaseId === undefined ? undefined : { leaseId: this.leaseId, at: this.confirmedAt }
  }

  /**
   * Obtains and renews the lease until the signal aborts. Call {@link EntryLease.revoke} afterwards.
   * @param onGranted - called with the id of each new lease; the previous lease is gone with all its keys. The lease is
   * renewed while it runs
   */
  async run (onGranted: (leaseId: string) => Promise<void>): Promise<void> {
    const { signal, ttlMs } = this.opts
    while (!signal.aborted) {
      const succeeded = this.leaseId === undefined ? await this.grant(onGranted) : await this.renew(this.leaseId)
      await delay(succeeded ? ttlMs / RENEWALS_PER_TTL : this.retryDelayMs(), signal)
    }
  }

  /** Revokes the lease, so that other members need not wait for it to expire. */
  async revoke (): Promise<void> {
    if (this.leaseId === undefined) return
    const leaseId = this.leaseId
    this.leaseId = undefined
    this.validUntil = Number.NEGATIVE_INFINITY
    await withTimeout(LEASE_SAFETY_MARGIN_MS * 2, undefined, async signal => await this.store.revokeLease(leaseId, signal))
  }

  /** A lease that may have expired is renewed at the usual pace: a store that is away must not get more calls than usual. */
  private retryDelayMs (): number {
    const { clock, ttlMs } = this.opts
    if (this.leaseId === undefined) return ttlMs / RENEWALS_PER_TTL / RENEWALS_PER_TTL
    return clock.now() < this.validUntil + LEASE_SAFETY_MARGIN_MS ? FAILED_RENEWAL_RETRY_MS : ttlMs / RENEWALS_PER_TTL
  }

  /** @returns whether a lease is granted */
  private async grant (onGranted: (leaseId: string) => Promise<void>): Promise<boolean> {
    const requestedAt = this.opts.clock.now()
    const granted = await this.store.grantLease(this.opts.ttlMs, this.opts.signal)
    if (!granted.ok) {
      this.opts.logger.info({ error: granted.error }, 'lease not granted')
      return false
    }
    this.leaseId = granted.value
    this.confirmedAt = requestedAt
    this.validUntil = requestedAt + this.opts.ttlMs - LEASE_SAFETY_MARGIN_MS
    this.opts.logger.info({ leaseId: granted.value }, 'lease granted')
    onGranted(granted.value).catch(error => this.opts.logger.error({ err: error }, 'registration failed'))
    return true
  }

  /** @returns whether the lease is renewed; it is unset when it has expired */
  private async renew (leaseId: string): Promise<boolean> {
    const { clock, logger, signal, ttlMs } = this.opts
    const requestedAt = clock.now()
    const renewed = await withTimeout(ttlMs * RENEWAL_TIMEOUT_SHARE, signal, async inner => await this.store.keepAlive(leaseId, inner))
    if (renewed.ok) {
      this.confirmedAt = requestedAt
      this.validUntil = requestedAt + ttlMs - LEASE_SAFETY_MARGIN_MS
      return true
    }
    if (renewed.error.kind !== 'lease-lost') return false
    logger.warn('lease expired')
    this.leaseId = undefined
    this.validUntil = Number.NEGATIVE_INFINITY
    return false
  }
}
