import type { Clock } from '@wisteriaslip/core.result'

const BURST_SECONDS = 2

/** Token bucket that limits the rate of one kind of call. */
export class CallBudget {
  private tokens: number
  private refilledAt: number
  private readonly perSecond: number
  private readonly clock: Clock

  /**
   * @param perSecond - sustained rate, in calls per second; bursts of up to two seconds' worth are allowed
   * @param clock - time source
   */
  constructor (perSecond: number, clock: Clock) {
    this.perSecond = perSecond
    this.clock = clock
    this.tokens = perSecond * BURST_SECONDS
    this.refilledAt = clock.now()
  }

  /**
   * Takes one token, if one is available.
   * @returns whether the call may be made
   */
  tryTake (): boolean {
    const now = this.clock.now()
    const refill = (now - this.refilledAt) / 1_000 * this.perSecond
    this.tokens = Math.min(this.perSecond * BURST_SECONDS, this.tokens + refill)
    this.refilledAt = now
    if (this.tokens < 1) return false
    this.tokens -= 1
    return true
  }
}
