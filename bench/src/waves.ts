/**
 * Roll-out time of a wave against its lower bound and against one VM at a time, and buffer cost against a fixed spare,
 * at both sites' sizes. Budgets are checked at every step, also against the loss of any one further rack.
 * @module
 */
import { resolveBudget, type PoolDoc } from '@wisteriaslip/config.documents'
import { emptyLedger, addDisruption, type PoolLedger } from '@wisteriaslip/fleet.ledger'
import { requiredBufferSize } from '@wisteriaslip/fleet.pools'
import { planWave } from '@wisteriaslip/fleet.waves'
import { Random } from './random.ts'
import { round } from './statistics.ts'

const STEP_MS = 500
const REBOOT_MS = 240_000
const LONGEST_DRAIN_MS = 60_000
const RACK_SIZE = 4

interface SiteSize { readonly pools: ReadonlyArray<number>, readonly zones: number }

/** VMs of each pool, executors and workers together. */
const siteSizes: Readonly<Record<string, SiteSize>> = {
  brindleworth: { pools: [16, 16, 16, 16, 16], zones: 4 },
  'pustak-chhaya': { pools: [12, 14, 16, 18, 13], zones: 3 }
}

/** What a wave over one site takes. */
export interface WaveResult {
  readonly rollOutOverBound: number
  readonly naiveOverBound: number
  readonly budgetBroken: number
  readonly bufferVms: number
  readonly fixedSpareVms: number
  readonly largestRackLoss: number
}

interface BenchVm { readonly name: string, readonly zone: string, readonly rack: string, readonly takesMs: number }

/**
 * @param seed - of the drain times
 * @returns results by site
 */
export function benchWaves (seed: number): Record<string, WaveResult> {
  return Object.fromEntries(Object.entries(siteSizes).map(([site, size]) => [site, benchSite(size, new Random(seed))]))
}

function benchSite (size: SiteSize, random: Random): WaveResult {
  const pools = size.pools.map((count, index) => makePool(`pool-${index}`, count, size.zones, random))
  const runs = pools.map(({ pool, vms }) => rollOut(pool, vms))
  const all = pools.flatMap(({ vms }) => vms)
  const bound = Math.max(...pools.map(({ pool, vms }) => lowerBound(pool, vms)))
  const needs = pools.map(({ pool, vms }) => ({ pool: pool.name, requiredVms: Math.ceil(vms.length / 2), racks: vms.map(vm => vm.rack) }))
  const full = needs.map(each => ({ ...each, requiredVms: each.racks.length }))
  return {
    rollOutOverBound: round(Math.max(...runs.map(run => run.tookMs)) / bound, 3),
    naiveOverBound: round(all.reduce((sum, vm) => sum + vm.takesMs, 0) / bound, 3),
    budgetBroken: runs.reduce((sum, run) => sum + run.broken, 0),
    bufferVms: requiredBufferSize(full),
    fixedSpareVms: full.reduce((sum, each) => sum + requiredBufferSize([each]), 0),
    largestRackLoss: RACK_SIZE
  }
}

function makePool (name: string, count: number, zones: number, random: Random): { pool: PoolDoc, vms: BenchVm[] } {
  const vms = Array.from({ length: count }, (_, index) => {
    const rack = Math.floor(index / RACK_SIZE)
    return { name: `${name}-vm-${index}`, zone: `zone-${rack % zones}`, rack: `${name}-rack-${rack}`, takesMs: REBOOT_MS + random.uniform() * LONGEST_DRAIN_MS }
  })
  const pool: PoolDoc = { kind: 'pool', name, labels: {}, selector: {}, order: 0, spare: false, budget: { minAvailable: '50%' } }
  return { pool, vms }
}

/** No plan can have more VMs away at once than the budget leaves beside the loss of a further rack. */
function lowerBound (pool: PoolDoc, vms: readonly BenchVm[]): number {
  const room = Math.max(1, resolveBudget(pool, vms.length) - RACK_SIZE)
  const total = vms.reduce((sum, vm) => sum + vm.takesMs, 0)
  return Math.max(total / room, ...vms.map(vm => vm.takesMs))
}

function rollOut (pool: PoolDoc, vms: readonly BenchVm[]): { tookMs: number, broken: number } {
  const byName = new Map(vms.map(vm => [vm.name, vm]))
  const rackOf = (vm: string): string => byName.get(vm)?.rack ?? ''
  let ledger: PoolLedger = { ...emptyLedger, members: vms.map(vm => vm.name) }
  const done = new Set<string>()
  let broken = 0
  let now = 0
  for (; done.size < vms.length; now += STEP_MS) {
    for (const [name, place] of Object.entries(ledger.places)) {
      if (now - place.since < (byName.get(name)?.takesMs ?? 0)) continue
      done.add(name)
      ledger = { ...ledger, places: Object.fromEntries(Object.entries(ledger.places).filter(([each]) => each !== name)) }
    }
    const candidates = vms.filter(vm => !done.has(vm.name) && ledger.places[vm.name] === undefined)
      .map(vm => ({ vm: vm.name, zone: vm.zone, rack: vm.rack, drainMs: vm.takesMs }))
    for (const name of planWave({ pool, ledger, candidates, failed: new Set(), rackOf })) {
      const taken = addDisruption(pool, ledger, name, { reason: 'maintenance', phase: 'draining', since: now }, { failed: new Set() })
      if (taken.ok) ledger = taken.value
    }
    broken += breaksWithRackLoss(pool, ledger, rackOf) ? 1 : 0
  }
  return { tookMs: now, broken }
}

function breaksWithRackLoss (pool: PoolDoc, ledger: PoolLedger, rackOf: (vm: string) => string): boolean {
  const away = Object.keys(ledger.places)
  if (away.length <= 1) return away.length > resolveBudget(pool, ledger.members.length)
  const racks = new Set(ledger.members.map(rackOf))
  return [...racks].some(rack => {
    const lost = ledger.members.filter(vm => rackOf(vm) === rack && ledger.places[vm] === undefined).length
    return away.length + lost > resolveBudget(pool, ledger.members.length)
  })
}
