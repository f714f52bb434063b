import assert from 'node:assert/strict'
import { test } from 'node:test'
import { plainStep, untilState, waitUntil, withSite, type JobSite } from '@wisteriaslip/testing.jobs'

const ID = '00000000000000aa'
const DEADLY_ID = 'dddddddddddddddd'
const DEADLY = `${DEADLY_ID}.0.0.1`
/** How long a poll of a worker without runs waits. */
const IDLE_POLL_MS = 2_000

function crashUnder (site: JobSite, task: string): void {
  site.plan = started => started === task ? { crashAfterMs: 5 } : { runMs: 200 }
}

function startsOf (site: JobSite, task: string): number {
  return site.workers.recordedRuns.filter(run => run.task === task).length
}

// A task that crashed each worker on which it was started was started again without end.
test('a leader gives up a job whose task has crashed two workers, and completes what ran beside it', async () => {
  await withSite(async site => {
    crashUnder(site, DEADLY)
    await site.elect()
    await site.intake.submit(site.request(ID, [plainStep({ tasks: 6, estimateMs: 200 })]))
    await site.intake.submit(site.request(DEADLY_ID, [plainStep({ tasks: 3, estimateMs: 200 })]))
    await untilState(site, DEADLY_ID, 'failed')
    await untilState(site, ID, 'completed')
    assert.equal(site.crashed.length, 2)
    assert.equal(startsOf(site, DEADLY), 2)
    for (const message of ['runs lost with their worker', 'task isolated: workers have crashed under it']) assert.ok(site.logged.includes(message), message)
  })
})

test('what a leader knows of a crash outlives the loss of its power', async () => {
  await withSite(async site => {
    crashUnder(site, DEADLY)
    const first = await site.elect()
    await site.intake.submit(site.request(DEADLY_ID, [plainStep({ tasks: 3, estimateMs: 200 })]))
    await waitUntil('a second worker has crashed', () => site.crashed.length === 2)
    first.disconnect()
    await site.elect()
    await untilState(site, DEADLY_ID, 'failed')
    assert.ok(site.crashed.length <= 3, `${site.crashed.length} crashes`)
  })
})

// Suspected tasks of a job are started one after the other: each would wait for the end of a poll.
test('a leader asks at once whether a worker has survived the start of an isolated task', async () => {
  await withSite(async site => {
    const crashOnce = new Set([`${ID}.0.0.0`])
    site.plan = task => crashOnce.delete(task) ? { crashAfterMs: 5 } : { runMs: 600_000 }
    await site.elect()
    await site.intake.submit(site.request(ID, [plainStep({ tasks: 3, estimateMs: 0 })]))
    await waitUntil('all tasks run again', () => site.workers.recordedRuns.length === 6)
    assert.equal(site.crashed.length, 1)
    assert.ok(site.workers.endedPolls > 0)
  })
})

// Nothing was asked after such a start: whenever the worker crashed later, that counted as a crash by the start.
test('a leader asks at once whether a worker has survived the start of an isolated task that gets no response', async () => {
  await withSite(async site => {
    const crashOnce = new Set([`${ID}.0.0.0`])
    site.plan = task => crashOnce.delete(task) ? { crashAfterMs: 5 } : { runMs: 600_000 }
    site.workers.startFaults.push('fine', 'lose-command')
    await site.elect()
    await site.intake.submit(site.request(ID, [plainStep({ estimateMs: 0 })]))
    await waitUntil('the second start has got no response', () => site.workers.startFaults.length === 0)
    const startedAt = performance.now()
    await waitUntil('a poll was ended for another one', () => site.workers.endedPolls > 0)
    assert.ok(performance.now() - startedAt < IDLE_POLL_MS, 'not only by its timeout')
  })
})
