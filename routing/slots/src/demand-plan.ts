import type { Demand } from './messages.ts'
import { maxMinFairShares } from './max-min-fairness.ts'

/** What the plan needs to know of a class. */
export interface ClassShare {
  readonly name: string
  readonly rank: number
  /** Share of the pool's slots that the class keeps while it has work. */
  readonly floor: number
}

/** Work at one entry. */
export interface EntryDemand {
  readonly entry: string
  readonly demand: readonly Demand[]
}

/** Slots an entry should hold: for its work, and in all with its part of the idle slots. */
export interface PlannedSlots {
  readonly needed: number
  readonly total: number
}

/**
 * Divides a pool's slots: floors of classes first, then by urgency; within a class fairly between tenants by quota;
 * a tenant's slots follow its work; idle slots are spread evenly for work to come.
 * @param capacity - slots of all usable targets
 * @param entries - work at each entry
 * @param opts - classes, and the quota of a tenant
 * @returns planned slots by entry
 */
export function planSlots (capacity: number, entries: readonly EntryDemand[], opts: {
  classes: readonly ClassShare[]
  quota: (tenant: string) => number
}): Map<string, PlannedSlots> {
  const needed = new Map(entries.map(({ entry }) => [entry, 0]))
  const amounts = shareByClass(capacity, totalsByClass(entries), opts.classes)
  for (const [className, amount] of amounts) {
    for (const [tenant, slots] of shareByTenant(amount, entries, className, opts.quota)) {
      for (const [entry, part] of shareByEntry(slots, entries, className, tenant)) {
        needed.set(entry, (needed.get(entry) ?? 0) + part)
      }
    }
  }
  const idle = capacity - sum(needed.values())
  const spread = maxMinFairShares(idle, entries.map(({ entry }) => ({ id: entry, want: idle, weight: 1 })))
  return new Map(entries.map(({ entry }) => {
    const need = needed.get(entry) ?? 0
    return [entry, { needed: need, total: need + (spread.get(entry) ?? 0) }]
  }))
}

/**
 * Slots by class: each gets its floor as far as it has work; the rest goes by urgency.
 * @param capacity - slots to share
 * @param totals - work by class
 * @param classes - ranks and floors
 * @returns slots by class
 */
export function shareByClass (capacity: number, totals: ReadonlyMap<string, number>, classes: readonly ClassShare[]): Map<string, number> {
  const ordered = [...classes].sort((a, b) => a.rank - b.rank)
  const amounts = new Map<string, number>()
  let left = capacity
  for (const each of ordered) {
    const floor = each.floor > 0 ? Math.max(1, Math.floor(each.floor * capacity)) : 0
    const amount = Math.min(totals.get(each.name) ?? 0, floor, left)
    amounts.set(each.name, amount)
    left -= amount
  }
  for (const each of ordered) {
    const amount = amounts.get(each.name) ?? 0
    const more = Math.min((totals.get(each.name) ?? 0) - amount, left)
    amounts.set(each.name, amount + more)
    left -= more
  }
  return amounts
}

function totalsByClass (entries: readonly EntryDemand[]): Map<string, number> {
  const totals = new Map<string, number>()
  for (const { demand } of entries) {
    for (const each of demand) totals.set(each.class, (totals.get(each.class) ?? 0) + each.count)
  }
  return totals
}

function shareByTenant (amount: number, entries: readonly EntryDemand[], className: string, quota: (tenant: string) => number): Map<string, number> {
  const wants = new Map<string, number>()
  for (const { demand } of entries) {
    for (const each of demand) {
      if (each.class === className) wants.set(each.tenant, (wants.get(each.tenant) ?? 0) + each.count)
    }
  }
  return maxMinFairShares(amount, [...wants].map(([id, want]) => ({ id, want, weight: quota(id) })))
}

function shareByEntry (amount: number, entries: readonly EntryDemand[], className: string, tenant: string): Map<string, number> {
  const requests = entries.map(({ entry, demand }) => {
    const want = sum(demand.filter(each => each.class === className && each.tenant === tenant).map(each => each.count))
    return { id: entry, want, weight: Math.max(want, 1) }
  })
  return maxMinFairShares(amount, requests)
}

function sum (values: Iterable<number>): number {
  let total = 0
  for (const value of values) total += value
  return total
}
