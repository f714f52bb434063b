import type { Demand } from './messages.ts'
import { maxMinFairShares } from './max-min-fairness.ts'

/** Priority and guaranteed share of a class. */
export interface ClassShare {
  readonly name: string
  /** Priority of the class; lower ranks are served first. */
  readonly rank: number
  /** Fraction of the pool's slots that the class is guaranteed while it has demand. */
  readonly floor: number
}

/** Demand at one entry, running and waiting. */
export interface EntryDemand {
  readonly entry: string
  readonly demand: readonly Demand[]
}

/** Slots that an entry should hold. */
export interface PlannedSlots {
  /** Slots for the entry's current demand. */
  readonly needed: number
  /** Needed slots and the entry's share of the idle slots. */
  readonly total: number
}

/**
 * Divides a pool's slots between entries. Each class first gets its guaranteed share, then the rest goes to the
 * classes in order of rank. Within a class, slots are divided fairly between client accounts by quota, and each
 * account's slots between the entries by demand. Idle slots are spread evenly over the entries for future demand.
 * @param capacity - slots of all usable targets
 * @param entries - demand at each entry
 * @param opts - the classes, and the quota of a client account
 * @returns planned slots by entry
 */
export function planSlots (capacity: number, entries: readonly EntryDemand[], opts: {
  classes: readonly ClassShare[]
  quota: (tenant: string) => number
}): Map<string, PlannedSlots> {
  const needed = new Map(entries.map(({ entry }) => [entry, 0]))
  const slotsByClass = shareByClass(capacity, totalsByClass(entries), opts.classes)
  for (const [className, classSlots] of slotsByClass) {
    for (const [tenant, slots] of shareByClientAccount(classSlots, entries, className, opts.quota)) {
      for (const [entry, entrySlots] of shareByEntry(slots, entries, className, tenant)) {
        needed.set(entry, (needed.get(entry) ?? 0) + entrySlots)
      }
    }
  }
  const idle = capacity - sum(needed.values())
  const idleShares = maxMinFairShares(idle, entries.map(({ entry }) => ({ id: entry, maxUnits: idle, weight: 1 })))
  return new Map(entries.map(({ entry }) => {
    const neededHere = needed.get(entry) ?? 0
    return [entry, { needed: neededHere, total: neededHere + (idleShares.get(entry) ?? 0) }]
  }))
}

/**
 * Divides slots between classes: each class gets its guaranteed share as far as it has demand, and the rest is
 * assigned in order of rank.
 * @param capacity - slots to divide
 * @param totals - demand by class
 * @param classes - ranks and guaranteed shares
 * @returns slots by class
 */
export function shareByClass (capacity: number, totals: ReadonlyMap<string, number>, classes: readonly ClassShare[]): Map<string, number> {
  const byRank = [...classes].sort((a, b) => a.rank - b.rank)
  const slotsByClass = new Map<string, number>()
  let left = capacity
  for (const each of byRank) {
    const floor = each.floor > 0 ? Math.max(1, Math.floor(each.floor * capacity)) : 0
    const guaranteed = Math.min(totals.get(each.name) ?? 0, floor, left)
    slotsByClass.set(each.name, guaranteed)
    left -= guaranteed
  }
  for (const each of byRank) {
    const guaranteed = slotsByClass.get(each.name) ?? 0
    const extra = Math.min((totals.get(each.name) ?? 0) - guaranteed, left)
    slotsByClass.set(each.name, guaranteed + extra)
    left -= extra
  }
  return slotsByClass
}

function totalsByClass (entries: readonly EntryDemand[]): Map<string, number> {
  const totals = new Map<string, number>()
  for (const { demand } of entries) {
    for (const each of demand) totals.set(each.class, (totals.get(each.class) ?? 0) + each.count)
  }
  return totals
}

function shareByClientAccount (classSlots: number, entries: readonly EntryDemand[], className: string, quota: (tenant: string) => number): Map<string, number> {
  const demandByAccount = new Map<string, number>()
  for (const { demand } of entries) {
    for (const each of demand) {
      if (each.class === className) demandByAccount.set(each.tenant, (demandByAccount.get(each.tenant) ?? 0) + each.count)
    }
  }
  return maxMinFairShares(classSlots, [...demandByAccount].map(([id, maxUnits]) => ({ id, maxUnits, weight: quota(id) })))
}

function shareByEntry (accountSlots: number, entries: readonly EntryDemand[], className: string, tenant: string): Map<string, number> {
  const requests = entries.map(({ entry, demand }) => {
    const maxUnits = sum(demand.filter(each => each.class === className && each.tenant === tenant).map(each => each.count))
    return { id: entry, maxUnits, weight: Math.max(maxUnits, 1) }
  })
  return maxMinFairShares(accountSlots, requests)
}

function sum (values: Iterable<number>): number {
  let total = 0
  for (const value of values) total += value
  return total
}
