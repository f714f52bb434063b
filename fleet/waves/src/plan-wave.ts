import { resolveBudget, type PoolDoc } from '@wisteriaslip/config.documents'
import type { PoolLedger } from '@wisteriaslip/fleet.ledger'

/** A VM that a wave still has to take. */
export interface WaveCandidate {
  readonly vm: string
  readonly zone: string
  readonly rack: string
  /** How long its drain is expected to take, in milliseconds. */
  readonly drainMs: number
}

/** What a plan rests on. */
export interface WavePlanOpts {
  readonly pool: PoolDoc
  readonly ledger: PoolLedger
  readonly candidates: readonly WaveCandidate[]
  /** VMs of the pool that are down, whoever caused it. */
  readonly failed: ReadonlySet<string>
  /** Rack of each VM of the pool. */
  readonly rackOf: (vm: string) => string
}

/**
 * Which VMs a wave takes now: as many as the budget allows even if one more rack is lost, one failure domain at a time,
 * longest drains first. A budget too small to bear the loss of a rack still lets one VM go at a time.
 * @param opts - pool, ledger and candidates
 * @returns names of VMs, in the order in which their places are to be taken
 */
export function planWave (opts: WavePlanOpts): string[] {
  const unavailable = new Set(opts.ledger.members.filter(vm => opts.ledger.places[vm] !== undefined || opts.failed.has(vm)))
  const budget = resolveBudget(opts.pool, opts.ledger.members.length)
  const taken: string[] = []
  for (const { vm } of inOrder(opts)) {
    const after = new Set([...unavailable, vm])
    const bearsRackLoss = after.size + worstRackLoss(opts, after) <= budget
    const onlyOne = unavailable.size === 0 && budget >= 1
    const costsNothing = opts.failed.has(vm)
    if (!bearsRackLoss && !onlyOne && !costsNothing) continue
    unavailable.add(vm)
    taken.push(vm)
  }
  return taken
}

/** The domain that already has VMs under way goes first, so that no second one is opened beside it. */
function inOrder (opts: WavePlanOpts): WaveCandidate[] {
  const open = new Set(Object.keys(opts.ledger.places).map(vm => opts.rackOf(vm)))
  return [...opts.candidates].sort((a, b) => {
    const opened = Number(open.has(b.rack)) - Number(open.has(a.rack))
    const domain = a.zone.localeCompare(b.zone) || a.rack.localeCompare(b.rack)
    return opened || domain || b.drainMs - a.drainMs || a.vm.localeCompare(b.vm)
  })
}

function worstRackLoss (opts: WavePlanOpts, unavailable: ReadonlySet<string>): number {
  const available = new Map<string, number>()
  for (const vm of opts.ledger.members) {
    if (unavailable.has(vm)) continue
    const rack = opts.rackOf(vm)
    available.set(rack, (available.get(rack) ?? 0) + 1)
  }
  return Math.max(0, ...available.values())
}
