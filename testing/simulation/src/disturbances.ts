/** Faults, and times in which what they have done is not mended yet. */
export class Disturbances {
  private readonly now: () => number
  private readonly all: Array<{ readonly kind: string, readonly from: number, to: number }> = []
  private active = 0
  private lastEndedAt = Number.NEGATIVE_INFINITY

  /** @param now - virtual time in milliseconds */
  constructor (now: () => number) {
    this.now = now
  }

  /**
   * Notes the begin of a disturbance.
   * @param kind - what it is
   * @returns notes its end
   */
  begin (kind: string): () => void {
    const disturbance = { kind, from: this.now(), to: Infinity }
    this.all.push(disturbance)
    this.active += 1
    return () => {
      if (disturbance.to !== Infinity) return
      disturbance.to = this.now()
      this.active -= 1
      this.lastEndedAt = disturbance.to
    }
  }

  /** @returns for how many milliseconds nothing has been disturbed; 0 while something is */
  calmMs (): number {
    return this.active > 0 ? 0 : this.now() - this.lastEndedAt
  }

  /** @returns descriptions of all disturbances since a time */
  since (from: number): string[] {
    return this.all.filter(({ to }) => to >= from).map(({ kind, from, to }) => `${kind} ${Math.round(from)} to ${Math.round(to)}`)
  }
}
