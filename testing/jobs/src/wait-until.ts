import { delay } from '@wisteriaslip/core.result'

/** Nothing that tests wait for takes this long, however busy the machine is. */
const LIMIT_MS = 60_000
const POLL_MS = 10

/**
 * Waits until something holds.
 * @param what - for the error
 * @param holds - asked again and again
 */
export async function waitUntil (what: string, holds: () => boolean | Promise<boolean>): Promise<void> {
  const signal = AbortSignal.timeout(LIMIT_MS)
  while (!await holds()) {
    if (!await delay(POLL_MS, signal)) throw new Error(`never: ${what}`)
  }
}
