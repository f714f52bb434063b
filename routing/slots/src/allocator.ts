import type { Clock } from '@wisteriaslip/core.result'
import { planSlots, type ClassShare, type PlannedSlots } from './demand-plan.ts'
import type { Demand, PoolGrant, PoolReport } from './messages.ts'
import { ALLOTMENT_TTL_MS, EXPIRY_MARGIN_MS, FOLLOWER_TIMEOUT_MS } from './timeouts.ts'

/** While no entry is short of slots, an entry may keep this many slots beyond its plan: moving so few is not worthwhile. */
const MAX_IDLE_EXCESS_SLOTS = 2
/** How long a target is avoided after an entry reported it as leaving; every further report restarts the period. */
const TARGET_AVOIDANCE_MS = 5_000

/** Capacity of a target from the leader's point of view. */
export interface TargetCapacity {
  readonly name: string
  readonly zone: string
  readonly slots: number
  /** Keeps the connections of one entry to the target within the entry's share. */
  readonly maxSlotsPerEntry: number
  /** False while the target is leaving, cordoned or draining: none of its slots are granted. */
  readonly usable: boolean
}

/** Options of a slot allocator. */
export interface SlotAllocatorOpts {
  readonly clock: Clock
  /** Fencing token of this leadership. */
  readonly token: number
  readonly targets: () => readonly TargetCapacity[]
  readonly classes: () => readonly ClassShare[]
  readonly quota: (tenant: string) => number
  /** Longest time that a request may run at a target, in milliseconds. */
  readonly maxRunMs: () => number
  /** Incarnations of entries that may hold slots granted by earlier leaders. */
  readonly possibleHolders: () => ReadonlySet<string>
  /** Whether the given number of entries is more than half of the members. */
  readonly isMajority: (entries: number) => boolean
  /** Whether the leader's lease is valid. Without a valid lease, slots of unresponsive entries are never reassigned. */
  readonly isLeaseValid: () => boolean
  readonly zoneOf: (entry: string) => string | undefined
  /** Requests an immediate report from an entry. */
  readonly nudge: (entry: string) => void
}

interface HolderState {
  readonly entry: string
  seq: number
  lastMessageAt: number
  /** Whether the entry's holder record has been seen in the store. */
  holderRecordSeen: boolean
  /** Whether the entry's latest message stated that it receives replies from this leader. */
  isFollower: boolean
  slotsByTarget: Map<string, number>
  demand: readonly Demand[]
  /** Loans to this entry that the lender has reported, but the entry itself has not. */
  readonly pendingLoans: Map<string, { target: string, slots: number, since: number }>
  /** Loans that this entry has reported as borrower. */
  readonly reportedLoanIds: Set<string>
}

/**
 * Grants the slots of one pool to entries; used by the pool's leader. A slot counts as taken until its holder has
 * given it back, or until the holder has been unresponsive for so long that its allotment has expired and every
 * request on it must have ended.
 */
export class SlotAllocator {
  readonly token: number
  private readonly opts: SlotAllocatorOpts
  private readonly startedAt: number
  private readonly holders = new Map<string, HolderState>()
  private readonly avoidUntil = new Map<string, number>()
  private holdersAccountedFor = false
  private majoritySince: number | undefined

  constructor (opts: SlotAllocatorOpts) {
    this.opts = opts
    this.token = opts.token
    this.startedAt = opts.clock.now()
  }

  /**
   * Applies an entry's report and grants slots in return.
   * @param sender - id and incarnation of the entry, sequence number of its report, and whether it receives replies from this leader
   * @param report - the entry's state of this pool
   * @returns the grant, or undefined for a report that is out of order or meant for another leader
   */
  report (sender: { id: string, incarnation: string, seq: number, heard: boolean }, report: PoolReport): PoolGrant | undefined {
    if (report.token !== this.token) return undefined
    const holder = this.getOrCreateHolder(sender)
    if (sender.seq <= holder.seq) return undefined
    holder.seq = sender.seq
    this.recordMessage(holder, sender.heard)
    holder.slotsByTarget = nonZeroSlots(report.held)
    holder.demand = report.demand
    this.reconcileLoans(holder, sender.incarnation, report)
    this.avoid(report.leaving)
    this.removeGoneHolders()
    return this.createGrant(sender.incarnation, holder, report)
  }

