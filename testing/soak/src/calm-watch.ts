import { delay } from '@wisteriaslip/core.result'
import type { EntryProcess } from './entry-process.ts'
import type { SoakSite } from './site.ts'

const INTERVAL_MS = 50
const HELD_UP_MS = 500
/** Waits for a processor are added up for this time. */
const WINDOW_MS = 1_000

/**
 * Records late effects of faults as disturbances: registrations that have yet to return or to expire. The same holds for
 * times in which the machine is busy with other things, so that this process or an entry waits for a processor.
 * @param site - the site
 * @param signal - ends the watch
 */
export async function watchCalm (site: SoakSite, signal: AbortSignal): Promise<void> {
  const { faults } = site.log
  const waits = site.entries.map(entry => new ProcessorWait(entry))
  let settle: (() => void) | undefined
  let startedAt = performance.now()
  while (await delay(INTERVAL_MS, signal)) {
    const now = performance.now()
    if (now - startedAt > HELD_UP_MS) faults.begin('held up', now - startedAt)()
    startedAt = now
    for (const [index, wait] of waits.entries()) {
      const waitedMs = wait.recentMs(now)
      if (waitedMs > HELD_UP_MS) faults.begin(`entry-${index} held up`, Math.max(WINDOW_MS, waitedMs))()
    }
    if (!site.hosts.every(host => host.isSettled())) settle ??= faults.begin('registrations')
    else {
      settle?.()
      settle = undefined
    }
  }
}

/** Tells for how long an entry waits for a processor, whatever it has to do itself. */
class ProcessorWait {
  private readonly entry: EntryProcess
  private since = 0
  private waitedMs = 0

  constructor (entry: EntryProcess) {
    this.entry = entry
  }

  /** @returns for how many milliseconds it has waited in the window that has just ended; 0 before that, and for a new process */
  recentMs (now: number): number {
    if (now - this.since < WINDOW_MS) return 0
    const before = this.waitedMs
    this.since = now
    this.waitedMs = this.entry.waitedForProcessorMs()
    return before > 0 ? this.waitedMs - before : 0
  }
}
