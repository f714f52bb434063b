import assert from 'node:assert/strict'
import { test } from 'node:test'
import { plainStep, waitUntil, withSite } from '@wisteriaslip/testing.jobs'

const ID = '00000000000000aa'
/** Workers that respond have done so many times by then; the wait for a silent one is 5.7 s. */
const SOON_MS = 1_000
/** A write takes effect without a reply, and its repetitions are lost, so that the leader starts the term's record anew. */
const UNKNOWN_OUTCOME = ['lose-reply', 'lose-call', 'lose-call', 'lose-call'] as const

// The first leader took the record that its own write had left for that of an earlier leader, which had used no workers.
test('the first leader of a service waits for all workers although its first write of the record got no response', async () => {
  await withSite(async site => {
    site.plan = () => ({ runMs: 600_000 })
    await site.intake.submit(site.request(ID, [plainStep({ tasks: 2, estimateMs: 0 })]))
    site.termRecordFaults.push(...UNKNOWN_OUTCOME)
    const first = await site.elect()
    first.disconnectFrom('w3')
    await waitUntil('the leader has workers', () => (first.term.load()?.workers.length ?? 0) > 0)
    await new Promise(resolve => { setTimeout(resolve, SOON_MS) })
    assert.deepEqual(site.workers.recordedRuns, [])
  })
})
