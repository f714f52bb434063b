import { delay, type Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { Store } from '@wisteriaslip/store.client'

/** The holder stops this much earlier than the lease may lapse. */
const SAFETY_MS = 500
const RENEWALS_PER_TTL = 3

/** Options of an entry's lease. */
export interface EntryLeaseOpts {
  readonly ttlMs: number
  readonly clock: Clock
  readonly logger: Logger
  readonly signal: AbortSignal
}

/** The one lease of an entry. Valid only as long as its own monotonic clock proves that it cannot have lapsed. */
export class EntryLease {
  private readonly store: Store
  private readonly opts: EntryLeaseOpts
  private leaseId: string | undefined
  private validUntil = Number.NEGATIVE_INFINITY

  constructor (store: Store, opts: EntryLeaseOpts) {
    this.store = store
    this.opts = opts
  }

  /** @returns the lease's id while it surely has not lapsed */
  current (): string | undefined {
    return this.opts.clock.now() < this.validUntil ? this.leaseId : undefined
  }

  /**
   * Grants and renews the lease until the signal aborts, then revokes it.
   * @param onGranted - told of each new lease; the one before is gone with all its keys
   */
  async run (onGranted: (leaseId: string) => Promise<void>): Promise<void> {
    const { signal, ttlMs } = this.opts
    while (!signal.aborted) {
      if (this.leaseId === undefined) await this.grant(onGranted)
      else await this.renew(this.leaseId)
      await delay(ttlMs / RENEWALS_PER_TTL / (this.leaseId === undefined ? RENEWALS_PER_TTL : 1), signal)
    }
  }

  /** Gives the lease back, so that nobody has to wait for it to lapse. */
  async revoke (): Promise<void> {
    if (this.leaseId === undefined) return
    const leaseId = this.leaseId
    this.leaseId = undefined
    this.validUntil = Number.NEGATIVE_INFINITY
    await this.store.revokeLease(leaseId, AbortSignal.timeout(SAFETY_MS * 2))
  }

  private async grant (onGranted: (leaseId: string) => Promise<void>): Promise<void> {
    const askedAt = this.opts.clock.now()
    const granted = await this.store.grantLease(this.opts.ttlMs, this.opts.signal)
    if (!granted.ok) {
      this.opts.logger.info({ error: granted.error }, 'lease not granted')
      return
    }
    this.leaseId = granted.value
    this.validUntil = askedAt + this.opts.ttlMs - SAFETY_MS
    this.opts.logger.info({ leaseId: granted.value }, 'lease granted')
    await onGranted(granted.value)
  }

  private async renew (leaseId: string): Promise<void> {
    const askedAt = this.opts.clock.now()
    const renewed = await this.store.keepAlive(leaseId, this.opts.signal)
    if (renewed.ok) {
      this.validUntil = askedAt + this.opts.ttlMs - SAFETY_MS
      return
    }
    if (renewed.error.kind !== 'lease-lost') return
    this.opts.logger.warn('lease lapsed')
    this.leaseId = undefined
    this.validUntil = Number.NEGATIVE_INFINITY
  }
}
