import { delay, Wakeup, type Clock, type Result } from '@wisteriaslip/core.result'
import type { FleetConfig } from '@wisteriaslip/config.documents'
import type { Leadership, Member, Members } from '@wisteriaslip/peers.membership'
import type { PeerError, PeerService } from '@wisteriaslip/peers.protocol'
import type { PoolRuntime } from '@wisteriaslip/routing.gateway'
import { FOLLOWER_TIMEOUT_MS, LEADER_CONTACT_TIMEOUT_MS, RENEW_INTERVAL_MS, ReportBudget, ReportSchedule, type SlotReport } from '@wisteriaslip/routing.slots'
import { runMemberTasks } from './member-tasks.ts'
import { poolResource } from './resources.ts'

/** While there is news, links are looked at this often. */
const NEWS_TICK_MS = 25
const REPORT_TIMEOUT_MS = 800
const BORROW_GAP_MS = 100
const BORROW_TIMEOUT_MS = 300
const MAX_BORROWED_SLOTS = 8

/** Calls a method of a peer, or of this entry itself. */
export type CallMember = <M extends keyof PeerService>(member: Member, method: M, input: Parameters<PeerService[M]>[0], timeoutMs: number) => Promise<Result<Awaited<ReturnType<PeerService[M]>>, PeerError>>

/** What the reporter needs of the entry. */
export interface SlotReporterOpts {
  readonly clock: Clock
  readonly members: Members
  readonly leadership: Leadership
  readonly pools: () => Iterable<PoolRuntime>
  readonly config: () => FleetConfig | undefined
  readonly call: CallMember
  readonly signal: AbortSignal
}

interface LeaderLink {
  readonly wakeup: Wakeup
  readonly schedule: ReportSchedule
  heardAt: number
  /** Whether the last report got no answer: urgent work then borrows slots from peers. */
  failing: boolean
  seq: number
}

/** Tells each leader what this entry holds and needs: one task for each member, one message at a time. */
export class SlotReporter {
  private readonly opts: SlotReporterOpts
  private readonly links = new Map<string, LeaderLink>()
  private readonly nudged = new Set<string>()
  private readonly starving = new Wakeup()
  private readonly budget: ReportBudget
  private borrowTurn = 0

  constructor (opts: SlotReporterOpts) {
    this.opts = opts
    this.budget = new ReportBudget(opts.clock)
  }

  /** Runs until the signal aborts. */
  async run (): Promise<void> {
    const borrowing = this.borrowWhileUnled()
    await runMemberTasks({
      members: () => this.opts.members.all(),
      task: async (member, signal) => await this.serveLink(member, signal),
      onGone: incarnation => this.links.delete(incarnation),
      signal: this.opts.signal
    })
    await borrowing
  }

  /**
   * A leader asks for a report at once.
   * @param entry - id of the leader
   */
  nudge (entry: string): void {
    this.nudged.add(entry)
    this.wake()
  }

  /** There is news in some pool: every link looks whether it is for its leader. */
  wake (): void {
    this.starving.wake()
    for (const link of this.links.values()) link.wakeup.wake()
  }

  /** @returns incarnations of the leaders that answered lately */
  hearing (): string[] {
    const since = this.opts.clock.now() - LEADER_CONTACT_TIMEOUT_MS
    return [...this.links].filter(([, link]) => link.heardAt >= since).map(([incarnation]) => incarnation)
  }

  private async serveLink (member: Member, signal: AbortSignal): Promise<void> {
    const link: LeaderLink = { wakeup: new Wakeup(), schedule: new ReportSchedule(), heardAt: Number.NEGATIVE_INFINITY, failing: false, seq: 0 }
    this.links.set(member.incarnation, link)
    let restMs = RENEW_INTERVAL_MS
    while (await link.wakeup.sleep(restMs, signal)) {
      const led = this.ledBy(member)
      if (led.length > 0 && this.isDue(member, link, led)) await this.report(member, link, led)
      restMs = this.hasNews(member, led) ? NEWS_TICK_MS : RENEW_INTERVAL_MS
    }
  }

