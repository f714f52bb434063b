const TURN_MS = 10

/** Shares the process between connections that have more to read than fits into a turn of the event loop. */
export class Turns {
  private readonly waiting = new Set<() => void>()
  private endsAt = 0

  /** @returns whether the current turn has time for more, and nobody waits for it */
  hasTime (): boolean {
    if (this.endsAt === 0) {
      this.endsAt = performance.now() + TURN_MS
      setImmediate(() => this.run())
    }
    return this.waiting.size === 0 && performance.now() < this.endsAt
  }

  /** @returns whether others wait, or the current turn is over */
  isPressed (): boolean {
    return this.waiting.size > 0 || (this.endsAt !== 0 && performance.now() >= this.endsAt)
  }

  /** @param step - is called in a later turn, after all that wait already */
  wait (step: () => void): void {
    if (this.endsAt === 0) this.hasTime()
    this.waiting.add(step)
  }

  /** @param step - does not wait any more */
  forget (step: () => void): void {
    this.waiting.delete(step)
  }

  private run (): void {
    this.endsAt = performance.now() + TURN_MS
    for (const step of [...this.waiting]) {
      if (performance.now() >= this.endsAt) break
      if (this.waiting.delete(step)) step()
    }
    if (this.waiting.size > 0) setImmediate(() => this.run())
    else this.endsAt = 0
  }
}
