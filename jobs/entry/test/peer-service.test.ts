import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay, err, onAbort, type Result } from '@wisteriaslip/core.result'
import type { RelayRequest } from '@wisteriaslip/peers.protocol'
import type { Driver, DriverError } from '@wisteriaslip/store.client'
import { EntryPeerService, type EntryPeerServiceOpts } from '../src/peer-service.ts'

const MAX_RELAY_MS = 2_000
const calls: RelayRequest[] = [
  { op: 'range', key: 'a', prefix: true },
  { op: 'txn', txn: { guards: [], puts: [], deletes: [] } },
  { op: 'keepAlive', leaseId: '1' }
]

/** Waits until the caller gives up, as a connection does on which the response is lost. */
async function neverReplies (signal: AbortSignal | undefined): Promise<Result<never, DriverError>> {
  return await new Promise(resolve => {
    if (signal !== undefined) onAbort(signal, () => resolve(err({ kind: 'lost', message: 'aborted' })))
  })
}

// Calls that a peer had given up long before kept the connections to the store, or waited for one and were sent late.
for (const call of calls) {
  test(`a relayed call (${call.op}) without a response from the store ends`, async t => {
    const shutdown = new AbortController()
    t.after(() => shutdown.abort())
    const directDriver = {
      range: async (_key: string, opts: { signal?: AbortSignal }) => await neverReplies(opts.signal),
      txn: async (_txn: unknown, signal: AbortSignal) => await neverReplies(signal),
      keepAlive: async (_leaseId: string, signal: AbortSignal) => await neverReplies(signal)
    } as unknown as Driver
    const service = new EntryPeerService({ directDriver, signal: shutdown.signal } as unknown as EntryPeerServiceOpts)
    const reply = await Promise.race([service.relay(call), delay(MAX_RELAY_MS, shutdown.signal).then(() => 'waits')])
    assert.deepEqual(reply, { ok: false, error: { kind: 'lost', message: 'aborted' } })
  })
}
