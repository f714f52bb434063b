/** An item as the store keeps it. */
export interface StoredItem {
  readonly key: string
  /** Decoded text. */
  readonly value: string
  readonly revision: number
  readonly created: number
  /** 0 for none. */
  readonly lease: number
}

/** A change of one key. */
export interface StoreChange { readonly revision: number, readonly key: string, readonly item: StoredItem | undefined }

/** A transaction. */
export interface StoreTxn {
  readonly expected: ReadonlyArray<{ readonly key: string, readonly revision: number }>
  readonly puts: ReadonlyArray<{ readonly key: string, readonly value: string, readonly lease: number }>
  readonly removes: readonly string[]
}

const EXPIRY_INTERVAL_MS = 20
const RETENTION_MS = 20_000
const MIN_TTL_MS = 1_000
const MAX_TTL_MS = 600_000

/** Data of the stand-in of the platform's store: keys with revisions, leases, a history for watches. */
export class PlatformStore {
  /** The leases go on while the store is down; without it they pause. */
  leasesExpireWhileDown = false
  private down = false
  private revision = 1
  private nextLease = 1
  private readonly items = new Map<string, StoredItem>()
  private readonly leases = new Map<number, { readonly ttlMs: number, expiresAt: number }>()
  private readonly history: Array<StoreChange & { readonly at: number }> = []
  private readonly listeners = new Set<() => void>()
  private readonly expiryTimer = setInterval(() => this.expireLeases(), EXPIRY_INTERVAL_MS)
  private lastExpiryAt = performance.now()

  /** @returns revision of the last change */
  at (): number {
    return this.revision
  }

  /** @returns whether the store is down for everybody */
  isDown (): boolean {
    return this.down
  }

  /** @param down - whether the store is down for everybody */
  setDown (down: boolean): void {
    this.down = down
  }

  /** Stops all timers. */
  close (): void {
    clearInterval(this.expiryTimer)
  }

  /** @returns the item with this key, undefined if there is none */
  get (key: string): StoredItem | undefined {
    return this.items.get(key)
  }

  /** @returns all items whose keys begin with the prefix, in the order of their keys */
  list (prefix: string): StoredItem[] {
    return [...this.items.values()].filter(item => item.key.startsWith(prefix)).sort((a, b) => a.key < b.key ? -1 : 1)
  }

  /**
   * @param prefix - prefix of keys
   * @param after - a revision
   * @returns later changes, undefined when the history does not reach back that far
   */
  changesAfter (prefix: string, after: number): StoreChange[] | undefined {
    const first = this.history[0]
    if (after < this.revision && (first === undefined || after < first.revision - 1)) return undefined
    return this.history.filter(change => change.revision > after && change.key.startsWith(prefix))
  }

  /** Calls a function after each change until the returned function is called. */
  subscribe (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /**
   * @param txn - changes and conditions
   * @returns revision of the change, `conflict` or `no-lease`
   */
  commit (txn: StoreTxn): number | 'conflict' | 'no-lease' {
    if (txn.expected.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) return 'conflict'
    if (txn.puts.some(({ lease }) => lease !== 0 && !this.leases.has(lease))) return 'no-lease'
    this.revision += 1
    for (const { key, value, lease } of txn.puts) this.record(key, { key, value, lease, revision: this.revision, created: this.items.get(key)?.created ?? this.revision })
    for (const key of txn.removes) if (this.items.has(key)) this.record(key, undefined)
    for (const listener of this.listeners) listener()
    return this.revision
  }

  /** @returns the new lease and the time to live that applies, in milliseconds */
  grant (ttlMs: number): { lease: number, ttlMs: number } {
    const lease = this.nextLease++
    const appliedMs = Math.min(MAX_TTL_MS, Math.max(MIN_TTL_MS, ttlMs))
    this.leases.set(lease, { ttlMs: appliedMs, expiresAt: performance.now() + appliedMs })
    return { lease, ttlMs: appliedMs }
  }

  /** @returns whether the lease still exists, and is renewed */
  keep (lease: number): boolean {
    const existing = this.leases.get(lease)
    if (existing !== undefined) existing.expiresAt = performance.now() + existing.ttlMs
    return existing !== undefined
  }

  /** Ends a lease and removes its keys. @returns whether it existed */
  end (lease: number): boolean {
    if (!this.leases.delete(lease)) return false
    const removes = [...this.items.values()].filter(item => item.lease === lease).map(({ key }) => key)
    if (removes.length > 0) this.commit({ expected: [], puts: [], removes })
    return true
  }

  private record (key: string, item: StoredItem | undefined): void {
    if (item === undefined) this.items.delete(key)
    else this.items.set(key, item)
    this.history.push({ revision: this.revision, key, item, at: performance.now() })
  }

  private expireLeases (): void {
    const now = performance.now()
    const elapsedMs = now - this.lastExpiryAt
    this.lastExpiryAt = now
    for (const [id, lease] of [...this.leases]) {
      if (this.down && !this.leasesExpireWhileDown) lease.expiresAt += elapsedMs
      else if (lease.expiresAt < now) this.end(id)
    }
    while ((this.history[0]?.at ?? now) < now - RETENTION_MS) this.history.shift()
  }
}
