import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Site } from './quotas-model.ts'

test('a service without room for its large task does not keep the account from running elsewhere', async () => {
  const site = new Site(undefined, { lasting: false })
  // Work of no account keeps the large task from both workers.
  site.accept('s0', { cpu: 3_500, account: '', tasks: 2, lasting: true })
  await site.work(3)
  assert.equal(site.usedBy('s0'), 7_000)
  site.accept('s0', { cpu: 6_000 })
  site.accept('s1', { cpu: 1_000, tasks: 1_300 })
  const idle: number[] = []
  let idleSince = site.now
  for (let round = 0; round < 200; round++) {
    await site.work()
    if (site.usedBy('s1') > 0) idleSince = site.now
    idle.push(site.now - idleSince)
    for (const worker of site.workersOf('s1')) for (const task of [...worker.running.keys()]) worker.end(task, 'done')
  }
  assert.equal(site.usedBy('s0'), 7_000)
  assert.ok(Math.max(...idle) < 3_000, `no task ran for ${Math.max(...idle)} ms`)
})
