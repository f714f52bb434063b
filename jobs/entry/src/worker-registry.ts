import { linkAbort, Wakeup, type Clock, type LinkedAbort } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { Driver } from '@wisteriaslip/store.client'
import { followRawKeys, type RawMirror } from './raw-mirror.ts'

const MAX_IDLE_WAIT_MS = 60_000

/** Options of {@link WorkerRegistry}. */
export interface WorkerRegistryOpts {
  readonly driver: Driver
  readonly mirror: RawMirror
  readonly clock: Clock
  readonly logger: Logger
  readonly batchWindowMs: number
}

/**
 * Mirrors worker registrations while this entry leads a service; workers rewrite them all the time. The mirror is
 * cleared afterwards, because stale registrations would name workers that no longer exist.
 */
export class WorkerRegistry {
  private readonly opts: WorkerRegistryOpts
  private readonly wakeup = new Wakeup()
  private needed = false
  private activeWatch: LinkedAbort | undefined

  constructor (opts: WorkerRegistryOpts) {
    this.opts = opts
  }

  /** @param needed - whether this entry leads a service */
  setNeeded (needed: boolean): void {
    if (this.needed === needed) return
    this.needed = needed
    if (!needed) this.activeWatch?.abort()
    this.wakeup.wake()
  }

  /** Mirrors registrations whenever they are needed, until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    const { driver, mirror, clock, logger, batchWindowMs } = this.opts
    while (!signal.aborted) {
      if (!this.needed) {
        await this.wakeup.sleep(MAX_IDLE_WAIT_MS, signal)
        continue
      }
      this.activeWatch = linkAbort(signal)
      await followRawKeys(driver, mirror, { signal: this.activeWatch.signal, clock, logger, batchWindowMs })
      this.activeWatch.release()
      mirror.clear()
    }
  }
}
