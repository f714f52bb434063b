import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { Mirror } from '@wisteriaslip/store.mirror'
import type { Store, StoreError } from '@wisteriaslip/store.client'
import type { StoreKeys } from './store-keys.ts'

/** An entry as it registered itself. */
export interface Member {
  readonly id: string
  /** Differs between two runs of an entry with the same id. */
  readonly incarnation: string
  readonly region: string
  readonly zone: string
  readonly peerAddress: { readonly host: string, readonly port: number }
  /** Processors that it has, to tell strong members from weak ones. */
  readonly weight?: number | undefined
}

/** The members as the mirror knows them. */
export class Members {
  readonly self: Member
  private readonly mirror: Mirror
  private readonly keys: StoreKeys
  private cached: readonly Member[] | undefined
  private registeredAt: number | undefined
  private supplanted = false

  constructor (self: Member, mirror: Mirror, keys: StoreKeys) {
    this.self = self
    this.mirror = mirror
    this.keys = keys
    mirror.subscribe(changed => {
      if (changed.some(key => key.startsWith(keys.members))) this.cached = undefined
    })
  }

  /** @returns all members last known, this entry among them if it is registered */
  all (): readonly Member[] {
    this.cached ??= this.mirror.list<Member>(this.keys.members).map(doc => doc.value).sort((a, b) => a.id.localeCompare(b.id))
    return this.cached
  }

  /** @returns all members but this entry */
  peers (): readonly Member[] {
    return this.all().filter(member => member.id !== this.self.id)
  }

  /**
   * @param id - of an entry
   * @returns the member, undefined when it is not registered
   */
  find (id: string): Member | undefined {
    return this.all().find(member => member.id === id)
  }

  /** @returns how many members, this entry counted, are more than half */
  majority (): number {
    const others = this.peers().length
    return Math.floor((others + 1) / 2) + 1
  }

  /** @returns whether another run registered under this entry's id after it */
  isReplaced (): boolean {
    if (this.supplanted) return true
    const record = this.mirror.get<Member>(this.keys.members + this.self.id)
    if (record === undefined || this.registeredAt === undefined) return false
    return record.value.incarnation !== this.self.incarnation && record.modRevision > this.registeredAt
  }

  /**
   * Writes this entry's record under its lease, at first over the record of an earlier run if there is one.
   * @param store - where to write
   * @param leaseId - of the entry's lease
   */
  async register (store: Store, leaseId: string): Promise<Result<void, StoreError>> {
    const key = this.keys.members + this.self.id
    const prior = await store.get(key)
    if (!prior.ok) return prior
    const other = prior.value !== undefined && (prior.value.value as Member).incarnation !== this.self.incarnation
    if (other && this.registeredAt !== undefined) {
      this.supplanted = true
      return err({ kind: 'conflict', code: 'STORE_CONFLICT', message: 'another run registered under this id' })
    }
    const written = await store.update([{ key, prior: prior.value, value: this.self, leaseId }])
    if (!written.ok) return err(written.error)
    this.registeredAt = written.value
    return ok(undefined)
  }
}
