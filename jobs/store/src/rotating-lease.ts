import type { Clock, Result } from '@wisteriaslip/core.result'
import type { Store, StoreError } from '@wisteriaslip/store.client'

const NEVER_ABORTED = new AbortController().signal

/** Options of {@link RotatingLease}. */
export interface RotatingLeaseOpts {
  /** Time to live of each lease, in milliseconds. */
  readonly ttlMs: number
  readonly clock: Clock
}

interface GrantedLease {
  readonly id: Promise<Result<string, StoreError>>
  readonly grantedAt: number
}

/**
 * A lease that many keys share, and that is never renewed: the store deletes them when it expires, also if this process is gone by
 * then. Another one replaces it when half of its time has passed, so that each key lives for half of it at least.
 */
export class RotatingLease {
  private readonly store: Pick<Store, 'grantLease'>
  private readonly opts: RotatingLeaseOpts
  private latest: GrantedLease | undefined

  constructor (store: Pick<Store, 'grantLease'>, opts: RotatingLeaseOpts) {
    this.store = store
    this.opts = opts
  }

  /**
   * Writes keys under the lease, once more under another one if the store no longer has it.
   * @param write - writes the keys under a lease
   * @returns result of the write, or the store's error when it grants no lease
   */
  async use<T> (write: (leaseId: string) => Promise<Result<T, StoreError>>): Promise<Result<T, StoreError>> {
    const written = await this.useOnce(write)
    return written.ok || written.error.kind !== 'lease-lost' ? written : await this.useOnce(write)
  }

  private async useOnce<T> (write: (leaseId: string) => Promise<Result<T, StoreError>>): Promise<Result<T, StoreError>> {
    const lease = this.current()
    const id = await lease.id
    const written = id.ok ? await write(id.value) : id
    if (!id.ok || (!written.ok && written.error.kind === 'lease-lost')) this.drop(lease)
    return written
  }

  private current (): GrantedLease {
    const now = this.opts.clock.now()
    if (this.latest === undefined || now - this.latest.grantedAt >= this.opts.ttlMs / 2) {
      const granted = { id: this.store.grantLease(this.opts.ttlMs, NEVER_ABORTED), grantedAt: now }
      granted.id.catch(() => this.drop(granted))
      this.latest = granted
    }
    return this.latest
  }

  private drop (lease: GrantedLease): void {
    if (this.latest === lease) this.latest = undefined
  }
}
