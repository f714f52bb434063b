const EARNED_PER_REQUEST = 0.1
const MAX_SAVED = 50

/** Bounds how many requests are sent twice, so that a failing pool is not flooded with retries. */
export class RetryBudget {
  private saved = MAX_SAVED / 2

  /** Notes a request that was sent for the first time. */
  earn (): void {
    this.saved = Math.min(MAX_SAVED, this.saved + EARNED_PER_REQUEST)
  }

  /** @returns whether one more retry is allowed; it is counted */
  spend (): boolean {
    if (this.saved < 1) return false
    this.saved -= 1
    return true
  }
}
