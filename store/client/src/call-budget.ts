import type { Clock } from '@wisteriaslip/core.result'

const BURST_SECONDS = 2
/** Share of a burst that is kept from calls for callers, of which there may be any number. */
const RESERVED_SHARE = 0.25

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
   * @param opts - `forCaller`: a part of the tokens is left to other calls
   * @returns whether the call may be made
   */
  tryTake ({ forCaller = false }: { forCaller?: boolean | undefined } = {}): boolean {
    const now = this.clock.now()
    const refill = (now - this.refilledAt) / 1_000 * this.perSecond
    const burst = this.perSecond * BURST_SECONDS
    this.tokens = Math.min(burst, this.tokens + refill)
    this.refilledAt = now
    const reserved = forCaller ? Math.max(0, Math.min(burst * RESERVED_SHARE, burst - 1)) : 0
    if (this.tokens < 1 + reserved) return false
    this.tokens -= 1
    return true
  }
}
