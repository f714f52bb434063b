import { randomUUID } from 'node:crypto'
import type { Clock } from '@wisteriaslip/core.result'
import type { Demand, Loan, PoolGrant, PoolReport } from './messages.ts'
import { ALLOTMENT_TTL_MS } from './timeouts.ts'

/** An allotment is reported again after this time even if nothing has changed. */
const REPORT_REFRESH_INTERVAL_MS = 30_000
/** How long a target counts as leaving after it refused work or could not be reached. */
const TARGET_LEAVING_TTL_MS = 2_000

/** A target as seen by an entry. */
export interface TargetView {
  readonly zone: string
  /** False once there is any sign that the target is leaving, or while connections to it fail. */
  readonly usable: boolean
}

/** Options of a slot holder. */
export interface SlotHolderOpts {
  readonly pool: string
  /** Incarnation of this entry. */
  readonly ownIncarnation: string
  readonly zone: string
  readonly clock: Clock
  readonly target: (name: string) => TargetView | undefined
  /** Current demand, running and waiting. */
  readonly demand: () => readonly Demand[]
  /** Called when slots may have become available. */
  readonly onSlotsAvailable: () => void
  /** Called when there is a change that should soon be reported to the leader. */
  readonly onReportNeeded: () => void
}

/** A slot in use. It must be released exactly once. */
export interface Slot {
  readonly target: string
  release (): void
}

interface Holding {
  held: number
  busy: number
}

interface UnconfirmedLoan {
  readonly loan: Loan
  readonly since: number
}

/** An entry's allotment of the slots of one pool. */
export class SlotHolder {
  private readonly opts: SlotHolderOpts
  private readonly holdings = new Map<string, Holding>()
  private readonly leavingUntil = new Map<string, number>()
  private avoid: ReadonlySet<string> = new Set()
  private readonly unconfirmedLoans = new Map<string, UnconfirmedLoan>()
  private token = 0
  private pendingGiveBack = 0
  private validUntil = Number.NEGATIVE_INFINITY
  private lastReportAt = Number.NEGATIVE_INFINITY
  private lastReportFingerprint = ''
  private dirty = false

  constructor (opts: SlotHolderOpts) {
    this.opts = opts
  }

  /**
   * Acquires a free slot, preferring targets in the entry's own availability zone, then the least busy target.
   * @returns the slot, or undefined if none is free or the allotment has expired
   */
  acquire (): Slot | undefined {
    if (!this.isValid()) return undefined
    const target = this.selectTarget()
    if (target === undefined) return undefined
    const holding = this.getOrCreateHolding(target)
    holding.busy += 1
    let released = false
    return {
      target,
      release: () => {
        if (released) return
        released = true
        this.release(target)
      }
    }
  }

  /** @returns whether the allotment is valid */
  isValid (): boolean {
    return this.opts.clock.now() < this.validUntil
  }

  /** @returns slots held on usable targets (`held`), slots in use on all targets (`busy`), and `held` less `busy`, at least 0 (`idle`) */
  totals (): { held: number, busy: number, idle: number } {
    let held = 0
    let busy = 0
    for (const [target, holding] of this.holdings) {
      busy += holding.busy
      if (this.usable(target)) held += holding.held
    }
    return { held, busy, idle: Math.max(0, held - busy) }
  }

  /**
   * @param target - name of a target
   * @returns slots in use on the target
   */
  busyOn (target: string): number {
    return this.holdings.get(target)?.busy ?? 0
  }

  /** @returns fencing token of the leader that this entry follows; 0 before the first leader */
  leaderToken (): number {
    return this.token
  }

  /**
   * Follows a new leader. The slots held are kept.
   * @param token - the leader's fencing token; ignored unless it is newer than the current one
   */
  follow (token: number): void {
    if (token <= this.token) return
    this.token = token
    this.pendingGiveBack = 0
    this.invalidateLastReport()
  }

  /** @returns whether there is a change that should soon be reported to the leader */
  hasUrgentChange (): boolean {
    return this.dirty
  }

  /** @returns whether the state differs from the last report, or the refresh interval has passed */
  needsReport (): boolean {
    this.dropUnusableSlots()
    if (this.opts.clock.now() - this.lastReportAt >= REPORT_REFRESH_INTERVAL_MS) return true
    return this.stateFingerprint() !== this.lastReportFingerprint
  }

  /** @returns a report of the current state for the leader */
  report (): PoolReport {
    this.dropUnusableSlots()
    this.lastReportAt = this.opts.clock.now()
    this.lastReportFingerprint = this.stateFingerprint()
    this.dirty = false
    return {
      pool: this.opts.pool,
      token: this.token,
      held: this.heldByTarget(),
      demand: this.opts.demand(),
      loans: [...this.unconfirmedLoans.values()].map(({ loan }) => loan),
      leaving: [...this.leavingUntil.keys()]
    }
  }

  /**
   * Applies the reply to a report. Must be called only with the reply to the latest report.
   * @param sentAt - when that report was sent, in milliseconds
   * @param grant - the leader's reply for this pool
   */
  applyGrant (sentAt: number, grant: PoolGrant): void {
    if (grant.token !== this.token) return
    for (const [target, slots] of Object.entries(grant.add)) this.getOrCreateHolding(target).held += slots
    this.pendingGiveBack = grant.giveBack
    this.avoid = new Set(grant.avoid)
    this.dropUnusableSlots()
    this.giveBackIdleSlots()
    this.removeConfirmedLoans(grant.settled)
    this.renew(sentAt, grant.token)
    this.opts.onSlotsAvailable()
  }

