import type { VirtualProcess } from '@wisteriaslip/testing.jobs'

interface Lease {
  readonly id: string
  readonly ttlMs: number
  expiresAt: number
}

/** Leases of a store on a virtual clock, and the keys that vanish with them. */
export class VirtualLeases {
  private readonly process: VirtualProcess
  private readonly onEnd: (keys: string[]) => void
  private readonly leases = new Map<string, Lease>()
  private readonly leaseOf = new Map<string, string>()
  private count = 0
  private paused = false

  /**
   * @param process - gives the time
   * @param onEnd - called with the keys of each lease that has ended
   */
  constructor (process: VirtualProcess, onEnd: (keys: string[]) => void) {
    this.process = process
    this.onEnd = onEnd
  }

  /**
   * @param ttlMs - time without renewal after which it expires, in milliseconds
   * @param id - its id, a new number by default
   * @returns its id
   */
  grant (ttlMs: number, id?: string): string {
    this.count += 1
    const lease = { id: id ?? `${1_000 + this.count}`, ttlMs, expiresAt: this.process.now() + ttlMs }
    this.leases.set(lease.id, lease)
    this.expireLater(lease)
    return lease.id
  }

  /** @returns whether there is a lease of this id */
  has (id: string): boolean {
    return this.leases.has(id)
  }

  /** @returns whether the lease is renewed, false if there is none */
  keep (id: string): boolean {
    const lease = this.leases.get(id)
    if (lease !== undefined) lease.expiresAt = this.process.now() + lease.ttlMs
    return lease !== undefined
  }

  /** @returns whether there was a lease to end */
  end (id: string): boolean {
    if (!this.leases.delete(id)) return false
    const keys = [...this.leaseOf].filter(([, lease]) => lease === id).map(([key]) => key)
    for (const key of keys) this.leaseOf.delete(key)
    if (keys.length > 0) this.onEnd(keys)
    return true
  }

  /** Lets a key vanish with a lease from now on, or stay if that is undefined. */
  attach (key: string, id: string | undefined): void {
    if (id === undefined) this.leaseOf.delete(key)
    else this.leaseOf.set(key, id)
  }

  /** Stops the expiry of leases, or resumes it with their full times. */
  setPaused (paused: boolean): void {
    if (this.paused && !paused) for (const { id } of this.leases.values()) this.keep(id)
    this.paused = paused
  }

  private expireLater (lease: Lease): void {
    const leftMs = this.paused ? lease.ttlMs : lease.expiresAt - this.process.now()
    this.process.outsideAfter(leftMs, () => {
      if (this.leases.get(lease.id) !== lease) return
      if (this.paused || lease.expiresAt > this.process.now()) this.expireLater(lease)
      else this.end(lease.id)
    })
  }
}
