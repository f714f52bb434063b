const RETRIES_PER_REQUEST = 0.1
const MAX_AVAILABLE_RETRIES = 50

/** Limits retries to a fraction of the requests, so that a failing pool is not overloaded by retries. */
export class RetryBudget {
  private availableRetries = MAX_AVAILABLE_RETRIES / 2

  /** Adds the retry allowance of one new request. */
  accrue (): void {
    this.availableRetries = Math.min(MAX_AVAILABLE_RETRIES, this.availableRetries + RETRIES_PER_REQUEST)
  }

  /**
   * Takes one retry if the budget allows it.
   * @returns whether the retry is allowed
   */
  tryTake (): boolean {
    if (this.availableRetries < 1) return false
    this.availableRetries -= 1
    return true
  }
}
