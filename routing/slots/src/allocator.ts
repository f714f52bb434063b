import type { Clock } from '@wisteriaslip/core.result'
import { planSlots, type ClassShare, type PlannedSlots } from './demand-plan.ts'
import { FOLLOWER_TIMEOUT_MS, ALLOTMENT_TTL_MS, EXPIRY_MARGIN_MS } from './timeouts.ts'
import type { Demand, PoolGrant, PoolReport } from './messages.ts'

/** Differences up to this many slots are not worth moving when nobody lacks any. */
const IDLE_DEADBAND_SLOTS = 2
/** How long a target is avoided after an entry found it leaving; a later finding starts the time anew. */
const AVOID_MS = 5_000

/** A target as the leader counts it. */
export interface TargetCapacity {
  readonly name: string
  readonly zone: string
  readonly slots: number
  /** Most slots that one entry may hold here, so that its connections stay within its share. */
  readonly maxSlotsPerEntry: number
  /** False while it is leaving, cordoned or draining: no slot of it is granted. */
  readonly usable: boolean
}

/** What the allocator asks of its surroundings. */
export interface AllocatorOpts {
  readonly clock: Clock
  /** Fencing token of this leadership. */
  readonly token: number
  readonly targets: () => readonly TargetCapacity[]
  readonly classes: () => readonly ClassShare[]
  readonly quota: (tenant: string) => number
  /** Longest run of a request at a target, in milliseconds. */
  readonly maxRunMs: () => number
  /** Incarnations that may hold slots from before this leadership. */
  readonly possibleHolders: () => ReadonlySet<string>
  /** Whether this many entries are more than half of the members. */
  readonly isMajority: (entries: number) => boolean
  /** Whether the leader's lease holds. Without it slots of silent entries are never given away. */
  readonly isLeaseValid: () => boolean
  readonly zoneOf: (entry: string) => string | undefined
  /** Asks an entry to report at once. */
  readonly nudge: (entry: string) => void
}

interface Holder {
  readonly entry: string
  seq: number
  heardAt: number
  /** Whether its mark as a possible holder was seen. */
  markSeen: boolean
  /** Whether its latest message said that it hears this leader. */
  follows: boolean
  granted: Map<string, number>
  demand: readonly Demand[]
  /** Loans to this entry of which the lender told, but not the entry itself. */
  readonly pendingLoans: Map<string, { target: string, slots: number, since: number }>
  readonly receivedLoans: Set<string>
}

/**
 * The leader's side of slot allotments for one pool. A slot counts as taken until its holder has given it back,
 * or until the holder has been silent for so long that its allotment and any run on it must have ended.
 */
export class SlotAllocator {
  readonly token: number
  private readonly opts: AllocatorOpts
  private readonly startedAt: number
  private readonly holders = new Map<string, Holder>()
  private readonly avoidUntil = new Map<string, number>()
  private allAccounted = false
  private majoritySince: number | undefined

  constructor (opts: AllocatorOpts) {
    this.opts = opts
    this.token = opts.token
    this.startedAt = opts.clock.now()
  }

  /**
   * Takes in what an entry holds and needs, and says what it may hold from now on.
   * @param sender - id and incarnation of the entry, and the number of its report
   * @param report - for this pool
   * @returns the grant, or undefined for a report that is out of order or meant for another leader
   */
  report (sender: { id: string, incarnation: string, seq: number, heard: boolean }, report: PoolReport): PoolGrant | undefined {
    if (report.token !== this.token) return undefined
    const holder = this.holderOf(sender)
    if (sender.seq <= holder.seq) return undefined
    holder.seq = sender.seq
    this.noteMessage(holder, sender.heard)
    holder.granted = positive(report.held)
    holder.demand = report.demand
    this.settleLoans(holder, sender.incarnation, report)
    this.avoid(report.leaving)
    this.dropGone()
    return this.answer(sender.incarnation, holder, report)
  }

  /**
   * Counts a message that names no change for this pool as a sign of life.
   * @param incarnation - of the sender
   * @param heard - whether the sender hears this leader
   * @returns whether the sender's allotment stays in force
   */
  renew (incarnation: string, heard: boolean): boolean {
    const holder = this.holders.get(incarnation)
    if (holder === undefined) return false
    this.noteMessage(holder, heard)
    return true
  }

  /**
   * @param incarnation - of an entry
   * @returns whether a report of it would change what it holds
   */
  wantsReport (incarnation: string): boolean {
    const holder = this.holders.get(incarnation)
    if (holder === undefined) return true
    this.dropGone()
    const plan = this.plan()
    const missing = (plan.get(incarnation)?.total ?? 0) - this.usableHeld(holder)
    if (missing > 0 && this.usableTargets().some(target => this.freeOn(target) > 0)) return true
    return this.giveBack(incarnation, holder, plan) > 0
  }

  /**
   * @param target - name of a target
   * @returns slots of the target that some entry holds, or may hold
   */
  taken (target: string): number {
    return this.grantedOn(target) + this.unaccountedOn(target)
  }

