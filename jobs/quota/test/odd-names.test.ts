import assert from 'node:assert/strict'
import { test } from 'node:test'
import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { TrackedStep } from '@wisteriaslip/jobs.scheduler'
import { QuotaHolder } from '../src/holder.ts'
import { QuotaStore } from './quota-store.ts'

/** As `JSON.parse('"\\ud800"')` gives it: half of a character. */
const ODD = '\ud800'

test('an account whose name is no well-formed text does not end the term of the leader', async () => {
  const store = new QuotaStore()
  const quota = { cpu: 1_000, memMb: 0, accelerators: 0 }
  const holder = new QuotaHolder({ service: 's', token: 1, guard: { key: 'leader', createRevision: store.put('leader', {}) }, store: store.asStore(), prefix: 'quotas/', account: name => ({ name, keyDigests: [], weight: 1, quota }), hasQuotas: () => true, clock: { now: () => 0 }, logger: silentLogger, metrics: new Metrics(), onChange () {} })
  const step = { job: { job: { account: ODD } }, tasks: [], waiting: 1, spec: { demand: quota, gang: false, backfill: false } } as unknown as TrackedStep
  assert.equal(holder.limiter.mayAdd(step, 1), false)
  const scheduler = { table: { ready: new Set([step]) }, workers: new Map() } as unknown as Parameters<QuotaHolder['step']>[0]
  await holder.step(scheduler)
  assert.equal(holder.limiter.mayAdd(step, 1), false)
})
