import assert from 'node:assert/strict'
import { test } from 'node:test'
import { plainStep, waitUntil, withSite, type JobSite } from '@wisteriaslip/testing.jobs'

const JOB = '00000000000000aa'
/** Longer than the longest wait of a poll. */
const OBSERVED_MS = 2_500

/** Counts the calls to workers that have begun, and those in progress. */
function countCalls (site: JobSite): { begun: number, inProgress: number } {
  const calls = { begun: 0, inProgress: 0 }
  for (const method of ['start', 'poll', 'stop'] as const) {
    const original = site.workers[method].bind(site.workers) as (...args: unknown[]) => Promise<never>
    const counted = async (...args: unknown[]): Promise<never> => {
      calls.begun += 1
      calls.inProgress += 1
      return await original(...args).finally(() => { calls.inProgress -= 1 })
    }
    Object.assign(site.workers, { [method]: counted })
  }
  return calls
}

// One loop of a term failed, and the others went on polling and starting tasks beside the next term of the same entry: tasks that
// must run once ran twice.
test('a term in which a loop fails ends whole before its failure is known, and calls no worker afterwards', async () => {
  await withSite(async site => {
    site.plan = () => ({ runMs: 200 })
    const leader = await site.elect()
    await site.intake.submit(site.request(JOB, [plainStep({ tasks: 100, estimateMs: 0 })]))
    await waitUntil('tasks are running', async () => site.workers.recordedRuns.length >= 6)
    const calls = countCalls(site)
    site.beforeVmList = () => { throw new Error('injected') }
    site.workers.crash('w3')
    assert.match(String(await leader.failure()), /injected/)
    const { begun, inProgress } = calls
    assert.equal(inProgress, 0)
    await new Promise(resolve => setTimeout(resolve, OBSERVED_MS))
    assert.equal(calls.begun - begun, 0, 'no call after the term has ended')
  })
})
