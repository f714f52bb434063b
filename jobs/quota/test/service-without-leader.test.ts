import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Site } from './quotas-model.ts'

test('the part of a service that no longer has queues, and so no leader, goes back', async () => {
  const site = new Site(undefined, { lasting: false })
  site.accept('s0', { cpu: 1_000, tasks: 6 })
  await site.work(2)
  site.endAll()
  site.leader('s0').ended = true
  site.accept('s1', { cpu: 1_000 })
  for (let second = 0; second < 60; second++) {
    site.advance(1_000)
    await site.work()
  }
  assert.equal(site.started, 7)
})
