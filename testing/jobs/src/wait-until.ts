import { delay } from '@wisteriaslip/core.result'

/** Longer than anything that tests wait for, even on a busy machine. */
const TIMEOUT_MS = 60_000
const POLL_INTERVAL_MS = 10

/**
 * Waits until a condition holds.
 * @param description - the condition in words, for the error
 * @param condition - evaluated again and again
 * @throws when the condition does not hold within the timeout
 */
export async function waitUntil (description: string, condition: () => boolean | Promise<boolean>): Promise<void> {
  const signal = AbortSignal.timeout(TIMEOUT_MS)
  while (!await condition()) {
    if (!await delay(POLL_INTERVAL_MS, signal)) throw new Error(`timed out waiting until ${description}`)
  }
}