  /**
   * Counts a message without changes for this pool as a sign of life of its sender, which keeps its allotment valid.
   * @param incarnation - of the sender
   * @param heard - whether the sender receives replies from this leader
   * @returns whether the sender's allotment stays valid; false if the sender is not tracked
   */
  renew (incarnation: string, heard: boolean): boolean {
    const holder = this.holders.get(incarnation)
    if (holder === undefined) return false
    this.recordMessage(holder, heard)
    return true
  }

  /**
   * @param incarnation - of an entry
   * @returns whether a report of the entry would change what it holds
   */
  wantsReport (incarnation: string): boolean {
    const holder = this.holders.get(incarnation)
    if (holder === undefined) return true
    this.removeGoneHolders()
    const plan = this.plan()
    const belowPlan = (plan.get(incarnation)?.total ?? 0) - this.usableSlotsHeld(holder)
    if (belowPlan > 0 && this.usableTargets().some(target => this.freeOn(target) > 0)) return true
    return this.giveBack(incarnation, holder, plan) > 0
  }

  /**
   * @param target - name of a target
   * @returns slots of the target that entries hold, or may hold
   */
  taken (target: string): number {
    return this.heldOn(target) + this.unaccountedOn(target)
  }

  /** @returns targets that entries recently reported as leaving or unreachable */
  avoidedTargets (): ReadonlySet<string> {
    const now = this.opts.clock.now()
    return new Set([...this.avoidUntil].filter(([, until]) => until >= now).map(([target]) => target))
  }

  /** @returns slots of usable targets and number of requests, from which moves of VMs between pools are planned */
  load (): { capacity: number, demand: number } {
    const demand = [...this.holders.values()].flatMap(holder => holder.demand)
    return { capacity: this.capacity(), demand: demand.reduce((sum, each) => sum + each.count, 0) }
  }

  /** @returns number of followers: entries that recently sent a message and receive replies from this leader */
  followerCount (): number {
    const since = this.opts.clock.now() - FOLLOWER_TIMEOUT_MS
    return [...this.holders.values()].filter(holder => holder.isFollower && holder.lastMessageAt >= since).length
  }

  private recordMessage (holder: HolderState, heard: boolean): void {
    const now = this.opts.clock.now()
    if (!this.opts.isMajority(this.followerCount())) this.majoritySince = undefined
    holder.lastMessageAt = now
    holder.isFollower = heard
    if (this.opts.isMajority(this.followerCount())) this.majoritySince ??= now
  }

  private getOrCreateHolder (sender: { id: string, incarnation: string }): HolderState {
    const existing = this.holders.get(sender.incarnation)
    if (existing !== undefined) return existing
    const holder: HolderState = { entry: sender.id, seq: -1, lastMessageAt: 0, isFollower: false, holderRecordSeen: false, slotsByTarget: new Map(), demand: [], pendingLoans: new Map(), reportedLoanIds: new Set() }
    this.holders.set(sender.incarnation, holder)
    return holder
  }

  private createGrant (incarnation: string, holder: HolderState, report: PoolReport): PoolGrant {
    const plan = this.plan()
    const planned = plan.get(incarnation) ?? { needed: 0, total: 0 }
    const usableHeld = this.usableSlotsHeld(holder)
    const add = this.grantSlots(holder, planned.total - usableHeld)
    if (this.shortfallOf(planned, holder) > 0) this.nudgeHoldersWithExcess(incarnation, plan)
    this.nudgeHoldersWithShortfall(incarnation, plan)
    return {
      pool: report.pool,
      token: this.token,
      add,
      giveBack: this.giveBack(incarnation, holder, plan),
      avoid: [...this.avoidUntil.keys()],
      settled: report.loans.map(loan => loan.id)
    }
  }

  private avoid (leaving: readonly string[]): void {
    const now = this.opts.clock.now()
    for (const [target, until] of this.avoidUntil) {
      if (until < now) this.avoidUntil.delete(target)
    }
    const newlyAvoided = leaving.filter(target => !this.avoidUntil.has(target))
    for (const target of leaving) this.avoidUntil.set(target, now + TARGET_AVOIDANCE_MS)
    if (newlyAvoided.length === 0) return
    for (const holder of this.holders.values()) this.opts.nudge(holder.entry)
  }

