import { linkAbort, Wakeup, type Clock, type LinkedAbort } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { Driver } from '@wisteriaslip/store.client'
import { followRaw, type RawCopy } from './raw-mirror.ts'

const LOOK_AGAIN_MS = 60_000

/** Options of {@link WorkerList}. */
export interface WorkerListOpts {
  readonly driver: Driver
  readonly copy: RawCopy
  readonly clock: Clock
  readonly logger: Logger
  readonly gatherMs: number
}

/**
 * Follows what workers write about themselves, which they do all the time, while this entry leads a service. Nothing of
 * it is kept for later: old entries would name workers that are gone.
 */
export class WorkerList {
  private readonly opts: WorkerListOpts
  private readonly change = new Wakeup()
  private needed = false
  private following: LinkedAbort | undefined

  constructor (opts: WorkerListOpts) {
    this.opts = opts
  }

  /** @param needed - whether this entry leads a service */
  setNeeded (needed: boolean): void {
    if (this.needed === needed) return
    this.needed = needed
    if (!needed) this.following?.abort()
    this.change.wake()
  }

  /** Runs until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    const { driver, copy, clock, logger, gatherMs } = this.opts
    while (!signal.aborted) {
      if (!this.needed) {
        await this.change.sleep(LOOK_AGAIN_MS, signal)
        continue
      }
      this.following = linkAbort(signal)
      await followRaw(driver, copy, { signal: this.following.signal, clock, logger, gatherMs })
      this.following.release()
      copy.clear()
    }
  }
}
