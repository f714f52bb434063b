/** Lets a task sleep until it is time, or until somebody wakes it. */
export class Wakeup {
  private resolve: (() => void) | undefined
  private pending = false

  /** Ends the present sleep, or the next one if nobody sleeps. */
  wake (): void {
    if (this.resolve === undefined) this.pending = true
    else this.resolve()
  }

  /**
   * Sleeps.
   * @param ms - longest time in milliseconds
   * @param signal - ends it too
   * @returns false when aborted
   */
  async sleep (ms: number, signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return false
    if (this.pending) {
      this.pending = false
      return true
    }
    await new Promise<void>(resolve => {
      const end = (): void => {
        clearTimeout(timer)
        signal.removeEventListener('abort', end)
        this.resolve = undefined
        resolve()
      }
      const timer = setTimeout(end, ms)
      signal.addEventListener('abort', end, { once: true })
      this.resolve = end
    })
    return !signal.aborted
  }
}