  private usableTargets (): TargetCapacity[] {
    return this.opts.targets().filter(target => target.usable && !this.avoidUntil.has(target.name))
  }

  private plan (): Map<string, PlannedSlots> {
    const entries = [...this.holders].map(([entry, holder]) => ({ entry, demand: holder.demand }))
    return planSlots(this.capacity(), entries, { classes: this.opts.classes(), quota: this.opts.quota })
  }

  private grantSlots (holder: HolderState, wanted: number): Record<string, number> {
    const add: Record<string, number> = {}
    const zone = this.opts.zoneOf(holder.entry)
    const candidates = this.usableTargets()
      .map(target => ({ target, free: this.freeOn(target) }))
      .filter(({ free }) => free > 0)
    let left = wanted
    while (left > 0) {
      const best = selectTarget(candidates, holder, zone)
      if (best === undefined) break
      best.free -= 1
      left -= 1
      add[best.target.name] = (add[best.target.name] ?? 0) + 1
      holder.slotsByTarget.set(best.target.name, (holder.slotsByTarget.get(best.target.name) ?? 0) + 1)
    }
    return add
  }

  /**
   * Reclaims slots beyond the plan only while another entry is short of slots, or while the entry holds more than
   * {@link MAX_IDLE_EXCESS_SLOTS} beyond its plan.
   */
  private giveBack (incarnation: string, holder: HolderState, plan: ReadonlyMap<string, PlannedSlots>): number {
    const excess = this.usableSlotsHeld(holder) - (plan.get(incarnation)?.total ?? 0)
    if (excess <= 0) return 0
    const shortfall = this.shortfallOfOthers(incarnation, plan)
    if (shortfall > 0) return Math.min(excess, Math.max(shortfall, 1))
    return excess > MAX_IDLE_EXCESS_SLOTS ? excess : 0
  }

  private shortfallOfOthers (excluded: string, plan: ReadonlyMap<string, PlannedSlots>): number {
    let shortfall = 0
    for (const [incarnation, holder] of this.holders) {
      if (incarnation !== excluded) shortfall += this.shortfallOf(plan.get(incarnation), holder)
    }
    return shortfall
  }

  /** An entry that holds no slot is short of one even without demand, so that its first request need not wait for a grant. */
  private shortfallOf (planned: PlannedSlots | undefined, holder: HolderState): number {
    if (planned === undefined) return 0
    const held = this.usableSlotsHeld(holder)
    const needed = held === 0 ? Math.max(planned.needed, Math.min(1, planned.total)) : planned.needed
    return Math.max(0, needed - held)
  }

  private nudgeHoldersWithExcess (excluded: string, plan: ReadonlyMap<string, PlannedSlots>): void {
    for (const [incarnation, holder] of this.holders) {
      if (incarnation === excluded) continue
      if (this.usableSlotsHeld(holder) > (plan.get(incarnation)?.total ?? 0)) this.opts.nudge(holder.entry)
    }
  }

  /** Requests immediate reports from entries that are short of slots, as far as there are free slots for them. */
  private nudgeHoldersWithShortfall (excluded: string, plan: ReadonlyMap<string, PlannedSlots>): void {
    let free = this.usableTargets().reduce((sum, target) => sum + Math.max(0, this.freeOn(target)), 0)
    for (const [incarnation, holder] of this.holders) {
      if (free <= 0) return
      const shortfall = this.shortfallOf(plan.get(incarnation), holder)
      if (incarnation === excluded || shortfall <= 0) continue
      free -= shortfall
      this.opts.nudge(holder.entry)
    }
  }

  private usableSlotsHeld (holder: HolderState): number {
    let held = 0
    for (const target of this.usableTargets()) held += holder.slotsByTarget.get(target.name) ?? 0
    return held
  }

  private capacity (): number {
    return this.usableTargets().reduce((sum, target) => sum + target.slots, 0)
  }

  private freeOn (target: TargetCapacity): number {
    return target.slots - this.taken(target.name)
  }

