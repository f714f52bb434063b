import type { Resources } from '@wisteriaslip/jobs.model'
import { decodeEnvelope, type RawKeyValue, type Versioned } from '@wisteriaslip/store.client'
import { usablePart, type QuotaRecord } from './parts.ts'
import { isQuotaRecord } from './record-schema.ts'
import { each, isSame, isWithin, nothing } from './resources.ts'

/** A lowered part that may be stored, now or later. */
export interface Lowered {
  readonly given: Resources
  /** Revision of the record that the write replaces: it has taken effect, or never will, once the record has a later one. */
  readonly priorRevision: number
}

/** What is known of one account's record. */
export interface BookEntry {
  /** The last record that could be read. */
  readonly record: QuotaRecord | undefined
  /** The stored version, for the next write. */
  readonly version: Versioned | undefined
  readonly revision: number
  /** The stored value cannot be read: nobody changes it. */
  readonly unreadable: boolean
}

/** The records of all accounts as the store has confirmed them, and what this service may use by them. */
export class QuotaBook {
  private readonly service: string
  private readonly prefix: string
  private readonly entries = new Map<string, BookEntry>()
  private readonly lowered = new Map<string, Lowered>()
  private readonly held = new Map<string, Resources>()
  private changed = new Set<string>()
  /** The records have been read. */
  isRead = false
  /** Increases with each change of what may be used. */
  changes = 0
  /** Increases with each record that gives the service more than the one before. */
  raises = 0

  /**
   * @param service - the service whose parts are used here
   * @param prefix - key prefix of the records
   */
  constructor (service: string, prefix: string) {
    this.service = service
    this.prefix = prefix
  }

  /**
   * @param account - name of an account
   * @returns key of its record
   */
  key (account: string): string {
    return this.prefix + encodeName(account)
  }

  /** @returns names of the accounts whose records are known */
  accounts (): string[] {
    return [...this.entries.keys()]
  }

  /** @returns names of the accounts whose records have been taken over or removed since the last call */
  takeChanged (): ReadonlySet<string> {
    const { changed } = this
    this.changed = new Set()
    return changed
  }

  /** @returns number of the records that the store has */
  stored (): number {
    return [...this.entries.values()].filter(({ version, unreadable }) => version !== undefined || unreadable).length
  }

  /**
   * @param account - name of an account
   * @returns its record as far as it is known
   */
  entry (account: string): BookEntry | undefined {
    return this.entries.get(account)
  }

  /**
   * Takes a stored record over, unless a later one is known.
   * @param kv - the record as stored
   * @returns whether it cannot be read and that is new
   */
  apply (kv: RawKeyValue): boolean {
    const doc = decodeEnvelope(kv)
    if (doc !== undefined) return this.applyDoc(doc)
    return this.markUnreadable(kv.key, kv.modRevision)
  }

  /**
   * Takes a stored record over, unless a later one is known.
   * @param doc - the record as stored
   * @returns whether it cannot be read and that is new
   */
  applyDoc (doc: Versioned): boolean {
    const { value } = doc
    if (!isQuotaRecord(value)) return this.markUnreadable(doc.key, doc.modRevision)
    const account = this.accountOf(doc.key)
    if (account === undefined || doc.modRevision < this.revisionOf(account)) return false
    const before = this.given(account)
    this.changes += 1
    this.changed.add(account)
    this.entries.set(account, { record: value, version: doc, revision: doc.modRevision, unreadable: false })
    if (!isWithin(this.given(account), before)) this.raises += 1
    this.settleLowered(account)
    return false
  }

  /**
   * Takes note of the removal of a record, unless a later one is known.
   * @param key - key of the record
   * @param revision - revision at which it was removed, or at which it was not there
   */
  applyRemoval (key: string, revision: number): void {
    const account = this.accountOf(key)
    if (account === undefined || revision < this.revisionOf(account)) return
    this.changes += 1
    this.changed.add(account)
    this.entries.set(account, { record: undefined, version: undefined, revision, unreadable: false })
    this.settleLowered(account)
  }

  /**
   * @param account - name of an account
   * @param limits - its quota, infinity for no limit
   * @returns what the service may have in use when it starts more; less if others lack it, see {@link hold}
   */
  usable (account: string, limits: Resources): Resources {
    return lowerOf(this.confirmed(account, limits), this.held.get(account))
  }

