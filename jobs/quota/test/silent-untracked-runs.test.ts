import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Site } from './quotas-model.ts'

const QUOTA = 6_000
/** Two leases of a worker. */
const LONG_MS = 8_000

/** A site whose first worker of s0 has shown a run of a job that is not stored, and responds no longer. */
async function siteWithSilentWorker (): Promise<Site> {
  const site = new Site()
  const [worker] = site.workersOf('s0')
  assert.ok(worker !== undefined)
  await site.work()
  worker.running.set('ffffffffffffffff.0.0.0', { attempt: 1, cpu: 1_000 })
  await site.perform(2, 0, 0)
  worker.silent = true
  return site
}

// The account counted as using all room of such a worker until the term ended: its tasks waited although their quota was free.
test('runs of jobs that are not stored on a worker that falls silent count against accounts until its leases have expired', async () => {
  const site = await siteWithSilentWorker()
  site.accept('s0', { cpu: 6_000, lasting: true })
  for (const until = site.now + 3_000; site.now < until;) await site.work()
  assert.equal(site.usedBy('s0'), 1_000, 'they may be in progress')
  for (const until = site.now + LONG_MS; site.now < until;) await site.work()
  assert.equal(site.usedBy('s0'), QUOTA)
  assert.deepEqual(site.violations, [])
})
