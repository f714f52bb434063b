import { delay } from '@wisteriaslip/core.result'
import type { EntryState } from './state.ts'

const PATIENCE_MS = 1_500
const RETRY_MS = 1_000

/**
 * Asks the seed peers for a copy of the state when the store does not give one soon.
 * @param state - of this entry
 * @param signal - gives up
 */
export async function bootstrapFromPeers (state: EntryState, signal: AbortSignal): Promise<void> {
  const { mirror, settings, members, peers } = state
  await delay(PATIENCE_MS, signal)
  while (mirror.revision() === 0 && !signal.aborted) {
    for (const address of settings.seedPeers) {
      const reply = await peers.call(address, 'sync', { from: members.self.id, incarnation: members.self.incarnation, revision: 0 }, { signal })
      if (reply.ok && reply.value.delta !== undefined) mirror.merge(reply.value.delta)
    }
    await delay(RETRY_MS, signal)
  }
}
