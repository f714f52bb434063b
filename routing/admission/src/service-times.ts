/** Weight of the latest sample in the moving average. */
const SMOOTHING_FACTOR = 0.1
/** Used for a class without samples. */
const INITIAL_ESTIMATE_MS = 50

/** Exponential moving average, by class, of the time that a request occupies a slot. */
export class ServiceTimes {
  private readonly meanMsByClass = new Map<string, number>()

  /**
   * @param className - class of the request
   * @returns mean service time in milliseconds
   */
  estimate (className: string): number {
    return this.meanMsByClass.get(className) ?? INITIAL_ESTIMATE_MS
  }

  /**
   * @param className - class of the request
   * @param ms - time that the request occupied its slot, in milliseconds
   */
  record (className: string, ms: number): void {
    const previous = this.meanMsByClass.get(className)
    this.meanMsByClass.set(className, previous === undefined ? ms : previous + (ms - previous) * SMOOTHING_FACTOR)
  }
}
