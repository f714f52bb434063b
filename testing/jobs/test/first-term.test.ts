import assert from 'node:assert/strict'
import { test } from 'node:test'
import { plainStep, waitUntil, withSite } from '@wisteriaslip/testing.jobs'

const ID = '00000000000000aa'
/** Workers that respond have done so many times by then; the wait for a silent one is 5.7 s. */
const SOON_MS = 1_000

// Workers that respond first would get all tasks of jobs that were accepted before the service had a leader.
test('the first leader of a service starts tasks of earlier jobs once all workers have responded', async () => {
  await withSite(async site => {
    site.plan = () => ({ runMs: 600_000 })
    await site.intake.submit(site.request(ID, [plainStep({ tasks: 2, estimateMs: 0 })]))
    const first = await site.elect()
    first.disconnectFrom('w3')
    await waitUntil('the leader has workers', () => (first.term.load()?.workers.length ?? 0) > 0)
    await new Promise(resolve => { setTimeout(resolve, SOON_MS) })
    assert.deepEqual(site.workers.recordedRuns, [])
  })
})
