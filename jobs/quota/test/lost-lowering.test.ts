import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err } from '@wisteriaslip/core.result'
import { faults } from './quota-store.ts'
import { Site } from './quotas-model.ts'

/** Writes fail before they are sent; reads succeed. */
async function withoutWrites (site: Site, act: () => Promise<void>): Promise<void> {
  const { update } = site.store
  site.store.update = async () => err({ kind: 'unavailable', code: 'STORE_UNAVAILABLE', maybeApplied: false, message: 'not sent' })
  await act()
  site.store.update = update
}

test('a write that was certainly not made does not end the wait for an earlier one that may be', async () => {
  const site = new Site(undefined, { lasting: false })
  site.accept('s0', { cpu: 1_000, tasks: 6 })
  await site.work(2)
  assert.equal(site.usedBy('s0'), 6_000)
  site.endAll()
  site.accept('s1', { cpu: 1_000, tasks: 6 })
  for (const action of [2, 12]) await site.perform(action, 0, 0)
  const [s0, s1] = [site.leader('s0'), site.leader('s1')]
  await s1.changeParts()
  s0.observe({ records: true })
  site.store.nextFault = faults.late
  await s0.changeParts()
  await withoutWrites(site, async () => await s0.changeParts())
  site.store.applyLate()
  s1.observe({ records: true })
  await s1.changeParts()
  s1.pass(0)
  assert.equal(site.usedBy('s1'), 6_000)
  site.accept('s0', { cpu: 1_000, tasks: 6 })
  s0.observe({ records: false })
  await withoutWrites(site, async () => await s0.changeParts())
  s0.pass(0)
  assert.deepEqual(site.violations, [])
})
