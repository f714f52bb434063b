import { delay, type Clock } from '@wisteriaslip/core.result'
import type { Leadership, Member, Members } from '@wisteriaslip/peers.membership'
import type { Mirror } from '@wisteriaslip/store.mirror'
import type { PoolRuntime } from '@wisteriaslip/routing.gateway'
import { runMemberTasks } from './member-tasks.ts'
import { poolResource } from './resources.ts'
import type { CallMember } from './slot-reporter.ts'

const HEARTBEAT_INTERVAL_MS = 3_000
const SYNC_TIMEOUT_MS = 1_000
/** A peer's reply counts as proof of its status for this long. */
const PEER_STATUS_TTL_MS = 5_000

/** Status of a peer, from its last reply. */
export interface PeerStatus {
  readonly revision: number
  readonly storeAvailable: boolean
  readonly hearing: readonly string[]
  /** When the request was sent, by this entry's clock. */
  readonly requestedAt: number
}

/** Options of {@link PeerSync}. */
export interface PeerSyncOpts {
  readonly clock: Clock
  readonly mirror: Mirror
  readonly members: Members
  readonly leadership: Leadership
  readonly pools: () => Iterable<PoolRuntime>
  readonly call: CallMember
  readonly signal: AbortSignal
}

/**
 * Sends heartbeats to all peers, in one task per peer, and merges newer state from their replies into the mirror. Extends
 * allotments without the leader as long as enough peers report no contact with it.
 */
export class PeerSync {
  private readonly opts: PeerSyncOpts
  private readonly statuses = new Map<string, PeerStatus>()

  constructor (opts: PeerSyncOpts) {
    this.opts = opts
  }

  /**
   * @param incarnation - incarnation of a peer
   * @returns status from the peer's last reply, undefined if it has not replied
   */
  status (incarnation: string): PeerStatus | undefined {
    return this.statuses.get(incarnation)
  }

  /** @returns peers that recently replied that they reach the store */
  peersWithStore (): Member[] {
    const since = this.opts.clock.now() - PEER_STATUS_TTL_MS
    return this.opts.members.peers().filter(member => {
      const status = this.statuses.get(member.incarnation)
      return status !== undefined && status.requestedAt >= since && status.storeAvailable
    })
  }

  /** Sends heartbeats until the signal aborts. */
  async run (): Promise<void> {
    await runMemberTasks({
      members: () => this.opts.members.peers(),
      task: async (peer, signal) => await this.sendHeartbeats(peer, signal),
      onMemberGone: incarnation => this.statuses.delete(incarnation),
      onCheck: () => this.extendWithoutLeader(),
      signal: this.opts.signal
    })
  }

  private async sendHeartbeats (peer: Member, signal: AbortSignal): Promise<void> {
    const { self } = this.opts.members
    while (!signal.aborted) {
      const requestedAt = this.opts.clock.now()
      const reply = await this.opts.call(peer, 'sync', { from: self.id, incarnation: self.incarnation, revision: this.opts.mirror.revision() }, SYNC_TIMEOUT_MS)
      if (reply.ok && reply.value.incarnation === peer.incarnation) {
        if (reply.value.delta !== undefined) this.opts.mirror.merge(reply.value.delta)
        const { revision, storeAvailable, hearing } = reply.value
        this.statuses.set(peer.incarnation, { revision, storeAvailable, hearing, requestedAt })
      }
      await delay(HEARTBEAT_INTERVAL_MS, signal)
    }
  }

  /**
   * Extends the allotments of pools for which this entry knows no newer leader, as long as enough peers report no
   * contact with the known leader, if any, to form a majority together with this entry: then no leader can be granting
   * the slots to other entries.
   */
  private extendWithoutLeader (): void {
    for (const pool of this.opts.pools()) {
      const leader = this.opts.leadership.leaderOf(poolResource(pool.pool))
      const newestToken = leader?.token ?? pool.slots.leaderToken()
      if (newestToken !== pool.slots.leaderToken()) continue
      const provenAt = this.provenLeaderlessAt(leader?.record.incarnation)
      if (provenAt !== undefined) pool.slots.renew(provenAt, newestToken)
    }
  }

  /**
   * Returns the latest time at which enough peers are proven to have had no contact with the leader to form a majority
   * together with this entry, which is counted without a check.
   */
  private provenLeaderlessAt (leader: string | undefined): number | undefined {
    const now = this.opts.clock.now()
    const requestTimes = this.opts.members.peers()
      .map(peer => this.statuses.get(peer.incarnation))
      .filter(status => status !== undefined && status.requestedAt >= now - PEER_STATUS_TTL_MS)
      .filter(status => leader === undefined || !status?.hearing.includes(leader))
      .map(status => status?.requestedAt ?? 0)
      .sort((a, b) => b - a)
    const requiredReplies = this.opts.members.majority() - 1
    if (requestTimes.length < requiredReplies) return undefined
    return requiredReplies === 0 ? now : requestTimes[requiredReplies - 1]
  }
}
