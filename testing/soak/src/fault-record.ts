/** A time in milliseconds in which something was disturbed, or had not recovered yet. */
export interface Disturbance {
  readonly name: string
  readonly from: number
  /** Undefined while it lasts. */
  to?: number
}

/** What was disturbed when, by those who disturb it. Planned work, such as maintenance, is not recorded. */
export class FaultRecord {
  readonly disturbances: Disturbance[] = []
  private readonly now: () => number

  /** @param now - clock of the run log, in milliseconds */
  constructor (now: () => number) {
    this.now = now
  }

  /**
   * Records that a disturbance begins.
   * @param name - what it is, for reading
   * @param agoMs - how long ago it began
   * @returns records its end; later calls do nothing
   */
  begin (name: string, agoMs = 0): () => void {
    const disturbance: Disturbance = { name, from: this.now() - agoMs }
    this.disturbances.push(disturbance)
    return () => { disturbance.to ??= this.now() }
  }
}