  private ledBy (member: Member): PoolRuntime[] {
    const led: PoolRuntime[] = []
    for (const pool of this.opts.pools()) {
      const leader = this.opts.leadership.leaderOf(poolResource(pool.pool))
      if (leader?.record.incarnation !== member.incarnation) continue
      pool.slots.follow(leader.token)
      led.push(pool)
    }
    return led
  }

  private isDue (member: Member, link: LeaderLink, led: readonly PoolRuntime[]): boolean {
    const hasRoom = this.budget.canSpend()
    return link.schedule.isDue(this.opts.clock.now(), () => ({
      nudged: hasRoom && this.nudged.delete(member.id),
      constraintViolated: hasRoom && led.some(pool => pool.slots.isDirty() || (pool.isStarved() && pool.slots.needsReport()))
    }))
  }

  private hasNews (member: Member, led: readonly PoolRuntime[]): boolean {
    return this.nudged.has(member.id) || led.some(pool => pool.slots.isDirty() || pool.isStarved())
  }

  private async report (member: Member, link: LeaderLink, led: readonly PoolRuntime[]): Promise<void> {
    const { self } = this.opts.members
    const sentAt = this.opts.clock.now()
    link.schedule.markSent(sentAt)
    link.seq += 1
    const heard = sentAt - link.heardAt < FOLLOWER_TIMEOUT_MS
    const told = led.filter(pool => pool.slots.needsReport() || pool.isStarved())
    const report: SlotReport = { from: self.id, incarnation: self.incarnation, seq: link.seq, heard, pools: told.map(pool => pool.slots.report()) }
    const reply = await this.opts.call(member, 'report', report, REPORT_TIMEOUT_MS)
    link.failing = !reply.ok
    if (member.incarnation !== self.incarnation) this.budget.spend(JSON.stringify([report, reply.ok ? reply.value : 0]).length)
    if (!reply.ok) {
      for (const pool of told) pool.slots.invalidateLastReport()
      return
    }
    link.heardAt = this.opts.clock.now()
    const answered = new Set<string>()
    for (const grant of reply.value.pools) {
      answered.add(grant.pool)
      led.find(pool => pool.pool === grant.pool)?.slots.applyGrant(sentAt, grant)
    }
    for (const pool of led) {
      if (reply.value.renewed.includes(pool.slots.leaderToken())) pool.slots.renew(sentAt, pool.slots.leaderToken())
      else if (!answered.has(pool.pool)) pool.slots.invalidateLastReport()
      if (reply.value.asked.includes(pool.slots.leaderToken())) pool.slots.invalidateLastReport()
    }
  }

  private async borrowWhileUnled (): Promise<void> {
    while (await this.starving.sleep(RENEW_INTERVAL_MS, this.opts.signal)) {
      await delay(BORROW_GAP_MS, this.opts.signal)
      for (const pool of this.opts.pools()) {
        const wanted = this.urgentlyMissing(pool)
        if (wanted > 0) await this.borrow(pool, wanted)
      }
    }
  }

  private urgentlyMissing (pool: PoolRuntime): number {
    if (!pool.isStarved() || !pool.slots.isValid() || this.isLed(pool)) return 0
    const ranks = [...this.opts.config()?.classes.values() ?? []].map(each => each.rank)
    return Math.min(MAX_BORROWED_SLOTS, pool.queue.waitingUpToRank(Math.min(...ranks)))
  }

  private isLed (pool: PoolRuntime): boolean {
    const leader = this.opts.leadership.leaderOf(poolResource(pool.pool))
    const link = leader === undefined ? undefined : this.links.get(leader.record.incarnation)
    return link !== undefined && !link.failing
  }

  private async borrow (pool: PoolRuntime, wanted: number): Promise<void> {
    const peers = this.opts.members.peers()
    const peer = peers[this.borrowTurn % Math.max(1, peers.length)]
    this.borrowTurn += 1
    if (peer === undefined) return
    const loans = await this.opts.call(peer, 'borrow', { pool: pool.pool, to: this.opts.members.self.incarnation, slots: wanted }, BORROW_TIMEOUT_MS)
    if (loans.ok && loans.value.length > 0) pool.slots.borrow(loans.value)
  }
}
