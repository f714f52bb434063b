/**
 * How an entry's cost grows with entries and with the fleet, how fast configuration is in force, and what the worst
 * hours ask of the store. The built binary as processes on loopback, with stand-ins; no requests from callers.
 * @module
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { Site } from '@wisteriaslip/testing.site'
import { controlBytesAt } from './allotments.ts'
import { designSize, makeDocuments, scaledSize, type FleetSize } from './planning.ts'
import { counterIn, usageOf } from './process-usage.ts'
import { quantile, round } from './statistics.ts'
import { checkBound, print } from './bounds.ts'

const BINARY = 'dist/wisteriaslip'
const ENTRY_COUNTS = [3, 14, 28]
const { pools, workers, tenants } = designSize
/** The size to design for, and the same with one number smaller each. */
const NO_FLEET: FleetSize = { pools: 0, workers: 0, tenants: 0 }
const FLEETS: FleetSize[] = [
  NO_FLEET,
  scaledSize(0.5),
  { pools: Math.round(pools / 4), workers, tenants },
  { pools, workers, tenants }
]
const CYCLES_MS = [40_000, 20_000, 10_000, 5_000]
const WARM_UP_MS = 25_000
const MEASURE_MS = 12_000
const CHANGES = 20
const CHANGE_GAP_MS = 300
const POLL_MS = 20
const OUTAGE_MS = 20_000
const MIB = 1_048_576

/** Control cost of one entry: mean over all, and the most of any. */
interface ControlCost {
  readonly entries: number
  readonly fleet: FleetSize
  readonly coreShare: { readonly mean: number, readonly most: number }
  readonly residentMiB: { readonly mean: number, readonly most: number }
  readonly peerBytesPerSecond: number
  readonly storeCallsPerSecond: Readonly<Record<string, number>>
}

const KINDS = ['read', 'write', 'lease', 'watch'] as const

async function startSite (entries: number, fleet: FleetSize): Promise<Site> {
  const moreDocuments = makeDocuments(fleet)
  return await Site.start({ entries, pools: ['quoting'], executorsPerPool: 8, binary: BINARY, logLevel: 'warn', leaseTtlMs: 5_000, vmListPeriodMs: 1_000, moreDocuments })
}

async function controlCost (entries: number, fleet: FleetSize): Promise<ControlCost> {
  const site = await startSite(entries, fleet)
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
      fleet,
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

/** Time from the acceptance of a change until every entry has it in force, and what a change costs an entry. */
async function configurationInForce (): Promise<{ p50Ms: number, mostMs: number, cpuMsPerChange: number }> {
  const site = await startSite(7, scaledSize(1))
  try {
    await sleep(WARM_UP_MS)
    const times: number[] = []
    const before = await snapshot(site)
    await sleep(CHANGES * CHANGE_GAP_MS)
    const idle = await snapshot(site)
    for (let change = 0; change < CHANGES; change++) {
      const revision = await site.apply([{ kind: 'tenant', name: 'tenant-1', keySha256: '1'.padStart(64, '0'), quota: change + 1 }])
      const at = performance.now()
      while (!await inForce(site, revision)) await sleep(POLL_MS)
      times.push(performance.now() - at)
      await sleep(CHANGE_GAP_MS)
    }
    const after = await snapshot(site)
    const extra = mean(after.map((each, index) => each.cpuSeconds - 2 * (idle[index]?.cpuSeconds ?? 0) + (before[index]?.cpuSeconds ?? 0)))
    return { p50Ms: round(quantile(times, 0.5), 0), mostMs: round(Math.max(...times), 0), cpuMsPerChange: round(extra * 1_000 / CHANGES, 1) }
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
  const site = await startSite(7, scaledSize(0.5))
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

/** Holds the figures at the size to design for against the limits for control. */
function checkLimits (cost: ControlCost): number {
  return checkBound('capacity.coreShare', cost.coreShare.most) +
    checkBound('capacity.residentMiB', cost.residentMiB.most) +
    checkBound('capacity.peerBytesPerSecond', cost.peerBytesPerSecond)
}

const only = process.argv[2]
const wants = (part: string): boolean => only === undefined || only === part
let broken = 0

if (wants('entries')) {
  for (const entries of ENTRY_COUNTS) print('byEntries', await controlCost(entries, NO_FLEET))
}
if (wants('fleet') || only === 'size') {
  for (const fleet of only === 'size' ? FLEETS.slice(-1) : FLEETS) {
    const cost = await controlCost(7, fleet)
    print('byFleet', cost)
    if (fleet.pools === pools && fleet.workers === workers) broken += checkLimits(cost)
  }
}
if (wants('demand')) {
  for (const cycleMs of CYCLES_MS) print('byDemand', { cycleMs, bytesPerEntryAndPool: await controlBytesAt(cycleMs, 1) })
}
if (wants('configuration')) {
  const inForce = await configurationInForce()
  print('configurationInForce', inForce)
  broken += checkBound('capacity.inForceMs', inForce.mostMs)
}
if (wants('worst')) {
  const worst = await worstHours()
  print('worstHours', worst)
  broken += checkBound('capacity.storeCallsPerSecond', Math.max(worst.afterOutage, worst.afterReplacement))
}
process.stdout.write(`${broken} bounds broken\n`)
process.exitCode = broken === 0 ? 0 : 1
