/**
 * Measures how the cost of an entry grows with the number of entries and the size of the fleet, how fast a configuration
 * change takes effect, and the peak load on the store. Runs the built binary as processes on the loopback interface,
 * against test doubles and without requests from callers.
 * @module
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { Site } from '@wisteriaslip/testing.site'
import { measureControlBytes } from './allotments.ts'
import { designSize, makeDocuments, scaledSize, type FleetSize } from './planning.ts'
import { sumCounter, readProcessUsage } from './process-usage.ts'
import { quantile, round } from './statistics.ts'
import { checkBound, printFigure } from './bounds.ts'

const BINARY = 'dist/wisteriaslip'
const ENTRY_COUNTS = [3, 14, 28]
const { pools, workers, tenants } = designSize
const NO_FLEET: FleetSize = { pools: 0, workers: 0, tenants: 0 }
/** The design size, and smaller fleets that show which numbers the cost depends on. */
const FLEETS: FleetSize[] = [
  NO_FLEET,
  scaledSize(0.5),
  { pools: Math.round(pools / 4), workers, tenants },
  { pools, workers, tenants }
]
const PEAK_CYCLES_MS = [40_000, 20_000, 10_000, 5_000]
const WARM_UP_MS = 25_000
const MEASURE_DURATION_MS = 12_000
const CONFIG_CHANGES = 20
const CHANGE_INTERVAL_MS = 300
const POLL_INTERVAL_MS = 20
const STORE_OUTAGE_MS = 20_000
const MIB = 1_048_576

/** Control cost of an entry: mean and maximum over all entries, or the mean alone. */
interface ControlCost {
  readonly entries: number
  readonly fleet: FleetSize
  readonly coreShare: { readonly mean: number, readonly most: number }
  readonly residentMiB: { readonly mean: number, readonly most: number }
  readonly peerBytesPerSecond: number
  readonly storeCallsPerSecond: Readonly<Record<string, number>>
}

const STORE_CALL_KINDS = ['read', 'write', 'lease', 'watch'] as const

async function startSite (entries: number, fleet: FleetSize): Promise<Site> {
  const extraDocuments = makeDocuments(fleet)
  return await Site.start({ entries, pools: ['quoting'], executorsPerPool: 8, binary: BINARY, logLevel: 'warn', leaseTtlMs: 5_000, vmListPeriodMs: 1_000, extraDocuments })
}

async function measureControlCost (entries: number, fleet: FleetSize): Promise<ControlCost> {
  const site = await startSite(entries, fleet)
  try {
    await sleep(WARM_UP_MS)
    const before = await takeSnapshot(site)
    await sleep(MEASURE_DURATION_MS)
    const after = await takeSnapshot(site)
    const cores = after.map((each, index) => (each.cpuSeconds - (before[index]?.cpuSeconds ?? 0)) / (MEASURE_DURATION_MS / 1_000))
    const memory = after.map(each => each.residentBytes / MIB)
    const perSecond = (select: (each: (typeof after)[number]) => number): number => {
      const total = after.reduce((sum, each, index) => sum + select(each) - select(before[index] ?? each), 0)
      return total / entries / (MEASURE_DURATION_MS / 1_000)
    }
    return {
      entries,
      fleet,
      coreShare: { mean: round(mean(cores), 4), most: round(Math.max(...cores), 4) },
      residentMiB: { mean: round(mean(memory), 1), most: round(Math.max(...memory), 1) },
      peerBytesPerSecond: Math.round(2 * perSecond(each => sumCounter(each.metricsText, 'peer_server_bytes_total'))),
      storeCallsPerSecond: Object.fromEntries(STORE_CALL_KINDS.map(kind => [kind, round(perSecond(each => sumCounter(each.metricsText, 'store_calls_total', `kind="${kind}"`)))]))
    }
  } finally {
    await site.stop()
  }
}

async function takeSnapshot (site: Site) {
  return await Promise.all(site.entries.map(async (entry, index) => ({
    ...readProcessUsage(entry.process.child.pid ?? 0),
    metricsText: String((await site.callOperatorApi(index, 'GET', '/metrics', undefined))?.body ?? '')
  })))
}

/**
 * Measures the time from the acceptance of a change until it is in effect at every entry, and the CPU time that a change
 * costs an entry. The CPU time of an idle period, of one change interval for each change, is subtracted; that of polling the
 * status is included.
 */
