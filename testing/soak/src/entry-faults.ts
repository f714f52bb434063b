import { delay } from '@wisteriaslip/core.result'
import { drawEntry, type Dice } from './dice.ts'
import type { SoakSite } from './site.ts'

const MAX_PAUSE_MS = 8_000
const SHUTDOWN_MS = 7_000
/** An entry that has started counts as disturbed until it is ready, at most for this time. */
const MAX_READY_MS = 10_000
const READY_POLL_INTERVAL_MS = 100

/** Stops an entry by a signal for some time. */
export async function pauseEntry (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  const entry = site.entries[drawEntry(site, dice)]
  entry?.signal('SIGSTOP')
  await delay(dice.ms(MAX_PAUSE_MS), signal)
  entry?.signal('SIGCONT')
}

/** Restarts an entry, and waits until it is ready. A grace time of 0 kills it. */
export async function restartEntry (site: SoakSite, index: number, { graceMs, pauseMs }: { graceMs: number, pauseMs: number }, signal: AbortSignal): Promise<void> {
  const entry = site.entries[index]
  await entry?.restart(graceMs, pauseMs, signal)
  const until = performance.now() + MAX_READY_MS
  while (performance.now() < until && !signal.aborted && await entry?.isReady() === false) await delay(READY_POLL_INTERVAL_MS, signal)
}

/** Kills an entry, which starts again. */
export async function killEntry (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  await restartEntry(site, drawEntry(site, dice), { graceMs: 0, pauseMs: dice.ms(2_000) }, signal)
}

/** Stops an entry gracefully, which starts again. */
export async function stopEntry (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  await restartEntry(site, drawEntry(site, dice), { graceMs: SHUTDOWN_MS, pauseMs: dice.ms(1_000) }, signal)
}
