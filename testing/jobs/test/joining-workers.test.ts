import assert from 'node:assert/strict'
import { test } from 'node:test'
import { plainStep, waitUntil, withSite, type JobSite, type SiteLeader } from '@wisteriaslip/testing.jobs'

const ID = '00000000000000aa'
const JOINED = 'w9'
/** Less than the wait for a silent worker of an earlier leader, which is 5.7 s here. */
const MAX_WAIT_MS = 3_000
/** A new worker is recorded by then. */
const RECORD_MS = 300

/** Elects the first leader of a site, under which both tasks of a job run. */
async function electAndRun (site: JobSite): Promise<SiteLeader> {
  site.plan = () => ({ runMs: 600_000 })
  const first = await site.elect()
  await waitUntil('the leader has workers', () => (first.term.load()?.workers.length ?? 0) > 0)
  await site.intake.submit(site.request(ID, [plainStep({ tasks: 2, estimateMs: 0 })]))
  await waitUntil('both tasks run', () => site.workers.recordedRuns.length === 2)
  return first
}

/** Lets a worker join that does not respond to a leader. */
async function joinSilently (site: JobSite, leader: SiteLeader): Promise<void> {
  leader.disconnectFrom(JOINED)
  site.addWorkers(JOINED)
  await waitUntil('the leader knows the new worker', () => leader.term.load()?.workers.some(({ worker }) => worker === JOINED) === true)
}

/** Powers a VM with a task off, and waits until both tasks run again; fails if that takes too long. */
async function loseTask (site: JobSite): Promise<void> {
  site.powerOff(site.workers.recordedRuns[0]?.worker ?? '')
  const lostAt = performance.now()
  await waitUntil('the lost tasks run again', () => site.workers.recordedRuns.filter(run => run.endedAt === undefined).length === 2)
  assert.ok(performance.now() - lostAt < MAX_WAIT_MS, `after ${Math.round(performance.now() - lostAt)} ms`)
}

// A leader that had taken over waited for the runs of workers that had joined since, on which no earlier leader can have started any.
test('tasks of earlier jobs do not wait for a silent worker that earlier leaders did not have', async () => {
  await withSite(async site => {
    const first = await electAndRun(site)
    first.disconnect()
    await joinSilently(site, await site.elect())
    await loseTask(site)
  })
})

// A leader recorded a worker that had joined before it had reached it once, and its successor waited for runs there.
test('tasks of earlier jobs do not wait for a worker that has joined under an earlier leader and never responded to any', async () => {
  await withSite(async site => {
    const first = await electAndRun(site)
    await joinSilently(site, first)
    await new Promise(resolve => { setTimeout(resolve, RECORD_MS) })
    first.disconnect()
    const second = await site.elect()
    second.disconnectFrom(JOINED)
    await loseTask(site)
  })
})
