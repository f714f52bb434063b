import { delay } from '@wisteriaslip/core.result'
import type { SoakSite } from './site.ts'

const INTERVAL_MS = 50
/** A machine that holds up this process holds up entries, too. */
const HELD_UP_MS = 500

/**
 * Records late effects of faults as disturbances: registrations that have yet to return or to expire. The same holds for
 * times in which the machine is busy with other things.
 * @param site - the site
 * @param signal - ends the watch
 */
export async function watchCalm (site: SoakSite, signal: AbortSignal): Promise<void> {
  const { faults } = site.log
  let settle: (() => void) | undefined
  let startedAt = performance.now()
  while (await delay(INTERVAL_MS, signal)) {
    const tookMs = performance.now() - startedAt
    if (tookMs > HELD_UP_MS) faults.begin('held up', tookMs)()
    startedAt += tookMs
    const isSettled = site.hosts.every(host => host.isSettled())
    if (!isSettled) settle ??= faults.begin('registrations')
    else {
      settle?.()
      settle = undefined
    }
  }
}
