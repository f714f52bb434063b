import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { Mirror } from '@wisteriaslip/store.mirror'
import type { Store, StoreError } from '@wisteriaslip/store.client'
import { isMember } from './record-schema.ts'
import type { StoreKeys } from './store-keys.ts'

/** Member record with which an entry registers itself. */
export interface Member {
  readonly id: string
  /** Identifies one lifetime of the process; two processes with the same id have different incarnations. */
  readonly incarnation: string
  readonly region: string
  readonly zone: string
  readonly peerAddress: { readonly host: string, readonly port: number }
  /** CPU cores available to the entry; distinguishes strong members from weak ones. Defaults to 1. */
  readonly weight?: number | undefined
}

/** This entry's first registration under its latest lease. */
export interface Registration {
  /** Lease under which it was written. */
  readonly leaseId: string
  /** Revision of the store at which it was written. */
  readonly revision: number
}

/** The members recorded in the mirror, and the registration of this entry. */
export class Members {
  readonly self: Member
  private readonly mirror: Mirror
  private readonly keys: StoreKeys
  private cachedMembers: readonly Member[] | undefined
  private registration: Registration | undefined
  private replaced = false

  /**
   * @param self - record of this entry
   * @param mirror - local replica of the store keys
   * @param keys - keys in the store
   */
  constructor (self: Member, mirror: Mirror, keys: StoreKeys) {
    this.self = self
    this.mirror = mirror
    this.keys = keys
    mirror.subscribe(changed => {
      if (changed.some(key => key.startsWith(keys.members))) this.cachedMembers = undefined
    })
  }

  /** @returns all members in the mirror, including this entry if it is registered; records that cannot be read name none */
  all (): readonly Member[] {
    this.cachedMembers ??= this.mirror.list(this.keys.members).map(doc => doc.value).filter(isMember).sort((a, b) => a.id.localeCompare(b.id))
    return this.cachedMembers
  }

  /** @returns all members except this entry */
  peers (): readonly Member[] {
    return this.all().filter(member => member.id !== this.self.id)
  }

  /**
   * @param id - id of an entry
   * @returns its member record; undefined if it is not registered
   */
  find (id: string): Member | undefined {
    return this.all().find(member => member.id === id)
  }

  /** @returns the number of members, counting this entry, that forms a majority */
  majority (): number {
    const others = this.peers().length
    return Math.floor((others + 1) / 2) + 1
  }

  /** @returns whether a newer incarnation has registered under this entry's id */
  isReplaced (): boolean {
    if (this.replaced) return true
    const record = this.mirror.get(this.keys.members + this.self.id)
    if (record === undefined || this.registration === undefined || !isMember(record.value)) return false
    return record.value.incarnation !== this.self.incarnation && record.modRevision > this.registration.revision
  }

  /** @returns this entry's first registration under its latest lease, undefined before any */
  latestRegistration (): Registration | undefined {
    return this.registration
  }

  /**
   * Writes this entry's record under its lease. The first registration overwrites the record of an earlier incarnation;
   * a later one fails if another incarnation has registered meanwhile.
   * @param store - store to write to
   * @param leaseId - id of the entry's lease
   * @returns nothing, `conflict` if another incarnation has registered, or the error of the store
   */
  async register (store: Store, leaseId: string): Promise<Result<void, StoreError>> {
    const key = this.keys.members + this.self.id
    const prior = await store.get(key)
    if (!prior.ok) return prior
    const registered = prior.value?.value
    const isOtherIncarnation = isMember(registered) && registered.incarnation !== this.self.incarnation
    if (isOtherIncarnation && this.registration !== undefined) {
      this.replaced = true
      return err({ kind: 'conflict', code: 'STORE_CONFLICT', message: 'another incarnation has registered under this id' })
    }
    const written = await store.update([{ key, prior: prior.value, value: this.self, leaseId }])
    if (!written.ok) return err(written.error)
    if (this.registration?.leaseId !== leaseId) this.registration = { leaseId, revision: written.value }
    return ok(undefined)
  }
}
