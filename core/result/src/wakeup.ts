import { onAbort } from './abort-listeners.ts'

/** Lets a task sleep for a limited time, and lets others wake it earlier. */
export class Wakeup {
  private resolve: (() => void) | undefined
  private pending = false

  /** Ends the current sleep. If no task is sleeping, the next sleep returns immediately. */
  wake (): void {
    if (this.resolve === undefined) this.pending = true
    else this.resolve()
  }

  /**
   * Sleeps until woken, aborted or timed out.
   * @param ms - maximum time in milliseconds
   * @param signal - ends the sleep when aborted
   * @returns false when aborted, otherwise true
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
        detach()
        this.resolve = undefined
        resolve()
      }
      const timer = setTimeout(end, ms)
      const detach = onAbort(signal, end)
      this.resolve = end
    })
    return !signal.aborted
  }
}