  /**
   * Extends the allotment, either on confirmation by its leader or because more than half of the members know of no
   * newer leader.
   * @param requestedAt - when the confirmation was requested, in milliseconds
   * @param token - of the leader that the confirmation refers to
   */
  renew (requestedAt: number, token: number): void {
    if (token !== this.token) return
    const wasValid = this.isValid()
    this.validUntil = Math.max(this.validUntil, requestedAt + ALLOTMENT_TTL_MS)
    if (!wasValid) this.opts.onSlotsAvailable()
  }

  /** Discards the last report, for instance because it got no reply, so that the state is reported again. */
  invalidateLastReport (): void {
    this.lastReportFingerprint = ''
    this.markDirty()
  }

  /**
   * Stops using a target for a while, because it refused work as it is leaving, or cannot be reached.
   * @param target - name of the target
   */
  markTargetLeaving (target: string): void {
    this.markDirty()
    this.leavingUntil.set(target, this.opts.clock.now() + TARGET_LEAVING_TTL_MS)
    this.dropUnusableSlots()
  }

  /**
   * Lends idle slots to a peer while the leader does not respond.
   * @param to - incarnation of the borrower
   * @param wanted - number of slots that the borrower requests
   * @returns the loans, which are reported to the leader until it confirms them
   */
  lend (to: string, wanted: number): Loan[] {
    if (!this.isValid()) return []
    const loans: Loan[] = []
    let left = wanted
    for (const [target, holding] of this.holdings) {
      const slots = this.usable(target) ? Math.min(left, holding.held - holding.busy) : 0
      if (slots <= 0) continue
      holding.held -= slots
      left -= slots
      const loan = { id: randomUUID(), from: this.opts.ownIncarnation, to, target, slots }
      loans.push(loan)
      this.unconfirmedLoans.set(loan.id, { loan, since: this.opts.clock.now() })
    }
    return loans
  }

  /**
   * Adds slots lent by a peer to the allotment.
   * @param loans - as returned by the lender
   */
  borrow (loans: readonly Loan[]): void {
    for (const loan of loans) {
      this.getOrCreateHolding(loan.target).held += loan.slots
      this.unconfirmedLoans.set(loan.id, { loan, since: this.opts.clock.now() })
    }
    this.opts.onSlotsAvailable()
  }

  private selectTarget (): string | undefined {
    let best: { target: string, sameZone: boolean, load: number } | undefined
    for (const [target, holding] of this.holdings) {
      if (holding.busy >= holding.held || !this.usable(target)) continue
      const sameZone = this.opts.target(target)?.zone === this.opts.zone
      const load = holding.busy / holding.held
      const isPreferred = best === undefined || (sameZone && !best.sameZone) || (sameZone === best.sameZone && load < best.load)
      if (isPreferred) best = { target, sameZone, load }
    }
    return best?.target
  }

  private release (target: string): void {
    const holding = this.getOrCreateHolding(target)
    holding.busy -= 1
    this.giveBackIdleSlots()
    this.dropUnusableSlots()
    this.opts.onSlotsAvailable()
  }

  private giveBackIdleSlots (): void {
    const byIdleSlots = [...this.holdings].sort(([, a], [, b]) => (b.held - b.busy) - (a.held - a.busy))
    for (const [, holding] of byIdleSlots) {
      const slots = Math.min(this.pendingGiveBack, holding.held - holding.busy)
      if (slots <= 0) continue
      holding.held -= slots
      this.pendingGiveBack -= slots
      this.markDirty()
    }
  }

  private dropUnusableSlots (): void {
    for (const [target, holding] of this.holdings) {
      if (!this.usable(target) && holding.held > holding.busy) {
        holding.held = holding.busy
        this.markDirty()
      }
      if (holding.held === 0 && holding.busy === 0) this.holdings.delete(target)
    }
    const now = this.opts.clock.now()
    for (const [target, until] of this.leavingUntil) {
      if (until < now) this.leavingUntil.delete(target)
    }
  }

  private removeConfirmedLoans (settled: readonly string[]): void {
    const removableBefore = this.opts.clock.now() - ALLOTMENT_TTL_MS
    for (const id of settled) {
      const unconfirmed = this.unconfirmedLoans.get(id)
      if (unconfirmed !== undefined && unconfirmed.since < removableBefore) this.unconfirmedLoans.delete(id)
    }
  }

  private markDirty (): void {
    if (this.dirty) return
    this.dirty = true
    this.opts.onReportNeeded()
  }

  private usable (target: string): boolean {
    if (this.avoid.has(target) || this.leavingUntil.has(target)) return false
    return this.opts.target(target)?.usable === true
  }

  private getOrCreateHolding (target: string): Holding {
    const existing = this.holdings.get(target)
    if (existing !== undefined) return existing
    const holding = { held: 0, busy: 0 }
    this.holdings.set(target, holding)
    return holding
  }

  private heldByTarget (): Record<string, number> {
    const held: Record<string, number> = {}
    for (const [target, holding] of this.holdings) {
      if (holding.held > 0) held[target] = holding.held
    }
    return held
  }

  private stateFingerprint (): string {
    return JSON.stringify([this.heldByTarget(), this.opts.demand(), [...this.leavingUntil.keys()], [...this.unconfirmedLoans.keys()]])
  }
}
