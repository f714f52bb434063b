import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Site } from './quotas-model.ts'

test('a large task without room claims nothing while small tasks run elsewhere, and gets its turn when it has room', async () => {
  const site = new Site(undefined, { lasting: false })
  site.accept('s0', { cpu: 3_500, account: '', tasks: 2 })
  await site.work(3)
  site.accept('s0', { cpu: 6_000 })
  // More than run in all rounds: 6 fit into the quota at a time.
  site.accept('s1', { cpu: 1_000, tasks: 4_000 })
  assert.ok(await longestIdle(site, 200) < 1_000)
  assert.equal(site.usedBy('s0'), 7_000)
  for (const worker of site.workersOf('s0')) for (const task of [...worker.running.keys()]) worker.end(task, 'done')
  const before = site.now
  const isLargeRunning = (): boolean => site.workersOf('s0').some(worker => worker.used() === 6_000)
  while (!isLargeRunning() && site.now - before < 2_000) await longestIdle(site, 1)
  assert.ok(isLargeRunning(), 'the large task does not run 2 s after it has room')
  assert.equal(site.usedBy('s1'), 0)
})

/** Ends the tasks of the other service in each round. */
async function longestIdle (site: Site, rounds: number): Promise<number> {
  let longest = 0
  let idleSince = site.now
  for (let round = 0; round < rounds; round++) {
    await site.work()
    if (site.usedBy('s1') > 0) idleSince = site.now
    longest = Math.max(longest, site.now - idleSince)
    for (const worker of site.workersOf('s1')) for (const task of [...worker.running.keys()]) worker.end(task, 'done')
  }
  return longest
}