  /** @returns targets that entries lately found leaving or out of reach */
  avoidedTargets (): ReadonlySet<string> {
    const now = this.opts.clock.now()
    return new Set([...this.avoidUntil].filter(([, until]) => until >= now).map(([target]) => target))
  }

  /** @returns slots of usable targets, and how much work there is, by which moves between pools are judged */
  load (): { capacity: number, demand: number } {
    const demand = [...this.holders.values()].flatMap(holder => holder.demand)
    return { capacity: this.capacity(), demand: demand.reduce((sum, each) => sum + each.count, 0) }
  }

  /** @returns how many entries follow this leader: they sent a message a moment ago and hear the answers */
  followerCount (): number {
    const since = this.opts.clock.now() - FOLLOWER_TIMEOUT_MS
    return [...this.holders.values()].filter(holder => holder.follows && holder.heardAt >= since).length
  }

  private noteMessage (holder: Holder, heard: boolean): void {
    const now = this.opts.clock.now()
    if (!this.opts.isMajority(this.followerCount())) this.majoritySince = undefined
    holder.heardAt = now
    holder.follows = heard
    if (this.opts.isMajority(this.followerCount())) this.majoritySince ??= now
  }

  private holderOf (sender: { id: string, incarnation: string }): Holder {
    const known = this.holders.get(sender.incarnation)
    if (known !== undefined) return known
    const holder: Holder = { entry: sender.id, seq: -1, heardAt: 0, follows: false, markSeen: false, granted: new Map(), demand: [], pendingLoans: new Map(), receivedLoans: new Set() }
    this.holders.set(sender.incarnation, holder)
    return holder
  }

  private answer (incarnation: string, holder: Holder, report: PoolReport): PoolGrant {
    const plan = this.plan()
    const planned = plan.get(incarnation) ?? { needed: 0, total: 0 }
    const holds = this.usableHeld(holder)
    const add = this.addSlots(holder, planned.total - holds)
    if (this.lacks(planned, holder) > 0) this.askOthers(incarnation, plan)
    this.tellLacking(incarnation, plan)
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
    const fresh = leaving.filter(target => !this.avoidUntil.has(target))
    for (const target of leaving) this.avoidUntil.set(target, now + AVOID_MS)
    if (fresh.length === 0) return
    for (const holder of this.holders.values()) this.opts.nudge(holder.entry)
  }

  private usableTargets (): TargetCapacity[] {
    return this.opts.targets().filter(target => target.usable && !this.avoidUntil.has(target.name))
  }

  private plan (): Map<string, PlannedSlots> {
    const entries = [...this.holders].map(([entry, holder]) => ({ entry, demand: holder.demand }))
    return planSlots(this.capacity(), entries, { classes: this.opts.classes(), quota: this.opts.quota })
  }

  private addSlots (holder: Holder, wanted: number): Record<string, number> {
    const add: Record<string, number> = {}
    const zone = this.opts.zoneOf(holder.entry)
    const open = this.usableTargets()
      .map(target => ({ target, free: this.freeOn(target) }))
      .filter(({ free }) => free > 0)
    let left = wanted
    while (left > 0) {
      const best = pickTarget(open, holder, zone)
      if (best === undefined) break
      best.free -= 1
      left -= 1
      add[best.target.name] = (add[best.target.name] ?? 0) + 1
      holder.granted.set(best.target.name, (holder.granted.get(best.target.name) ?? 0) + 1)
    }
    return add
  }

  /** Slots beyond the plan are asked back only while another entry lacks some, or when idle slots are spread very unevenly. */
  private giveBack (incarnation: string, holder: Holder, plan: ReadonlyMap<string, PlannedSlots>): number {
    const excess = this.usableHeld(holder) - (plan.get(incarnation)?.total ?? 0)
    if (excess <= 0) return 0
    const lacking = this.lacking(incarnation, plan)
    if (lacking > 0) return Math.min(excess, Math.max(lacking, 1))
    return excess > IDLE_DEADBAND_SLOTS ? excess : 0
  }

  private lacking (except: string, plan: ReadonlyMap<string, PlannedSlots>): number {
    let lacking = 0
    for (const [incarnation, holder] of this.holders) {
      if (incarnation !== except) lacking += this.lacks(plan.get(incarnation), holder)
    }
    return lacking
  }

  /** An entry without any slot lacks one even before it has work: its first request should not wait for a message. */
  private lacks (planned: PlannedSlots | undefined, holder: Holder): number {
    if (planned === undefined) return 0
    const held = this.usableHeld(holder)
    const needed = held === 0 ? Math.max(planned.needed, Math.min(1, planned.total)) : planned.needed
    return Math.max(0, needed - held)
  }

  private askOthers (except: string, plan: ReadonlyMap<string, PlannedSlots>): void {
    for (const [incarnation, holder] of this.holders) {
      if (incarnation === except) continue
      if (this.usableHeld(holder) > (plan.get(incarnation)?.total ?? 0)) this.opts.nudge(holder.entry)
    }
  }

