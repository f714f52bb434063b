import { resolveMaxUnavailable, type PoolDoc } from '@wisteriaslip/config.documents'
import type { PoolLedger } from '@wisteriaslip/fleet.ledger'

/** A VM that a wave has not processed yet. */
export interface WaveCandidate {
  readonly vm: string
  readonly zone: string
  readonly rack: string
  /** Expected duration of its drain, in milliseconds. */
  readonly drainMs: number
}

/** Input of {@link planWave}. */
export interface WavePlanOpts {
  readonly pool: PoolDoc
  readonly ledger: PoolLedger
  readonly candidates: readonly WaveCandidate[]
  /** VMs of the pool that are down, regardless of the cause. */
  readonly failed: ReadonlySet<string>
  /** Returns the rack of a VM of the pool. */
  readonly rackOf: (vm: string) => string
}

/**
 * Selects the VMs that a wave disrupts now: as many as the budget allows even if one more rack is lost, one failure
 * domain at a time, longest drains first; drain times are not known yet, so callers give the same for all VMs. A budget
 * too small to tolerate the loss of a rack still allows one VM at a time.
 * @param opts - pool, ledger, candidates and failed VMs
 * @returns names of VMs, in the order in which their disruptions are to be started
 */
export function planWave (opts: WavePlanOpts): string[] {
  const unavailable = new Set(opts.ledger.members.filter(vm => opts.ledger.places[vm] !== undefined || opts.failed.has(vm)))
  const budget = resolveMaxUnavailable(opts.pool, opts.ledger.members.length)
  const selected: string[] = []
  for (const { vm } of sortCandidates(opts)) {
    const after = new Set([...unavailable, vm])
    const toleratesRackLoss = after.size + maxRackLoss(opts, after) <= budget
    const isOnlyDisruption = unavailable.size === 0 && budget >= 1
    const isAlreadyCounted = opts.failed.has(vm)
    if (!toleratesRackLoss && !isOnlyDisruption && !isAlreadyCounted) continue
    unavailable.add(vm)
    selected.push(vm)
  }
  return selected
}

/** Racks that already have VMs under disruption come first, so that a wave does not start on another rack meanwhile. */
function sortCandidates (opts: WavePlanOpts): WaveCandidate[] {
  const activeRacks = new Set(Object.keys(opts.ledger.places).map(vm => opts.rackOf(vm)))
  return [...opts.candidates].sort((a, b) => {
    const byActiveRack = Number(activeRacks.has(b.rack)) - Number(activeRacks.has(a.rack))
    const byDomain = a.zone.localeCompare(b.zone) || a.rack.localeCompare(b.rack)
    return byActiveRack || byDomain || b.drainMs - a.drainMs || a.vm.localeCompare(b.vm)
  })
}

function maxRackLoss (opts: WavePlanOpts, unavailable: ReadonlySet<string>): number {
  const available = new Map<string, number>()
  for (const vm of opts.ledger.members) {
    if (unavailable.has(vm)) continue
    const rack = opts.rackOf(vm)
    available.set(rack, (available.get(rack) ?? 0) + 1)
  }
  return Math.max(0, ...available.values())
}
