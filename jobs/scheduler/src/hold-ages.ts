/** Since when holds have been seen that do not say so themselves: looked at now and then, each look replaces the one before. */
export class HoldAges {
  private since = new Map<string, number>()

  /**
   * Notes which holds there are: those that the look before had as well go on, all others begin now.
   * @param keys - keys of all holds
   * @param now - time of the injected clock
   */
  observe (keys: Iterable<string>, now: number): void {
    const since = new Map<string, number>()
    for (const key of keys) since.set(key, this.since.get(key) ?? now)
    this.since = since
  }

  /**
   * @param key - key of a hold
   * @returns when it was first seen, by the injected clock; undefined if the latest look has not seen it
   */
  sinceOf (key: string): number | undefined {
    return this.since.get(key)
  }
}
