/**
 * Compares the roll-out time of a wave with its lower bound and with one VM at a time, and the size of the shared buffer
 * with that of a spare per pool, at the sizes of two sites. Budgets are checked at every step, also for the loss of any
 * one further rack.
 * @module
 */
import { resolveMaxUnavailable, type PoolDoc } from '@wisteriaslip/config.documents'
import { emptyLedger, addDisruption, type PoolLedger } from '@wisteriaslip/fleet.ledger'
import { requiredBufferSize } from '@wisteriaslip/fleet.pools'
import { planWave } from '@wisteriaslip/fleet.waves'
import { SeededRandom } from './random.ts'
import { round } from './statistics.ts'

const STEP_MS = 500
const REBOOT_MS = 240_000
const MAX_DRAIN_MS = 60_000
const VMS_PER_RACK = 4

interface SiteSize { readonly pools: ReadonlyArray<number>, readonly zones: number }

/** Number of VMs of each pool, executors and workers together. */
const siteSizes: Readonly<Record<string, SiteSize>> = {
  brindleworth: { pools: [16, 16, 16, 16, 16], zones: 4 },
  'pustak-chhaya': { pools: [12, 14, 16, 18, 13], zones: 3 }
}

/**
 * Figures of a wave over one site. `budgetBroken` counts steps, summed over the pools, at which the loss of one further
 * rack would exceed the budget (with at most one disrupted VM: at which the budget is exceeded).
 */
export interface WaveResult {
  readonly rollOutOverBound: number
  readonly naiveOverBound: number
  readonly budgetBroken: number
  readonly bufferVms: number
  readonly fixedSpareVms: number
  readonly largestRackLoss: number
}

/** `disruptionMs` is the time from the start of the drain until the VM is back in service. */
interface BenchVm { readonly name: string, readonly zone: string, readonly rack: string, readonly disruptionMs: number }

/**
 * Simulates a wave over each site.
 * @param seed - seed of the drain times
 * @returns results by site
 */
export function benchWaves (seed: number): Record<string, WaveResult> {
  return Object.fromEntries(Object.entries(siteSizes).map(([site, size]) => [site, benchSite(size, new SeededRandom(seed))]))
}

function benchSite (size: SiteSize, random: SeededRandom): WaveResult {
  const pools = size.pools.map((count, index) => makePool(`pool-${index}`, count, size.zones, random))
  const runs = pools.map(({ pool, vms }) => simulateRollOut(pool, vms))
  const allVms = pools.flatMap(({ vms }) => vms)
  const minSiteRollOutMs = Math.max(...pools.map(({ pool, vms }) => minRollOutMs(pool, vms)))
  const requirements = pools.map(({ pool, vms }) => ({ pool: pool.name, requiredVms: Math.ceil(vms.length / 2), racks: vms.map(vm => vm.rack) }))
  const full = requirements.map(each => ({ ...each, requiredVms: each.racks.length }))
  return {
    rollOutOverBound: round(Math.max(...runs.map(run => run.tookMs)) / minSiteRollOutMs, 3),
    naiveOverBound: round(allVms.reduce((sum, vm) => sum + vm.disruptionMs, 0) / minSiteRollOutMs, 3),
    budgetBroken: runs.reduce((sum, run) => sum + run.stepsOverBudget, 0),
    bufferVms: requiredBufferSize(full),
    fixedSpareVms: full.reduce((sum, each) => sum + requiredBufferSize([each]), 0),
    largestRackLoss: VMS_PER_RACK
  }
}

function makePool (name: string, count: number, zones: number, random: SeededRandom): { pool: PoolDoc, vms: BenchVm[] } {
  const vms = Array.from({ length: count }, (_, index) => {
    const rack = Math.floor(index / VMS_PER_RACK)
    return { name: `${name}-vm-${index}`, zone: `zone-${rack % zones}`, rack: `${name}-rack-${rack}`, disruptionMs: REBOOT_MS + random.uniform() * MAX_DRAIN_MS }
  })
  const pool: PoolDoc = { kind: 'pool', name, labels: {}, selector: {}, order: 0, spare: false, budget: { minAvailable: '50%' } }
  return { pool, vms }
}

/**
 * Lower bound of the roll-out time: at any time, a plan may disrupt only as many VMs as the budget allows beside the loss
 * of a further rack.
 */
function minRollOutMs (pool: PoolDoc, vms: readonly BenchVm[]): number {
  const maxDisruptedVms = Math.max(1, resolveMaxUnavailable(pool, vms.length) - VMS_PER_RACK)
  const total = vms.reduce((sum, vm) => sum + vm.disruptionMs, 0)
  return Math.max(total / maxDisruptedVms, ...vms.map(vm => vm.disruptionMs))
}

function simulateRollOut (pool: PoolDoc, vms: readonly BenchVm[]): { tookMs: number, stepsOverBudget: number } {
  const byName = new Map(vms.map(vm => [vm.name, vm]))
  const rackOf = (vm: string): string => byName.get(vm)?.rack ?? ''
  let ledger: PoolLedger = { ...emptyLedger, members: vms.map(vm => vm.name) }
  const done = new Set<string>()
  let stepsOverBudget = 0
  let now = 0
  for (; done.size < vms.length; now += STEP_MS) {
    for (const [name, disruption] of Object.entries(ledger.places)) {
      if (now - disruption.since < (byName.get(name)?.disruptionMs ?? 0)) continue
      done.add(name)
      ledger = { ...ledger, places: Object.fromEntries(Object.entries(ledger.places).filter(([each]) => each !== name)) }
    }
    const candidates = vms.filter(vm => !done.has(vm.name) && ledger.places[vm.name] === undefined)
      .map(vm => ({ vm: vm.name, zone: vm.zone, rack: vm.rack, drainMs: vm.disruptionMs }))
    for (const name of planWave({ pool, ledger, candidates, failed: new Set(), rackOf })) {
      const updated = addDisruption(pool, ledger, name, { reason: 'maintenance', phase: 'draining', since: now }, { failed: new Set() })
      if (updated.ok) ledger = updated.value
    }
    stepsOverBudget += exceedsBudgetOnRackLoss(pool, ledger, rackOf) ? 1 : 0
  }
  return { tookMs: now, stepsOverBudget }
}

function exceedsBudgetOnRackLoss (pool: PoolDoc, ledger: PoolLedger, rackOf: (vm: string) => string): boolean {
  const disruptedVms = Object.keys(ledger.places)
  if (disruptedVms.length <= 1) return disruptedVms.length > resolveMaxUnavailable(pool, ledger.members.length)
  const racks = new Set(ledger.members.map(rackOf))
  return [...racks].some(rack => {
    const lostVms = ledger.members.filter(vm => rackOf(vm) === rack && ledger.places[vm] === undefined).length
    return disruptedVms.length + lostVms > resolveMaxUnavailable(pool, ledger.members.length)
  })
}