  private heldOn (target: string): number {
    let held = 0
    for (const holder of this.holders.values()) {
      held += holder.slotsByTarget.get(target) ?? 0
      for (const loan of holder.pendingLoans.values()) {
        if (loan.target === target) held += loan.slots
      }
    }
    return held
  }

  /** Slots that no entry has reported, but that an entry may hold from an earlier leader. */
  private unaccountedOn (target: string): number {
    if (this.areHoldersAccountedFor()) return 0
    const slots = this.opts.targets().find(each => each.name === target)?.slots ?? 0
    return Math.max(0, slots - this.heldOn(target))
  }

  private areHoldersAccountedFor (): boolean {
    if (this.holdersAccountedFor) return true
    const hasUnreported = [...this.opts.possibleHolders()].some(incarnation => !this.holders.has(incarnation))
    const allExpired = this.opts.clock.now() - this.startedAt >= this.holderExpiryMs() && this.canExpireUnresponsiveHolders()
    this.holdersAccountedFor = !hasUnreported || allExpired
    return this.holdersAccountedFor
  }

  private removeGoneHolders (): void {
    this.removeStoppedHolders()
    this.removeExpiredHolders()
  }

  /** An entry that shuts down in an orderly way deletes its holder record after its last request, and then holds no slots. */
  private removeStoppedHolders (): void {
    const possibleHolders = this.opts.possibleHolders()
    for (const [incarnation, holder] of this.holders) {
      if (possibleHolders.has(incarnation)) holder.holderRecordSeen = true
      else if (holder.holderRecordSeen) this.holders.delete(incarnation)
    }
  }

  private removeExpiredHolders (): void {
    if (!this.canExpireUnresponsiveHolders()) return
    const expiredBefore = this.opts.clock.now() - this.holderExpiryMs()
    for (const [incarnation, holder] of this.holders) {
      if (holder.lastMessageAt < expiredBefore) this.holders.delete(incarnation)
      for (const [id, loan] of holder.pendingLoans) {
        if (loan.since < expiredBefore) holder.pendingLoans.delete(id)
      }
    }
  }

  /**
   * Entries that receive no replies from this leader may extend their allotments without it as long as most members
   * receive none either. So a majority must have followed this leader for the whole expiry period.
   */
  private canExpireUnresponsiveHolders (): boolean {
    if (!this.opts.isLeaseValid() || !this.opts.isMajority(this.followerCount())) return false
    return this.majoritySince !== undefined && this.opts.clock.now() - this.majoritySince >= this.holderExpiryMs()
  }

  private holderExpiryMs (): number {
    return ALLOTMENT_TTL_MS + this.opts.maxRunMs() + EXPIRY_MARGIN_MS
  }

  private reconcileLoans (reporter: HolderState, incarnation: string, report: PoolReport): void {
    for (const loan of report.loans) {
      if (loan.to === incarnation) {
        reporter.reportedLoanIds.add(loan.id)
        reporter.pendingLoans.delete(loan.id)
        continue
      }
      const borrower = this.holders.get(loan.to)
      if (borrower === undefined || borrower.reportedLoanIds.has(loan.id) || borrower.pendingLoans.has(loan.id)) continue
      borrower.pendingLoans.set(loan.id, { target: loan.target, slots: loan.slots, since: this.opts.clock.now() })
    }
  }
}

interface CandidateTarget {
  readonly target: TargetCapacity
  free: number
}

function selectTarget (candidates: readonly CandidateTarget[], holder: HolderState, zone: string | undefined): CandidateTarget | undefined {
  let best: CandidateTarget | undefined
  for (const candidate of candidates) {
    const held = holder.slotsByTarget.get(candidate.target.name) ?? 0
    if (candidate.free <= 0 || held >= candidate.target.maxSlotsPerEntry) continue
    if (best === undefined || isPreferred(candidate, best, zone)) best = candidate
  }
  return best
}

function isPreferred (a: CandidateTarget, b: CandidateTarget, zone: string | undefined): boolean {
  const zonePreference = Number(a.target.zone === zone) - Number(b.target.zone === zone)
  return zonePreference > 0 || (zonePreference === 0 && a.free > b.free)
}

function nonZeroSlots (held: Readonly<Record<string, number>>): Map<string, number> {
  return new Map(Object.entries(held).filter(([, slots]) => slots > 0))
}
