/**
 * How an entry's cost grows with entries and with the fleet, how fast configuration is in force, and what the worst
 * hours ask of the store. The built binary as processes on loopback, with stand-ins; no requests from callers.
 * @module
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { Site } from '@wisteriaslip/testing.site'
import { makeDocuments } from './planning.ts'
import { counterIn, usageOf } from './process-usage.ts'
import { quantile, round } from './statistics.ts'

const BINARY = 'dist/wisteriaslip'
const ENTRY_COUNTS = [3, 7, 14, 28]
const FLEET_SCALES = [0.25, 0.5, 1]
const WARM_UP_MS = 12_000
const MEASURE_MS = 15_000
const CHANGES = 20
const CHANGE_GAP_MS = 300
const POLL_MS = 20
const OUTAGE_MS = 20_000
const MIB = 1_048_576

/** Control cost of one entry: mean over all, and the most of any. */
interface ControlCost {
  readonly entries: number
  readonly scale: number
  readonly coreShare: { readonly mean: number, readonly most: number }
  readonly residentMiB: { readonly mean: number, readonly most: number }
  readonly peerBytesPerSecond: number
  readonly storeCallsPerSecond: Readonly<Record<string, number>>
}

const KINDS = ['read', 'write', 'lease', 'watch'] as const

async function startSite (entries: number, scale: number): Promise<Site> {
  const moreDocuments = scale === 0 ? [] : makeDocuments(scale)
  return await Site.start({ entries, pools: ['quoting'], executorsPerPool: 8, binary: BINARY, logLevel: 'warn', leaseTtlMs: 5_000, vmListPeriodMs: 1_000, moreDocuments })
}

async function controlCost (entries: number, scale: number): Promise<ControlCost> {
  const site = await startSite(entries, scale)
  try {
    await sleep(WARM_UP_MS)
    const before = await snapshot(site)
    await sleep(MEASURE_MS)
    const after = await snapshot(site)
    const cores = after.map((each, index) => (each.cpuSeconds - (before[index]?.cpuSeconds ?? 0)) / (MEASURE_MS / 1_000))
    const memory = after.map(each => each.residentBytes / MIB)
    const perSecond = (pick: (each: (typeof after)[number]) => number): number => {
      const total = after.reduce((sum, each, index) => sum + pick(each) - pick(before[index] ?? each), 0)
      return total / entries / (MEASURE_MS / 1_000)
    }
    return {
      entries,
      scale,
      coreShare: { mean: round(mean(cores), 4), most: round(Math.max(...cores), 4) },
      residentMiB: { mean: round(mean(memory), 1), most: round(Math.max(...memory), 1) },
      peerBytesPerSecond: Math.round(2 * perSecond(each => counterIn(each.page, 'peer_server_bytes_total'))),
      storeCallsPerSecond: Object.fromEntries(KINDS.map(kind => [kind, round(perSecond(each => counterIn(each.page, 'store_calls_total', `kind="${kind}"`)))]))
    }
  } finally {
    await site.stop()
  }
}

async function snapshot (site: Site) {
  return await Promise.all(site.entries.map(async (entry, index) => ({
    ...usageOf(entry.process.child.pid ?? 0),
    page: String((await site.operator(index, 'GET', '/metrics', undefined))?.body ?? '')
  })))
}

/** Time from the acceptance of a change until every entry has it in force, in milliseconds. */
async function configurationInForce (): Promise<{ p50Ms: number, mostMs: number }> {
  const site = await startSite(7, 1)
  try {
    await sleep(WARM_UP_MS)
    const times: number[] = []
    for (let change = 0; change < CHANGES; change++) {
      const revision = await site.apply([{ kind: 'tenant', name: 'tenant-1', keySha256: '1'.padStart(64, '0'), quota: change + 1 }])
      const at = performance.now()
      while (!await inForce(site, revision)) await sleep(POLL_MS)
      times.push(performance.now() - at)
      await sleep(CHANGE_GAP_MS)
    }
    return { p50Ms: round(quantile(times, 0.5), 0), mostMs: round(Math.max(...times), 0) }
  } finally {
    await site.stop()
  }
}

async function inForce (site: Site, revision: number): Promise<boolean> {
  const statuses = await Promise.all(site.entries.map(async (_, index) => await site.status(index)))
  return statuses.every(status => (status?.revision ?? 0) >= revision)
}

/** Store calls a second, all entries together, in the ten seconds after a long outage, and after all entries were replaced at once. */
async function worstHours (): Promise<{ afterOutage: number, afterReplacement: number, readyAfterReplacementMs: number }> {
  const site = await startSite(7, 0.5)
  try {
    await sleep(WARM_UP_MS)
    site.store.setFaults({ down: true })
    await sleep(OUTAGE_MS)
    site.store.setFaults({ down: false })
    const afterOutage = await callsPerSecond(site)
    for (const entry of site.entries) await entry.process.kill()
    const at = performance.now()
    for (const entry of site.entries) site.restart(entry)
    const counting = callsPerSecond(site)
    await site.untilReady()
    const readyAfterReplacementMs = Math.round(performance.now() - at)
    return { afterOutage, afterReplacement: await counting, readyAfterReplacementMs }
  } finally {
    await site.stop()
  }
}

async function callsPerSecond (site: Site): Promise<number> {
  const count = (): number => [...site.store.calls.values()].reduce((sum, calls) => sum + calls, 0)
  let most = 0
  for (let second = 0; second < 10; second++) {
    const before = count()
    await sleep(1_000)
    most = Math.max(most, count() - before)
  }
  return most
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function print (name: string, value: unknown): void {
  process.stdout.write(`${JSON.stringify({ [name]: value })}\n`)
}

const only = process.argv[2]
const wants = (part: string): boolean => only === undefined || only === part
if (wants('entries')) for (const entries of ENTRY_COUNTS) print('byEntries', await controlCost(entries, 0))
if (wants('fleet')) for (const scale of FLEET_SCALES) print('byFleet', await controlCost(7, scale))
if (wants('configuration')) print('configurationInForce', await configurationInForce())
if (wants('worst')) print('worstHours', await worstHours())
