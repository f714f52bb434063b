import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay } from '@wisteriaslip/core.result'
import { plainStep, waitUntil, withSite, type RecordedRun } from '@wisteriaslip/testing.jobs'

const TASKS = 6
const RUN_MS = 9_000
/** Outlasts the leases that the replaced leader has granted, and the wait of its successor for those of silent workers. */
const OBSERVED_MS = 7_000
const NEVER_ABORTED = new AbortController().signal

/** Runs of one task that were in progress at the same time. */
function overlaps (runs: readonly RecordedRun[]): string[] {
  return runs.flatMap((run, index) => runs.slice(index + 1)
    .filter(other => other.task === run.task && other.startedAt < (run.endedAt ?? Infinity))
    .map(other => `${run.task}: ${run.worker} ${run.attempt}, ${other.worker} ${other.attempt}`))
}

// Both leaders started tasks again that ran on: the replaced one those of a worker that only its successor reached, as it took
// leases for expired that the successor had extended; the successor those of a worker whose leases the replaced one extended.
test('a leader that is replaced without noticing starts nothing again, and keeps nothing running', { timeout: 30_000 }, async () => {
  await withSite(async site => {
    site.workers.crash('w3')
    site.plan = () => ({ runMs: RUN_MS })
    const replaced = await site.elect()
    await waitUntil('the leader has workers', () => (replaced.term.load()?.workers.length ?? 0) === 2)
    await site.intake.submit(site.request('00000000000000aa', [plainStep({ tasks: TASKS, estimateMs: 0 })]))
    await waitUntil('all tasks run', () => site.workers.recordedRuns.length === TASKS)
    assert.deepEqual(new Set(site.workers.recordedRuns.map(run => run.worker)), new Set(['w1', 'w2']))
    replaced.disconnectFromStore()
    replaced.disconnectFrom('w1')
    const successor = await site.elect()
    successor.disconnectFrom('w2')
    await delay(OBSERVED_MS, NEVER_ABORTED)
    assert.deepEqual(overlaps(site.workers.recordedRuns), [])
  })
})
