import { randomUUID } from 'node:crypto'
import type { Clock } from '@wisteriaslip/core.result'
import { ALLOTMENT_TTL_MS } from './timeouts.ts'
import type { Demand, Loan, PoolGrant, PoolReport } from './messages.ts'

/** An unreported allotment is reported again after this time even if nothing changed. */
const REFRESH_MS = 30_000
/** How long a refusal counts as a sign that a target is leaving. */
const LEAVING_MS = 2_000

/** How an entry sees a target. */
export interface TargetView {
  readonly zone: string
  /** False once any sign says that it is leaving, or while its connections fail. */
  readonly usable: boolean
}

/** Options of a holder. */
export interface SlotHolderOpts {
  readonly pool: string
  /** Incarnation of this entry. */
  readonly ownIncarnation: string
  readonly zone: string
  readonly clock: Clock
  readonly target: (name: string) => TargetView | undefined
  /** Work running and waiting now. */
  readonly demand: () => readonly Demand[]
  /** Told when slots may have become available. */
  readonly onSlotsAvailable: () => void
  /** Told when there is something that the leader should hear of soon. */
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

interface OpenLoan {
  readonly loan: Loan
  readonly since: number
}

/** An entry's allotment of one pool's slots. */
export class SlotHolder {
  private readonly opts: SlotHolderOpts
  private readonly holdings = new Map<string, Holding>()
  private readonly leavingUntil = new Map<string, number>()
  private avoid: ReadonlySet<string> = new Set()
  private readonly openLoans = new Map<string, OpenLoan>()
  private token = 0
  private toGiveBack = 0
  private validUntil = Number.NEGATIVE_INFINITY
  private lastReportAt = Number.NEGATIVE_INFINITY
  private lastReported = ''
  private dirty = false

  constructor (opts: SlotHolderOpts) {
    this.opts = opts
  }

  /**
   * Takes a free slot: near targets first, then the least busy.
   * @returns the slot, undefined when none is free or the allotment is no longer proved to be in force
   */
  acquire (): Slot | undefined {
    if (!this.isValid()) return undefined
    const target = this.pick()
    if (target === undefined) return undefined
    const holding = this.holding(target)
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

  /** @returns whether the allotment is in force */
  isValid (): boolean {
    return this.opts.clock.now() < this.validUntil
  }

  /** @returns slots held and in use on all targets */
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
   * @returns slots in use there
   */
  busyOn (target: string): number {
    return this.holdings.get(target)?.busy ?? 0
  }

  /** @returns the fencing token of the leader that this entry follows; 0 before the first */
  leaderToken (): number {
    return this.token
  }

  /**
   * Follows a new leader. What is held stays held.
   * @param token - its fencing token; an older one than known is ignored
   */
  follow (token: number): void {
    if (token <= this.token) return
    this.token = token
    this.toGiveBack = 0
    this.invalidateLastReport()
  }

  /** @returns whether something changed that the leader should hear of soon */
  isDirty (): boolean {
    return this.dirty
  }

  /** @returns whether there is news for the leader, or it is time to say everything again */
  needsReport (): boolean {
    this.shedUnusable()
    if (this.opts.clock.now() - this.lastReportAt >= REFRESH_MS) return true
    return this.fingerprint() !== this.lastReported
  }

  /** @returns the report for the leader, as of now */
  report (): PoolReport {
    this.shedUnusable()
    this.lastReportAt = this.opts.clock.now()
    this.lastReported = this.fingerprint()
    this.dirty = false
    return {
      pool: this.opts.pool,
      token: this.token,
      held: this.heldByTarget(),
      demand: this.opts.demand(),
      loans: [...this.openLoans.values()].map(({ loan }) => loan),
      leaving: [...this.leavingUntil.keys()]
    }
  }

  /**
   * Takes in the answer to a report. Only the answer to the latest report may be given here.
   * @param sentAt - when that report left
   * @param grant - of the leader
   */
  applyGrant (sentAt: number, grant: PoolGrant): void {
    if (grant.token !== this.token) return
    for (const [target, slots] of Object.entries(grant.add)) this.holding(target).held += slots
    this.toGiveBack = grant.giveBack
    this.avoid = new Set(grant.avoid)
    this.shedUnusable()
    this.giveBackIdle()
    this.dropSettled(grant.settled)
    this.renew(sentAt, grant.token)
    this.opts.onSlotsAvailable()
  }

  /**
   * The allotment stays in force, as its leader said, or as more than half of the members know of no newer leader.
   * @param provedAt - when the proof was asked for
   * @param token - of the leader that the proof names
   */
  renew (provedAt: number, token: number): void {
    if (token !== this.token) return
    const before = this.isValid()
    this.validUntil = Math.max(this.validUntil, provedAt + ALLOTMENT_TTL_MS)
    if (!before) this.opts.onSlotsAvailable()
  }

  /** The next check for news finds some: the last report was not answered. */
  invalidateLastReport (): void {
    this.lastReported = ''
    this.markDirty()
  }

  /**
   * Notes that a target refused work because it is leaving.
   * @param target - name of the target
   */
  markTargetLeaving (target: string): void {
    this.markDirty()
    this.leavingUntil.set(target, this.opts.clock.now() + LEAVING_MS)
    this.shedUnusable()
  }

  /**
   * Gives idle slots to a peer while the leader does not answer.
   * @param to - incarnation of the borrower
   * @param wanted - how many it asks for
   * @returns the loans; they are reported to the leader until it confirms them
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
      this.openLoans.set(loan.id, { loan, since: this.opts.clock.now() })
    }
    return loans
  }

  /**
   * Takes in slots lent by a peer.
   * @param loans - as the lender gave them
   */
  borrow (loans: readonly Loan[]): void {
    for (const loan of loans) {
      this.holding(loan.target).held += loan.slots
      this.openLoans.set(loan.id, { loan, since: this.opts.clock.now() })
    }
    this.opts.onSlotsAvailable()
  }

  private pick (): string | undefined {
    let best: { target: string, near: boolean, load: number } | undefined
    for (const [target, holding] of this.holdings) {
      if (holding.busy >= holding.held || !this.usable(target)) continue
      const near = this.opts.target(target)?.zone === this.opts.zone
      const load = holding.busy / holding.held
      const better = best === undefined || (near && !best.near) || (near === best.near && load < best.load)
      if (better) best = { target, near, load }
    }
    return best?.target
  }

  private release (target: string): void {
    const holding = this.holding(target)
    holding.busy -= 1
    this.giveBackIdle()
    this.shedUnusable()
    this.opts.onSlotsAvailable()
  }

  private giveBackIdle (): void {
    const byLoad = [...this.holdings].sort(([, a], [, b]) => (b.held - b.busy) - (a.held - a.busy))
    for (const [, holding] of byLoad) {
      const slots = Math.min(this.toGiveBack, holding.held - holding.busy)
      if (slots <= 0) continue
      holding.held -= slots
      this.toGiveBack -= slots
      this.markDirty()
    }
  }

  private shedUnusable (): void {
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

  private dropSettled (settled: readonly string[]): void {
    const before = this.opts.clock.now() - ALLOTMENT_TTL_MS
    for (const id of settled) {
      const open = this.openLoans.get(id)
      if (open !== undefined && open.since < before) this.openLoans.delete(id)
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

  private holding (target: string): Holding {
    const known = this.holdings.get(target)
    if (known !== undefined) return known
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

  private fingerprint (): string {
    return JSON.stringify([this.heldByTarget(), this.opts.demand(), [...this.leavingUntil.keys()], [...this.openLoans.keys()]])
  }
}