  /**
   * @param account - name of an account
   * @param limits - its quota, infinity for no limit
   * @returns what the service may have in use although others lack it
   */
  confirmed (account: string, limits: Resources): Resources {
    return lowerOf(usablePart(this.entries.get(account)?.record, this.service, limits), this.lowered.get(account)?.given)
  }

  /**
   * Sets how far a service goes although its part is larger, as others lack what it has in use beyond that: it would take again what ends
   * before it can give it back.
   * @param account - name of an account
   * @param target - what it starts nothing beyond; undefined for its part
   */
  hold (account: string, target: Resources | undefined): void {
    const before = this.held.get(account)
    if (before === undefined ? target === undefined : target !== undefined && isSame(before, target)) return
    if (target === undefined) this.held.delete(account)
    else this.held.set(account, target)
    this.changes += 1
  }

  /**
   * From now on the service goes as far as its parts.
   * @returns whether it was held to less
   */
  releaseHolds (): boolean {
    if (this.held.size === 0) return false
    this.held.clear()
    this.changes += 1
    return true
  }

  /**
   * From now on only what a lowered part gives is used: the write that lowers it may take effect at any time.
   * @param account - name of an account
   * @param given - the part that is about to be written
   */
  lower (account: string, given: Resources): void {
    const before = this.lowered.get(account)?.given
    this.changes += 1
    this.lowered.set(account, { given: before === undefined ? given : each(dimension => Math.min(before[dimension], given[dimension])), priorRevision: this.revisionOf(account) })
  }

  /**
   * @param account - name of an account
   * @returns its lowered part, undefined if no write may still take effect
   */
  lowering (account: string): Lowered | undefined {
    return this.lowered.get(account)
  }

  /**
   * Takes back what a write lowered that has certainly had no effect. An earlier one that may still take effect goes on to hold.
   * @param account - name of an account
   * @param before - the lowered part before that write
   */
  restoreLowering (account: string, before: Lowered | undefined): void {
    this.changes += 1
    if (before === undefined) this.lowered.delete(account)
    else this.lowered.set(account, before)
    this.settleLowered(account)
  }

  /**
   * @param account - name of an account
   * @returns whether a write may still take effect that lowers the part
   */
  isLowering (account: string): boolean {
    return this.lowered.has(account)
  }

  /**
   * @param account - name of an account
   * @returns what the service was given by the last record
   */
  given (account: string): Resources {
    return this.entries.get(account)?.record?.parts[this.service]?.given ?? nothing
  }

  private settleLowered (account: string): void {
    const lowered = this.lowered.get(account)
    if (lowered !== undefined && this.revisionOf(account) > lowered.priorRevision) this.lowered.delete(account)
  }

  private markUnreadable (key: string, revision: number): boolean {
    const account = this.accountOf(key)
    if (account === undefined || revision < this.revisionOf(account)) return false
    const known = this.entries.get(account)
    if (known?.unreadable === true && known.revision === revision) return false
    this.entries.set(account, { record: known?.record, version: undefined, revision, unreadable: true })
    return true
  }

  private revisionOf (account: string): number {
    return this.entries.get(account)?.revision ?? 0
  }

  private accountOf (key: string): string | undefined {
    try {
      return key.startsWith(this.prefix) ? decodeName(key.slice(this.prefix.length)) : undefined
    } catch {
      return undefined
    }
  }
}

/** Halves of a character alone, which `encodeURIComponent` throws at, have an escape of their own. */
function encodeName (name: string): string {
  return Array.from(name, char => /\p{Surrogate}/u.test(char) ? `%u${char.charCodeAt(0).toString(16)}` : encodeURIComponent(char)).join('')
}

function decodeName (encoded: string): string {
  return decodeURIComponent(encoded.replace(/%u([0-9a-f]{4})/g, (_, hex: string) => String.fromCharCode(parseInt(hex, 16))))
}

/** Leaves what is not limited as it is. */
function lowerOf (usable: Resources, bound: Resources | undefined): Resources {
  if (bound === undefined) return usable
  return each(dimension => usable[dimension] === Infinity ? Infinity : Math.min(usable[dimension], bound[dimension]))
}
