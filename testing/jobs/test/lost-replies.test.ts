import { test } from 'node:test'
import { plainStep, waitUntil, withSite, type JobSite } from '@wisteriaslip/testing.jobs'

const ID = '00000000000000aa'
/** One write takes effect without a reply, and its repetitions are lost, so that its outcome stays unknown. */
const UNKNOWN_OUTCOME = ['lose-reply', 'lose-call', 'lose-call', 'lose-call'] as const

/** Starts a leader whose workers are all in use, and then lets the outcome of its next write of the term record be unknown. */
async function addWorkerWithUnknownOutcome (site: JobSite): Promise<void> {
  await site.elect()
  site.plan = () => ({ runMs: 600_000 })
  await site.intake.submit(site.request(ID, [plainStep({ estimateMs: 30, tasks: 13 })]))
  await waitUntil('all workers are in use', () => site.workers.recordedRuns.length === 12)
  site.termRecordFaults.push(...UNKNOWN_OUTCOME)
  site.addWorkers('w4')
  await waitUntil('the outcome of a write is unknown', () => site.termRecordFaults.length <= 1)
}

// A leader whose write of the term record got no reply could not give tasks to any worker that joined afterwards.
test('workers that join a pool get tasks although the reply to a write of the term record was lost', async () => {
  await withSite(async site => {
    await addWorkerWithUnknownOutcome(site)
    await waitUntil('the worker that joined runs a task', () => site.workers.recordedRuns.some(run => run.worker === 'w4'))
  })
})

test('a leader logs that it cannot write its term record', async () => {
  await withSite(async site => {
    await addWorkerWithUnknownOutcome(site)
    await waitUntil('the failure is logged', () => site.logged.some(message => message.startsWith('failed to write term record')))
  })
})
