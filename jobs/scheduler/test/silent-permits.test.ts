import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SchedulerHarness, step, worker } from './harness.ts'

/** What a request that is answered takes at most, and as long again. */
const SOON_MS = 4_000
const PASS_MS = 100
const permitCost = { decisionMs: 400, perWorkerMs: 100 }

/**
 * A leader whose requests get no response for a while: those that were sent in that time end with their timeouts.
 * @returns how long after the silence the first request is sent that gets one, in milliseconds
 */
function waitAfterSilence (silenceMs: number): number {
  const harness = new SchedulerHarness({ queue: { needsPermit: true, permitCost } })
  harness.addWorkers(...Array.from({ length: 30 }, (_, number) => worker(`w${number}`)))
  harness.addJob({ steps: [step({ lasting: true })] })
  const { permitRequester } = harness.scheduler
  const silentUntil = harness.now + silenceMs
  for (;;) {
    const [request] = permitRequester.collect()
    if (request === undefined) harness.now += PASS_MS
    else if (harness.now >= silentUntil) return harness.now - silentUntil
    else {
      harness.now += request.timeoutMs
      permitRequester.handleResponse(request, undefined)
    }
  }
}

// The timeout grows with each failure, and a request that was sent in the silence keeps its step waiting for the rest of it: 12 s.
test('permits are asked for again soon after a permit service that was silent responds', () => {
  const waits = Array.from({ length: 30 }, (_, second) => waitAfterSilence(1_000 * (second + 1)))
  assert.ok(Math.max(...waits) <= SOON_MS, `up to ${Math.max(...waits)} ms`)
})
