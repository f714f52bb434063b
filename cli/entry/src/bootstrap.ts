import { delay } from '@wisteriaslip/core.result'
import type { EntryState } from './state.ts'

const STORE_SYNC_WAIT_MS = 1_500
const RETRY_DELAY_MS = 1_000

/**
 * Fetches a copy of the state from the seed peers if the mirror has not been filled from the store soon after the
 * start.
 * @param state - state of this entry
 * @param signal - stops the attempts
 */
export async function bootstrapFromPeers (state: EntryState, signal: AbortSignal): Promise<void> {
  const { mirror, settings, members, peers } = state
  await delay(STORE_SYNC_WAIT_MS, signal)
  while (mirror.revision() === 0 && !signal.aborted) {
    for (const address of settings.seedPeers) {
      const reply = await peers.call(address, 'sync', { from: members.self.id, incarnation: members.self.incarnation, revision: 0 }, { signal })
      if (reply.ok && reply.value.delta !== undefined) mirror.merge(reply.value.delta)
    }
    await delay(RETRY_DELAY_MS, signal)
  }
}
