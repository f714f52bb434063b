import assert from 'node:assert/strict'
import { test } from 'node:test'
import { plainStep, waitUntil, withSite } from '@wisteriaslip/testing.jobs'

const ID = '00000000000000aa'
/** Less than the wait for a silent worker of an earlier leader, which is 5.7 s here. */
const MAX_WAIT_MS = 3_000

// A leader recorded a worker that had joined before it had reached it once, and its successor waited for runs there.
test('tasks of earlier jobs do not wait for a worker that has joined under an earlier leader and never responded to any', async () => {
  await withSite(async site => {
    site.plan = () => ({ runMs: 600_000 })
    const first = await site.elect()
    await waitUntil('the leader has workers', () => (first.term.load()?.workers.length ?? 0) > 0)
    await site.intake.submit(site.request(ID, [plainStep({ tasks: 2, estimateMs: 0 })]))
    await waitUntil('both tasks run', () => site.workers.recordedRuns.length === 2)
    first.disconnectFrom('w9')
    site.addWorkers('w9')
    await waitUntil('the leader knows the new worker', () => first.term.load()?.workers.some(({ worker }) => worker === 'w9') === true)
    await new Promise(resolve => { setTimeout(resolve, 300) })
    first.disconnect()
    const second = await site.elect()
    second.disconnectFrom('w9')
    const lost = site.workers.recordedRuns[0]?.worker ?? ''
    site.powerOff(lost)
    const lostAt = performance.now()
    await waitUntil('the lost tasks run again', () => site.workers.recordedRuns.filter(run => run.endedAt === undefined).length === 2)
    assert.ok(performance.now() - lostAt < MAX_WAIT_MS, `after ${Math.round(performance.now() - lostAt)} ms`)
  })
})
