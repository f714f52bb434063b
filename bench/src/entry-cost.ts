/**
 * What an entry costs: added latency against a direct call, requests per core-second, resident memory at rest and
 * under load, and store calls a second by kind. The built binary, as processes on loopback.
 * @module
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { Pool } from 'undici'
import { Site } from '@wisteriaslip/testing.site'
import { counterIn, usageOf } from './process-usage.ts'
import { quantile, round } from './statistics.ts'

const ENTRIES = 3
const WARM_UP_MS = 10_000
const REST_MS = 10_000
const LOAD_MS = 8_000
const CONCURRENCY = 16
const LATENCY_CALLS = 1_500
const MIB = 1_048_576

/** What an entry costs. */
export interface EntryCost {
  readonly addedP50Ms: number
  readonly addedP99Ms: number
  readonly requestsPerCoreSecond: number
  readonly restMiB: number
  readonly loadMiB: number
  readonly restCoreShare: number
  readonly storeCallsPerSecond: Readonly<Record<string, number>>
}

/**
 * @param binary - path of the built binary
 * @returns what an entry costs
 */
export async function benchEntryCost (binary: string): Promise<EntryCost> {
  const site = await Site.start({ entries: ENTRIES, pools: ['quoting'], executorsPerPool: 8, binary, logLevel: 'warn' })
  try {
    const pid = site.entries[0]?.process.child.pid ?? 0
    await sleep(WARM_UP_MS)
    const rest = await atRest(site, pid)
    const direct = await latencies(site.executorUrl(0))
    const through = await latencies(site.entries[0]?.callers ?? '')
    const load = await underLoad(site, pid)
    return {
      addedP50Ms: round(quantile(through, 0.5) - quantile(direct, 0.5), 3),
      addedP99Ms: round(quantile(through, 0.99) - quantile(direct, 0.99), 3),
      ...load,
      ...rest
    }
  } finally {
    await site.stop()
  }
}

async function atRest (site: Site, pid: number) {
  const before = { usage: usageOf(pid), page: await metrics(site) }
  await sleep(REST_MS)
  const after = { usage: usageOf(pid), page: await metrics(site) }
  const perSecond = (kind: string): number => round((counterIn(after.page, 'store_calls_total', kind) - counterIn(before.page, 'store_calls_total', kind)) / (REST_MS / 1_000))
  return {
    restMiB: round(after.usage.residentBytes / MIB, 1),
    restCoreShare: round((after.usage.cpuSeconds - before.usage.cpuSeconds) / (REST_MS / 1_000), 4),
    storeCallsPerSecond: { read: perSecond('kind="read"'), write: perSecond('kind="write"'), lease: perSecond('kind="lease"'), watch: perSecond('kind="watch"') }
  }
}

async function latencies (origin: string): Promise<number[]> {
  const pool = new Pool(origin, { connections: 1 })
  const taken: number[] = []
  for (let index = 0; index < LATENCY_CALLS; index++) {
    const at = performance.now()
    await call(pool, '/quoting/read?ms=0')
    taken.push(performance.now() - at)
  }
  await pool.close()
  return taken.slice(LATENCY_CALLS / 5)
}

async function underLoad (site: Site, pid: number): Promise<{ requestsPerCoreSecond: number, loadMiB: number }> {
  const pool = new Pool(site.entries[0]?.callers ?? '', { connections: CONCURRENCY })
  const before = usageOf(pid)
  const until = performance.now() + LOAD_MS
  let requests = 0
  await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
    while (performance.now() < until) {
      await call(pool, '/quoting/read?ms=1')
      requests += 1
    }
  }))
  const after = usageOf(pid)
  await pool.close()
  return { requestsPerCoreSecond: Math.round(requests / (after.cpuSeconds - before.cpuSeconds)), loadMiB: round(after.residentBytes / MIB, 1) }
}

async function call (pool: Pool, path: string): Promise<void> {
  const res = await pool.request({ method: 'POST', path, body: 'x', headers: { 'x-op': 'bench' } })
  await res.body.dump()
  if (res.statusCode !== 200) throw new Error(`status ${res.statusCode}`)
}

async function metrics (site: Site): Promise<string> {
  return String((await site.operator(0, 'GET', '/metrics', undefined))?.body ?? '')
}
