/**
 * Measures the time of one planning pass over the whole fleet (waves, moves, slots), the time to build the configuration
 * and the size of the documents, at fractions and multiples of the design size.
 * @module
 */
import { FleetConfig, parseDocument, type Document } from '@wisteriaslip/config.documents'
import { MovePlanner } from '@wisteriaslip/fleet.pools'
import { planWave } from '@wisteriaslip/fleet.waves'
import { planSlots } from '@wisteriaslip/routing.slots'
import { round } from './statistics.ts'

/** Fleet size that the product is designed for. */
export const designSize = { workers: 650, pools: 213, tenants: 230, entries: 7 } as const
const SCALES = [0.25, 0.5, 1, 2]
const REPETITIONS = 5

/** Figures at one scale: time to build the configuration, time of one planning pass, size of the documents as JSON. */
export interface PlanningResult {
  readonly scale: number
  readonly configMs: number
  readonly passMs: number
  readonly documentsKiB: number
}

/**
 * Measures planning at each scale.
 * @returns a result for each scale, and the growth of the pass time from the design size to twice that (2 is linear)
 */
export function benchPlanning (): { results: PlanningResult[], growth: number } {
  const results = SCALES.map(measureScale)
  const [atDesignSize, atTwiceDesignSize] = results.slice(-2)
  return { results, growth: round((atTwiceDesignSize?.passMs ?? 0) / (atDesignSize?.passMs ?? 1), 2) }
}

function measureScale (scale: number): PlanningResult {
  const documents = makeDocuments(scaledSize(scale))
  const configMs = measureFastestMs(() => new FleetConfig(documents))
  const config = new FleetConfig(documents)
  const passMs = measureFastestMs(() => planFleet(config, scale))
  return { scale, configMs: round(configMs), passMs: round(passMs), documentsKiB: round(JSON.stringify(documents).length / 1_024, 0) }
}

function measureFastestMs (run: () => unknown): number {
  const times = Array.from({ length: REPETITIONS }, () => {
    const at = performance.now()
    run()
    return performance.now() - at
  })
  return Math.min(...times)
}

function planFleet (config: FleetConfig, scale: number): void {
  const vmsByPool = new Map<string, string[]>()
  for (const vm of config.vms.values()) {
    const pool = `pool-${vm.labels.pool}`
    vmsByPool.set(pool, [...vmsByPool.get(pool) ?? [], vm.name])
  }
  const planner = new MovePlanner({ requiredBuffer: () => 4, isEligible: () => true })
  const movable = config.pools.map(pool => ({ name: pool.name, spare: pool.spare, vms: vmsByPool.get(pool.name) ?? [], capacity: 24, demand: 20, canReleaseVm: true }))
  planner.plan(movable, 0)
  const tenantCount = Math.round(designSize.tenants * scale)
  for (const pool of config.pools) {
    const members = vmsByPool.get(pool.name) ?? []
    const candidates = members.map(vm => ({ vm, zone: config.vms.get(vm)?.zone ?? '', rack: config.vms.get(vm)?.rack ?? '', drainMs: 0 }))
    planWave({ pool, ledger: { members, places: {}, waves: {} }, candidates, failed: new Set(), rackOf: vm => config.vms.get(vm)?.rack ?? '' })
    planSlots(24, makeEntryDemands(tenantCount, config.pools.length), { classes: [{ name: 'normal', rank: 0, floor: 0.3 }], quota: () => 1 })
  }
}

/** Each client account has requests in four pools on average. */
function makeEntryDemands (tenants: number, pools: number) {
  const activePerPool = Math.max(1, Math.round(tenants * 4 / pools))
  return Array.from({ length: designSize.entries }, (_, entry) => ({
    entry: `entry-${entry}`,
    demand: Array.from({ length: activePerPool }, (_, tenant) => ({ class: 'normal', tenant: `tenant-${tenant}`, count: 2 }))
  }))
}

/** Numbers of pools, workers and client accounts in a fleet. */
export interface FleetSize {
  readonly pools: number
  readonly workers: number
  readonly tenants: number
}

/**
 * Scales the design size.
 * @param scale - factor applied to each number
 * @returns numbers rounded to integers, with at least one pool
 */
export function scaledSize (scale: number): FleetSize {
  return {
    pools: Math.max(1, Math.round(designSize.pools * scale)),
    workers: Math.round(designSize.workers * scale),
    tenants: Math.round(designSize.tenants * scale)
  }
}

/**
 * Makes the configuration documents of a fleet.
 * @param size - numbers of pools, workers and client accounts
 * @returns documents, with defaults filled in
 * @throws Error if a document is invalid
 */
export function makeDocuments ({ pools, workers, tenants }: FleetSize): Document[] {
  const inputs = [
    { kind: 'class', name: 'normal', rank: 0, floor: 0.3 },
    ...Array.from({ length: tenants }, (_, index) => ({ kind: 'tenant', name: `tenant-${index}`, keySha256: index.toString(16).padStart(64, '0') })),
    ...Array.from({ length: workers }, (_, index) => ({
      kind: 'vm',
      name: `vm-${index}`,
      role: 'executor',
      address: { host: `10.${index >> 16 & 255}.${index >> 8 & 255}.${index & 255}`, port: 8_080 },
      region: `region-${index % 3}`,
      zone: `zone-${index % 9}`,
      rack: `rack-${index >> 2}`,
      labels: { pool: String(index % pools) }
    })),
    ...Array.from({ length: pools }, (_, index) => ({ kind: 'pool', name: `pool-${index}`, labels: { pool: String(index) }, selector: { pool: String(index) }, budget: { maxUnavailable: 1 } })),
    ...Array.from({ length: pools }, (_, index) => ({ kind: 'workload', name: `work-${index}`, match: { pathPrefix: `/work-${index}` }, poolSelector: { pool: String(index) }, class: 'normal', idempotent: true, deadlineMs: 2_000, maxRunMs: 1_000 }))
  ]
  return inputs.map(input => {
    const parsed = parseDocument(input)
    if (!parsed.ok) throw new Error(parsed.error.message)
    return parsed.value
  })
}