async function measureConfigurationChange (): Promise<{ p50Ms: number, mostMs: number, cpuMsPerChange: number }> {
  const site = await startSite(7, scaledSize(1))
  try {
    await sleep(WARM_UP_MS)
    const times: number[] = []
    const before = await takeSnapshot(site)
    await sleep(CONFIG_CHANGES * CHANGE_INTERVAL_MS)
    const idle = await takeSnapshot(site)
    for (let change = 0; change < CONFIG_CHANGES; change++) {
      const revision = await site.apply([{ kind: 'tenant', name: 'tenant-1', keySha256: '1'.padStart(64, '0'), quota: change + 1 }])
      const at = performance.now()
      while (!await isInEffectEverywhere(site, revision)) await sleep(POLL_INTERVAL_MS)
      times.push(performance.now() - at)
      await sleep(CHANGE_INTERVAL_MS)
    }
    const after = await takeSnapshot(site)
    const extraCpuSeconds = mean(after.map((each, index) => each.cpuSeconds - 2 * (idle[index]?.cpuSeconds ?? 0) + (before[index]?.cpuSeconds ?? 0)))
    return { p50Ms: round(quantile(times, 0.5), 0), mostMs: round(Math.max(...times), 0), cpuMsPerChange: round(extraCpuSeconds * 1_000 / CONFIG_CHANGES, 1) }
  } finally {
    await site.stop()
  }
}

async function isInEffectEverywhere (site: Site, revision: number): Promise<boolean> {
  const statuses = await Promise.all(site.entries.map(async (_, index) => await site.status(index)))
  return statuses.every(status => (status?.revision ?? 0) >= revision)
}

/**
 * Measures the peak of store calls per second, summed over all entries, in the ten seconds after a long store outage and
 * after all entries were restarted at once.
 */
async function measureStoreLoadPeaks (): Promise<{ afterOutage: number, afterReplacement: number, readyAfterReplacementMs: number }> {
  const site = await startSite(7, scaledSize(0.5))
  try {
    await sleep(WARM_UP_MS)
    site.store.setFaults({ down: true })
    await sleep(STORE_OUTAGE_MS)
    site.store.setFaults({ down: false })
    const afterOutage = await peakStoreCallsPerSecond(site)
    for (const entry of site.entries) await entry.process.kill()
    const at = performance.now()
    for (const entry of site.entries) site.restart(entry)
    const counting = peakStoreCallsPerSecond(site)
    await site.waitUntilReady()
    const readyAfterReplacementMs = Math.round(performance.now() - at)
    return { afterOutage, afterReplacement: await counting, readyAfterReplacementMs }
  } finally {
    await site.stop()
  }
}

async function peakStoreCallsPerSecond (site: Site): Promise<number> {
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

/** Checks the figures at the design size against the bounds for control. */
function checkControlBounds (cost: ControlCost): number {
  return checkBound('capacity.coreShare', cost.coreShare.most) +
    checkBound('capacity.residentMiB', cost.residentMiB.most) +
    checkBound('capacity.peerBytesPerSecond', cost.peerBytesPerSecond)
}

const selectedPart = process.argv[2]
const isSelected = (part: string): boolean => selectedPart === undefined || selectedPart === part
let brokenBounds = 0

if (isSelected('entries')) {
  for (const entries of ENTRY_COUNTS) printFigure('byEntries', await measureControlCost(entries, NO_FLEET))
}
if (isSelected('fleet') || selectedPart === 'size') {
  for (const fleet of selectedPart === 'size' ? FLEETS.slice(-1) : FLEETS) {
    const cost = await measureControlCost(7, fleet)
    printFigure('byFleet', cost)
    if (fleet.pools === pools && fleet.workers === workers) brokenBounds += checkControlBounds(cost)
  }
}
if (isSelected('demand')) {
  for (const cycleMs of PEAK_CYCLES_MS) printFigure('byDemand', { cycleMs, bytesPerEntryAndPool: await measureControlBytes(cycleMs, 1) })
}
if (isSelected('configuration')) {
  const configurationChange = await measureConfigurationChange()
  printFigure('configurationInForce', configurationChange)
  brokenBounds += checkBound('capacity.inForceMs', configurationChange.mostMs)
}
if (isSelected('worst')) {
  const peakCalls = await measureStoreLoadPeaks()
  printFigure('worstHours', peakCalls)
  brokenBounds += checkBound('capacity.storeCallsPerSecond', Math.max(peakCalls.afterOutage, peakCalls.afterReplacement))
}
process.stdout.write(`${brokenBounds} bounds broken\n`)
process.exitCode = brokenBounds === 0 ? 0 : 1