  /** Slots that have become free are fetched at once by the entries that lack some. */
  private tellLacking (except: string, plan: ReadonlyMap<string, PlannedSlots>): void {
    let free = this.usableTargets().reduce((sum, target) => sum + Math.max(0, this.freeOn(target)), 0)
    for (const [incarnation, holder] of this.holders) {
      if (free <= 0) return
      const lacks = this.lacks(plan.get(incarnation), holder)
      if (incarnation === except || lacks <= 0) continue
      free -= lacks
      this.opts.nudge(holder.entry)
    }
  }

  private usableHeld (holder: Holder): number {
    let held = 0
    for (const target of this.usableTargets()) held += holder.granted.get(target.name) ?? 0
    return held
  }

  private capacity (): number {
    return this.usableTargets().reduce((sum, target) => sum + target.slots, 0)
  }

  private freeOn (target: TargetCapacity): number {
    return target.slots - this.taken(target.name)
  }

  private grantedOn (target: string): number {
    let granted = 0
    for (const holder of this.holders.values()) {
      granted += holder.granted.get(target) ?? 0
      for (const loan of holder.pendingLoans.values()) {
        if (loan.target === target) granted += loan.slots
      }
    }
    return granted
  }

  /** Slots that nobody reported but an entry may hold from before this leadership. */
  private unaccountedOn (target: string): number {
    if (this.accounted()) return 0
    const slots = this.opts.targets().find(each => each.name === target)?.slots ?? 0
    return Math.max(0, slots - this.grantedOn(target))
  }

  private accounted (): boolean {
    if (this.allAccounted) return true
    const silent = [...this.opts.possibleHolders()].some(incarnation => !this.holders.has(incarnation))
    const waitedOut = this.opts.clock.now() - this.startedAt >= this.lapseMs() && this.mayDropSilent()
    this.allAccounted = !silent || waitedOut
    return this.allAccounted
  }

  private dropGone (): void {
    this.dropStopped()
    this.dropLapsed()
  }

  /** An entry removes its mark when it stops as planned, after its last request: it holds nothing any more. */
  private dropStopped (): void {
    const marked = this.opts.possibleHolders()
    for (const [incarnation, holder] of this.holders) {
      if (marked.has(incarnation)) holder.markSeen = true
      else if (holder.markSeen) this.holders.delete(incarnation)
    }
  }

  private dropLapsed (): void {
    if (!this.mayDropSilent()) return
    const lapsedBefore = this.opts.clock.now() - this.lapseMs()
    for (const [incarnation, holder] of this.holders) {
      if (holder.heardAt < lapsedBefore) this.holders.delete(incarnation)
      for (const [id, loan] of holder.pendingLoans) {
        if (loan.since < lapsedBefore) holder.pendingLoans.delete(id)
      }
    }
  }

  /** Entries that cannot hear this leader may hold over as long as most peers hear none: so most must have followed it all the while. */
  private mayDropSilent (): boolean {
    if (!this.opts.isLeaseValid() || !this.opts.isMajority(this.followerCount())) return false
    return this.majoritySince !== undefined && this.opts.clock.now() - this.majoritySince >= this.lapseMs()
  }

  private lapseMs (): number {
    return ALLOTMENT_TTL_MS + this.opts.maxRunMs() + EXPIRY_MARGIN_MS
  }

  private settleLoans (reporter: Holder, incarnation: string, report: PoolReport): void {
    for (const loan of report.loans) {
      if (loan.to === incarnation) {
        reporter.receivedLoans.add(loan.id)
        reporter.pendingLoans.delete(loan.id)
        continue
      }
      const borrower = this.holders.get(loan.to)
      if (borrower === undefined || borrower.receivedLoans.has(loan.id) || borrower.pendingLoans.has(loan.id)) continue
      borrower.pendingLoans.set(loan.id, { target: loan.target, slots: loan.slots, since: this.opts.clock.now() })
    }
  }
}

interface OpenTarget {
  readonly target: TargetCapacity
  free: number
}

function pickTarget (open: readonly OpenTarget[], holder: Holder, zone: string | undefined): OpenTarget | undefined {
  let best: OpenTarget | undefined
  for (const each of open) {
    const held = holder.granted.get(each.target.name) ?? 0
    if (each.free <= 0 || held >= each.target.maxSlotsPerEntry) continue
    if (best === undefined || isBetter(each, best, zone)) best = each
  }
  return best
}

function isBetter (a: OpenTarget, b: OpenTarget, zone: string | undefined): boolean {
  const near = Number(a.target.zone === zone) - Number(b.target.zone === zone)
  return near > 0 || (near === 0 && a.free > b.free)
}

function positive (held: Readonly<Record<string, number>>): Map<string, number> {
  return new Map(Object.entries(held).filter(([, slots]) => slots > 0))
}
