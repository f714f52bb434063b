import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay } from '@wisteriaslip/core.result'
import { plainStep, untilState, waitUntil, withSite, type RecordedRun } from '@wisteriaslip/testing.jobs'

const REGISTERS_AFTER_MS = 300
const LONG_RUN_MS = 1_500
/** The next incarnation has settled the first starts when it registers, so that no crash is suspected of them. */
const SUBMIT_INTERVAL_MS = 90
const JOBS = 3
const NEVER_ABORTED = new AbortController().signal

function jobId (number: number): string {
  return number.toString(16).padStart(16, '0')
}

/** Pairs of runs of one task that were in progress at the same time, or of which one began after the other was done. */
function duplicates (runs: readonly RecordedRun[]): string[] {
  return runs.flatMap(run => runs.filter(other => other !== run && other.task === run.task && other.startedAt >= run.startedAt && (other.startedAt < (run.endedAt ?? Infinity) || run.how === 'done')).map(other => `${run.task}: ${run.worker} ${run.attempt}, ${other.worker} ${other.attempt}`))
}

// Starts that were meant for the incarnation before began on the next one, and were repeated elsewhere, while they ran or after they were done.
for (const runMs of [30, 700]) {
  test(`tasks started at a worker that has restarted unnoticed run once (${runMs} ms)`, async () => {
    await withSite(async site => {
      site.plan = task => ({ runMs: task.startsWith(jobId(0)) ? LONG_RUN_MS : runMs })
      await site.elect()
      await site.intake.submit(site.request(jobId(0), [plainStep({ estimateMs: 0 })]))
      await waitUntil('the task runs', () => site.workers.recordedRuns.length === 1)
      const busy = site.workers.recordedRuns[0]?.worker ?? ''
      site.workers.restart(busy, REGISTERS_AFTER_MS)
      for (let number = 1; number <= JOBS; number++) {
        await site.intake.submit(site.request(jobId(number), [plainStep({ estimateMs: 0 })]))
        await delay(SUBMIT_INTERVAL_MS, NEVER_ABORTED)
      }
      assert.equal(site.workers.recordedRuns.filter(run => run.worker === busy).length, 1, 'the next incarnation gets no start before it is known')
      for (let number = 0; number <= JOBS; number++) await untilState(site, jobId(number), 'completed')
      assert.deepEqual(duplicates(site.workers.recordedRuns), [])
    })
  })
}
