import { delay, Wakeup, type Clock, type Result } from '@wisteriaslip/core.result'
import type { FleetConfig } from '@wisteriaslip/config.documents'
import type { Leadership, Member, Members } from '@wisteriaslip/peers.membership'
import type { PeerError, PeerService } from '@wisteriaslip/peers.protocol'
import type { PoolRuntime } from '@wisteriaslip/routing.gateway'
import { FOLLOWER_TIMEOUT_MS, LEADER_CONTACT_TIMEOUT_MS, RENEW_INTERVAL_MS, ReportBudget, ReportSchedule, type SlotReport } from '@wisteriaslip/routing.slots'
import { runMemberTasks } from './member-tasks.ts'
import { poolResource } from './resources.ts'

/** Interval between checks of a leader's link while changes wait to be reported. */
const PENDING_REPORT_CHECK_INTERVAL_MS = 25
const REPORT_TIMEOUT_MS = 800
/** Time for the leader's grant to arrive before slots are borrowed from peers. */
const BORROW_DELAY_MS = 100
const BORROW_TIMEOUT_MS = 300
const MAX_SLOTS_PER_BORROW = 8

/** Calls a method of the peer service of a member, which may be this entry itself. */
export type CallMember = <M extends keyof PeerService>(member: Member, method: M, input: Parameters<PeerService[M]>[0], timeoutMs: number) => Promise<Result<Awaited<ReturnType<PeerService[M]>>, PeerError>>

/** Options of {@link SlotReporter}. */
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
  lastReplyAt: number
  /** Whether the last report received no reply; urgent requests then use slots borrowed from peers. */
  lastReportFailed: boolean
  seq: number
}

/** Reports to each leader which slots this entry holds and needs, in one task per member and one message at a time. */
export class SlotReporter {
  private readonly opts: SlotReporterOpts
  private readonly links = new Map<string, LeaderLink>()
  private readonly nudgedBy = new Set<string>()
  private readonly borrowWakeup = new Wakeup()
  private readonly budget: ReportBudget
  private nextLenderIndex = 0

  constructor (opts: SlotReporterOpts) {
    this.opts = opts
    this.budget = new ReportBudget(opts.clock)
  }

  /** Sends reports until the signal aborts. */
  async run (): Promise<void> {
    const borrowing = this.borrowWithoutLeader()
    await runMemberTasks({
      members: () => this.opts.members.all(),
      task: async (member, signal) => await this.runLink(member, signal),
      onMemberGone: incarnation => this.links.delete(incarnation),
      signal: this.opts.signal
    })
    await borrowing
  }

  /**
   * Handles a leader's request for an immediate report.
   * @param entry - id of the leader
   */
  nudge (entry: string): void {
    this.nudgedBy.add(entry)
    this.wake()
  }

  /** Wakes all links after a change in some pool, so that each checks whether the change concerns its leader. */
  wake (): void {
    this.borrowWakeup.wake()
    for (const link of this.links.values()) link.wakeup.wake()
  }

  /** @returns incarnations of the leaders that have replied within the leader contact timeout */
  hearing (): string[] {
    const since = this.opts.clock.now() - LEADER_CONTACT_TIMEOUT_MS
    return [...this.links].filter(([, link]) => link.lastReplyAt >= since).map(([incarnation]) => incarnation)
  }

  private async runLink (member: Member, signal: AbortSignal): Promise<void> {
    const link: LeaderLink = { wakeup: new Wakeup(), schedule: new ReportSchedule(), lastReplyAt: Number.NEGATIVE_INFINITY, lastReportFailed: false, seq: 0 }
    this.links.set(member.incarnation, link)
    let sleepMs = RENEW_INTERVAL_MS
    while (await link.wakeup.sleep(sleepMs, signal)) {
      const ledPools = this.poolsLedBy(member)
      if (ledPools.length > 0 && this.isReportDue(member, link, ledPools)) await this.report(member, link, ledPools)
      sleepMs = this.hasPendingReport(member, ledPools) ? PENDING_REPORT_CHECK_INTERVAL_MS : RENEW_INTERVAL_MS
    }
  }

  private poolsLedBy (member: Member): PoolRuntime[] {
    const ledPools: PoolRuntime[] = []
    for (const pool of this.opts.pools()) {
      const leader = this.opts.leadership.leaderOf(poolResource(pool.pool))
      if (leader?.record.incarnation !== member.incarnation) continue
      pool.slots.follow(leader.token)
      ledPools.push(pool)
    }
    return ledPools
  }

