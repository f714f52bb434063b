/** A change of an account's part, as far as its order matters. */
export interface OrderedChange {
  readonly account: string
  /** Its tasks wait and none runs here. */
  readonly isStarved: boolean
}

/**
 * Order in which a service writes its parts: first of accounts that wait with nothing in use, then of those longest unwritten, so that
 * none is left out while others change all the time. Each service begins with other accounts, so that fewer of their writes conflict.
 */
export class WriteOrder {
  private readonly service: string
  private readonly writtenAt = new Map<string, number>()
  private readonly places = new Map<string, number>()

  /** @param service - the service */
  constructor (service: string) {
    this.service = service
  }

  /**
   * @param changes - changes that are due
   * @returns the same in the order in which they are to be written
   */
  sort<T extends OrderedChange> (changes: readonly T[]): T[] {
    return [...changes].sort((a, b) => Number(b.isStarved) - Number(a.isStarved) || this.lastWrite(a.account) - this.lastWrite(b.account) || this.place(a.account) - this.place(b.account))
  }

  /**
   * @param account - name of an account whose part was written
   * @param now - time of the injected clock
   */
  noteWrite (account: string, now: number): void {
    this.writtenAt.set(account, now)
  }

  private lastWrite (account: string): number {
    return this.writtenAt.get(account) ?? Number.MIN_SAFE_INTEGER
  }

  private place (account: string): number {
    const known = this.places.get(account)
    if (known !== undefined) return known
    const place = hash(`${this.service}/${account}`)
    this.places.set(account, place)
    return place
  }
}

/** FNV-1a with a last mixing step, as names often differ at their end only. */
function hash (text: string): number {
  let value = 0x811c9dc5
  for (let index = 0; index < text.length; index++) value = Math.imul(value ^ text.charCodeAt(index), 0x01000193)
  value = Math.imul(value ^ (value >>> 15), 0x2c1b3c6d)
  return (value ^ (value >>> 13)) >>> 0
}
