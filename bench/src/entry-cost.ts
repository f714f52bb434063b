/**
 * Measures the cost of an entry: latency added to a direct call, requests per core-second, resident memory when idle and
 * under load, and store calls per second by kind. Runs the built binary as processes on the loopback interface.
 * @module
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { Pool } from 'undici'
import { Site } from '@wisteriaslip/testing.site'
import { sumCounter, readProcessUsage } from './process-usage.ts'
import { quantile, round } from './statistics.ts'

const ENTRIES = 3
const WARM_UP_MS = 10_000
const IDLE_MEASURE_MS = 10_000
const LOAD_DURATION_MS = 8_000
const CONCURRENCY = 16
const LATENCY_CALLS = 1_500
const MIB = 1_048_576

/** Cost of an entry; `storeCallsPerSecond` and the figures that begin with `rest` are those of an idle entry. */
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
 * Starts a site and measures its first entry.
 * @param binary - path of the built binary
 * @returns cost of an entry
 * @throws Error if a request fails
 */
export async function benchEntryCost (binary: string): Promise<EntryCost> {
  const site = await Site.start({ entries: ENTRIES, pools: ['quoting'], executorsPerPool: 8, binary, logLevel: 'warn' })
  try {
    const pid = site.entries[0]?.process.child.pid ?? 0
    await sleep(WARM_UP_MS)
    const idleCost = await measureIdle(site, pid)
    const directMs = await measureLatenciesMs(site.executorUrl(0))
    const viaEntryMs = await measureLatenciesMs(site.entries[0]?.callers ?? '')
    const load = await measureUnderLoad(site, pid)
    return {
      addedP50Ms: round(quantile(viaEntryMs, 0.5) - quantile(directMs, 0.5), 3),
      addedP99Ms: round(quantile(viaEntryMs, 0.99) - quantile(directMs, 0.99), 3),
      ...load,
      ...idleCost
    }
  } finally {
    await site.stop()
  }
}

async function measureIdle (site: Site, pid: number) {
  const before = { usage: readProcessUsage(pid), metricsText: await fetchMetrics(site) }
  await sleep(IDLE_MEASURE_MS)
  const after = { usage: readProcessUsage(pid), metricsText: await fetchMetrics(site) }
  const perSecond = (kind: string): number => round((sumCounter(after.metricsText, 'store_calls_total', kind) - sumCounter(before.metricsText, 'store_calls_total', kind)) / (IDLE_MEASURE_MS / 1_000))
  return {
    restMiB: round(after.usage.residentBytes / MIB, 1),
    restCoreShare: round((after.usage.cpuSeconds - before.usage.cpuSeconds) / (IDLE_MEASURE_MS / 1_000), 4),
    storeCallsPerSecond: { read: perSecond('kind="read"'), write: perSecond('kind="write"'), lease: perSecond('kind="lease"'), watch: perSecond('kind="watch"') }
  }
}

async function measureLatenciesMs (origin: string): Promise<number[]> {
  const pool = new Pool(origin, { connections: 1 })
  const latenciesMs: number[] = []
  for (let index = 0; index < LATENCY_CALLS; index++) {
    const at = performance.now()
    await sendRequest(pool, '/quoting/read?ms=0')
    latenciesMs.push(performance.now() - at)
  }
  await pool.close()
  return latenciesMs.slice(LATENCY_CALLS / 5)
}

async function measureUnderLoad (site: Site, pid: number): Promise<{ requestsPerCoreSecond: number, loadMiB: number }> {
  const pool = new Pool(site.entries[0]?.callers ?? '', { connections: CONCURRENCY })
  const before = readProcessUsage(pid)
  const endAt = performance.now() + LOAD_DURATION_MS
  let requests = 0
  await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
    while (performance.now() < endAt) {
      await sendRequest(pool, '/quoting/read?ms=1')
      requests += 1
    }
  }))
  const after = readProcessUsage(pid)
  await pool.close()
  return { requestsPerCoreSecond: Math.round(requests / (after.cpuSeconds - before.cpuSeconds)), loadMiB: round(after.residentBytes / MIB, 1) }
}

async function sendRequest (pool: Pool, path: string): Promise<void> {
  const res = await pool.request({ method: 'POST', path, body: 'x', headers: { 'x-op': 'bench' } })
  await res.body.dump()
  if (res.statusCode !== 200) throw new Error(`unexpected HTTP status ${res.statusCode}`)
}

async function fetchMetrics (site: Site): Promise<string> {
  return String((await site.callOperatorApi(0, 'GET', '/metrics', undefined))?.body ?? '')
}
