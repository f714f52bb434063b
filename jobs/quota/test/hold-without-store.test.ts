import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Site } from './quotas-model.ts'

test('with the store away a leader goes on within its part, also if another service had asked for it before', async () => {
  const site = new Site(undefined, { lasting: false })
  site.accept('s0', { cpu: 1_000, tasks: 200 })
  await site.work(2)
  assert.equal(site.usedBy('s0'), 6_000)
  site.accept('s1', { cpu: 6_000 })
  const [s0, s1] = [site.leader('s0'), site.leader('s1')]
  for (const action of [12, 2, 1]) await site.perform(action, 0, 0)
  await s1.changeParts()
  s0.observe({ records: true })
  for (const leader of site.leaders) leader.cut = true
  const { started } = site
  for (let round = 0; round < 10; round++) {
    site.endAll()
    // Only the store is away: leadership is confirmed otherwise.
    for (const leader of site.leaders) leader.confirmedAt = site.now
    for (const action of [2, 3, 1, 2]) await site.perform(action, 0, 0)
    site.advance(400)
  }
  assert.ok(site.started > started, 'no task was started for 4 s')
  assert.deepEqual(site.violations, [])
})
