/** Lag of the event loop above which the window shrinks to its minimum, above which it shrinks, below which it grows. */
const EXTREME_LAG_MS = 400
const HIGH_LAG_MS = 100
const LOW_LAG_MS = 30
const SHRINK_FACTOR = 0.5
const GROWTH = 4
const MIN_SIZE = 2
const MAX_SIZE = 256
const INITIAL_SIZE = 8
/** A leader that was held up has caught up when the window has grown to this size. */
const CAUGHT_UP_SIZE = 64

/**
 * Limits the starts without a response that a leader has, by the lag of its event loop. A leader that sends more starts
 * than it can follow reads all its responses late, those that renew the leases of its workers too.
 */
export class StartWindow {
  private size = INITIAL_SIZE
  private inFlight = 0
  private lag = 0
  private heldUp = false

  /** @returns number of starts that may be sent now */
  free (): number {
    return Math.max(0, Math.floor(this.size) - this.inFlight)
  }

  /** @returns the last measured lag of the event loop, in milliseconds */
  lagMs (): number {
    return this.lag
  }

  /** @returns whether the leader has recently been unable to follow its own starts */
  isHeldUp (): boolean {
    return this.heldUp
  }

  /** Counts a start that is sent. */
  recordSent (): void {
    this.inFlight += 1
  }

  /** Counts a start that was answered or timed out. */
  recordSettled (): void {
    this.inFlight -= 1
  }

  /**
   * Adapts the window.
   * @param lagMs - by how much a timer of the leader has just been late, in milliseconds
   */
  recordLag (lagMs: number): void {
    this.lag = lagMs
    if (lagMs > EXTREME_LAG_MS) this.size = MIN_SIZE
    else if (lagMs > HIGH_LAG_MS) this.size = Math.max(MIN_SIZE, this.size * SHRINK_FACTOR)
    else if (lagMs < LOW_LAG_MS) this.size = Math.min(MAX_SIZE, this.size + GROWTH)
    if (this.size <= MIN_SIZE) this.heldUp = true
    else if (this.size >= CAUGHT_UP_SIZE) this.heldUp = false
  }
}
