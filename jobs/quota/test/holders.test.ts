import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay, systemClock } from '@wisteriaslip/core.result'
import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { Account } from '@wisteriaslip/jobs.model'
import { Scheduler } from '@wisteriaslip/jobs.scheduler'
import { StoreClient } from '@wisteriaslip/store.client'
import { plainStep } from '@wisteriaslip/testing.jobs'
import { MemoryDriver } from '@wisteriaslip/testing.stand-ins'
import { QuotaHolder } from '../src/holder.ts'

const account: Account = { name: 'team', keyDigests: [], weight: 1, quota: { cpu: 8_000, memMb: 0, accelerators: 0 } }
const limits = { longestLeaseMs: 6_000, stopMs: 400, shutdownGraceMs: 6_000, keepMs: 120_000, maintenanceMs: 2_000 }
const queue = { name: 'q', host: 'h', pathPrefix: '/', service: 's', priority: 0, attempts: 2, stretch: 1, objectiveMs: 0, timeoutMs: 0, needsPermit: false }
const IN_TIME_MS = 1_000

interface Led {
  readonly metrics: Metrics
  readonly started: () => number
  submit (tasks: number): void
}

/** Leads a service with one worker, whose starts are all accepted. */
async function lead (driver: MemoryDriver, service: string, signal: AbortSignal): Promise<Led> {
  const metrics = new Metrics()
  const store = new StoreClient(driver, { readsPerSecond: 1_000, writesPerSecond: 1_000, metrics })
  const acquired = await store.update([{ key: `leader/${service}`, prior: undefined, value: {} }])
  assert.ok(acquired.ok)
  let jobs = 0
  const holder: QuotaHolder = new QuotaHolder({ service, token: acquired.value, guard: { key: `leader/${service}`, createRevision: acquired.value }, store, prefix: 'quotas/', account: () => account, hasQuotas: () => true, clock: systemClock, logger: silentLogger, metrics, onChange: () => pass() })
  const scheduler = new Scheduler({ clock: systemClock, wallClock: Date.now, limits, queue: () => queue, term: 0, maxEarlierLeaseMs: 0, leadershipConfirmedAt: () => Infinity, limiter: holder.limiter })
  scheduler.setWorkers([{ id: 'w', born: 1, service, host: '', port: 0, zone: '', vm: '', draining: false, capacity: { cpu: 64_000, memMb: 64_000, accelerators: 0 }, labels: [], rack: '' }], { unknownRunsUntil: 0 })
  const [worker] = scheduler.workers.values()
  assert.ok(worker)
  const now = systemClock.now()
  scheduler.applyReport(worker, { clockMs: 1, born: 1, running: [], ended: [], moreEnded: false }, { sentAt: now, receivedAt: now })
  const pass = (): void => { for (const run of scheduler.placeReadyTasks()) scheduler.handleStartResponse(run, undefined) }
  holder.run(scheduler, signal).catch(assert.fail)
  return {
    metrics,
    started: () => worker.runs.size,
    submit (tasks) {
      jobs += 1
      scheduler.addJob({ id: `${service}${jobs}`, queue: 'q', service, payload: '', steps: [plainStep({ tasks })], acceptedAt: 0, acceptedUnder: 0, account: account.name }, { acceptedThisTerm: true })
      pass()
    }
  }
}

async function waitUntil (condition: () => boolean): Promise<number> {
  const startedAt = systemClock.now()
  while (!condition() && systemClock.now() - startedAt < 5 * IN_TIME_MS) await delay(5, new AbortController().signal)
  return systemClock.now() - startedAt
}

test('with a store in between, an account gets its whole quota in one service within a second, and another service gets none of it', async () => {
  const ended = new AbortController()
  const driver = new MemoryDriver()
  const first = await lead(driver, 's0', ended.signal)
  const second = await lead(driver, 's1', ended.signal)
  first.submit(20)
  const tookMs = await waitUntil(() => first.started() === 8)
  assert.ok(tookMs < IN_TIME_MS, `${tookMs} ms`)
  second.submit(20)
  await delay(500, ended.signal)
  assert.equal(second.started(), 0)
  assert.ok(first.metrics.render().includes('quota_use_cpu{account="team",service="s0"} 8000'))
  ended.abort()
})

test('two services that begin at the same moment use the whole quota together within a second', async () => {
  const ended = new AbortController()
  const driver = new MemoryDriver()
  const services = await Promise.all(['s0', 's1', 's2'].map(async service => await lead(driver, service, ended.signal)))
  for (const each of services) each.submit(20)
  const total = (): number => services.reduce((sum, each) => sum + each.started(), 0)
  const tookMs = await waitUntil(() => total() === 8)
  assert.ok(tookMs < IN_TIME_MS, `${tookMs} ms`)
  await delay(300, ended.signal)
  assert.equal(total(), 8)
  ended.abort()
})
