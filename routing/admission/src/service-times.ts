const SMOOTHING = 0.1
const FIRST_GUESS_MS = 50

/** Running mean of how long work of each class occupies a slot. */
export class ServiceTimes {
  private readonly means = new Map<string, number>()

  /**
   * @param className - of the work
   * @returns mean time in milliseconds
   */
  estimate (className: string): number {
    return this.means.get(className) ?? FIRST_GUESS_MS
  }

  /**
   * @param className - of the work
   * @param ms - how long one request held its slot
   */
  record (className: string, ms: number): void {
    const before = this.means.get(className)
    this.means.set(className, before === undefined ? ms : before + (ms - before) * SMOOTHING)
  }
}