  /**
   * Returns whether to report now. If so before the renew interval has passed, it also clears the leader's request for
   * an immediate report.
   */
  private isReportDue (member: Member, link: LeaderLink, ledPools: readonly PoolRuntime[]): boolean {
    const withinBudget = this.budget.canSpend()
    return link.schedule.isDue(this.opts.clock.now(), () => ({
      nudged: withinBudget && this.nudgedBy.delete(member.id),
      hasUrgentChange: withinBudget && ledPools.some(pool => pool.slots.hasUrgentChange() || (pool.isStarved() && pool.slots.needsReport()))
    }))
  }

  private hasPendingReport (member: Member, ledPools: readonly PoolRuntime[]): boolean {
    return this.nudgedBy.has(member.id) || ledPools.some(pool => pool.slots.hasUrgentChange() || pool.isStarved())
  }

  private async report (member: Member, link: LeaderLink, ledPools: readonly PoolRuntime[]): Promise<void> {
    const { self } = this.opts.members
    const sentAt = this.opts.clock.now()
    link.schedule.markSent(sentAt)
    link.seq += 1
    const heard = sentAt - link.lastReplyAt < FOLLOWER_TIMEOUT_MS
    const reportedPools = ledPools.filter(pool => pool.slots.needsReport() || pool.isStarved())
    const report: SlotReport = { from: self.id, incarnation: self.incarnation, seq: link.seq, heard, pools: reportedPools.map(pool => pool.slots.report()) }
    const reply = await this.opts.call(member, 'report', report, REPORT_TIMEOUT_MS)
    link.lastReportFailed = !reply.ok
    if (member.incarnation !== self.incarnation) this.budget.spend(JSON.stringify([report, reply.ok ? reply.value : 0]).length)
    if (!reply.ok) {
      for (const pool of reportedPools) pool.slots.invalidateLastReport()
      return
    }
    link.lastReplyAt = this.opts.clock.now()
    const grantedPools = new Set<string>()
    for (const grant of reply.value.pools) {
      grantedPools.add(grant.pool)
      ledPools.find(pool => pool.pool === grant.pool)?.slots.applyGrant(sentAt, grant)
    }
    for (const pool of ledPools) {
      if (reply.value.renewed.includes(pool.slots.leaderToken())) pool.slots.renew(sentAt, pool.slots.leaderToken())
      else if (!grantedPools.has(pool.pool)) pool.slots.invalidateLastReport()
      if (reply.value.asked.includes(pool.slots.leaderToken())) pool.slots.invalidateLastReport()
    }
  }

  private async borrowWithoutLeader (): Promise<void> {
    while (await this.borrowWakeup.sleep(RENEW_INTERVAL_MS, this.opts.signal)) {
      await delay(BORROW_DELAY_MS, this.opts.signal)
      for (const pool of this.opts.pools()) {
        const wanted = this.urgentShortfall(pool)
        if (wanted > 0) await this.borrow(pool, wanted)
      }
    }
  }

  private urgentShortfall (pool: PoolRuntime): number {
    if (!pool.isStarved() || !pool.slots.isValid() || this.hasResponsiveLeader(pool)) return 0
    const ranks = [...this.opts.config()?.classes.values() ?? []].map(each => each.rank)
    return Math.min(MAX_SLOTS_PER_BORROW, pool.queue.waitingUpToRank(Math.min(...ranks)))
  }

  private hasResponsiveLeader (pool: PoolRuntime): boolean {
    const leader = this.opts.leadership.leaderOf(poolResource(pool.pool))
    const link = leader === undefined ? undefined : this.links.get(leader.record.incarnation)
    return link !== undefined && !link.lastReportFailed
  }

  private async borrow (pool: PoolRuntime, wanted: number): Promise<void> {
    const peers = this.opts.members.peers()
    const peer = peers[this.nextLenderIndex % Math.max(1, peers.length)]
    this.nextLenderIndex += 1
    if (peer === undefined) return
    const loans = await this.opts.call(peer, 'borrow', { pool: pool.pool, to: this.opts.members.self.incarnation, slots: wanted }, BORROW_TIMEOUT_MS)
    if (loans.ok && loans.value.length > 0) pool.slots.borrow(loans.value)
  }
}
