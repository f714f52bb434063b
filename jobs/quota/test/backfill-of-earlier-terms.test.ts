import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { QuotaLimiter } from '../src/limiter.ts'
import { Site } from './quotas-model.ts'

test('a new leader counts backfill of earlier jobs on a silent worker, whose processor time no capacity bounds', async () => {
  const site = new Site(undefined, { lasting: false })
  site.accept('s0', { cpu: 1_000, backfill: true })
  await site.work(2)
  const worker = site.workersOf('s0').find(each => each.used() > 0)
  assert.ok(worker)
  worker.silent = true
  await site.perform(6, 0, 0)
  site.accept('s0', { cpu: 1_000 })
  await site.work(2)
  const leader = site.leader('s0')
  assert.equal(leader.scheduler.mayHaveUnknownRuns(), true)
  assert.equal((leader.holder.limiter as QuotaLimiter).use('team').most.cpu, Infinity)
})
