import { delay, type Clock } from '@wisteriaslip/core.result'
import type { Leadership, Member, Members } from '@wisteriaslip/peers.membership'
import type { Mirror } from '@wisteriaslip/store.mirror'
import type { PoolRuntime } from '@wisteriaslip/routing.gateway'
import { runMemberTasks } from './member-tasks.ts'
import { poolResource } from './resources.ts'
import type { CallMember } from './slot-reporter.ts'

const HEARTBEAT_MS = 3_000
const SYNC_TIMEOUT_MS = 1_000
/** An answer counts as a proof for this long. */
const PROOF_MS = 5_000

/** What a peer last said. */
export interface PeerStatus {
  readonly revision: number
  readonly storeAvailable: boolean
  readonly hearing: readonly string[]
  /** When the question left, by this entry's clock. */
  readonly askedAt: number
}

/** What peer sync needs of the entry. */
export interface PeerSyncOpts {
  readonly clock: Clock
  readonly mirror: Mirror
  readonly members: Members
  readonly leadership: Leadership
  readonly pools: () => Iterable<PoolRuntime>
  readonly call: CallMember
  readonly signal: AbortSignal
}

/** Heartbeats to all peers, one task for each; whatever a peer knows that is newer is taken over. */
export class PeerSync {
  private readonly opts: PeerSyncOpts
  private readonly statuses = new Map<string, PeerStatus>()

  constructor (opts: PeerSyncOpts) {
    this.opts = opts
  }

  /**
   * @param incarnation - of a peer
   * @returns what it last said, undefined when it has not answered
   */
  status (incarnation: string): PeerStatus | undefined {
    return this.statuses.get(incarnation)
  }

  /** @returns peers that answered a moment ago and reach the store */
  peersWithStore (): Member[] {
    const since = this.opts.clock.now() - PROOF_MS
    return this.opts.members.peers().filter(member => {
      const status = this.statuses.get(member.incarnation)
      return status !== undefined && status.askedAt >= since && status.storeAvailable
    })
  }

  /** Runs until the signal aborts. */
  async run (): Promise<void> {
    await runMemberTasks({
      members: () => this.opts.members.peers(),
      task: async (peer, signal) => await this.heartbeat(peer, signal),
      onGone: incarnation => this.statuses.delete(incarnation),
      onCheck: () => this.holdOver(),
      signal: this.opts.signal
    })
  }

  private async heartbeat (peer: Member, signal: AbortSignal): Promise<void> {
    const { self } = this.opts.members
    while (!signal.aborted) {
      const askedAt = this.opts.clock.now()
      const reply = await this.opts.call(peer, 'sync', { from: self.id, incarnation: self.incarnation, revision: this.opts.mirror.revision() }, SYNC_TIMEOUT_MS)
      if (reply.ok && reply.value.incarnation === peer.incarnation) {
        if (reply.value.delta !== undefined) this.opts.mirror.merge(reply.value.delta)
        const { revision, storeAvailable, hearing } = reply.value
        this.statuses.set(peer.incarnation, { revision, storeAvailable, hearing, askedAt })
      }
      await delay(HEARTBEAT_MS, signal)
    }
  }

  /**
   * While a pool's leader is not heard, its allotments stay in force as long as most members neither hear it
   * nor know of a newer leader: then nobody can be giving the slots to others.
   */
  private holdOver (): void {
    for (const pool of this.opts.pools()) {
      const leader = this.opts.leadership.leaderOf(poolResource(pool.pool))
      const known = leader?.token ?? pool.slots.leaderToken()
      if (known !== pool.slots.leaderToken()) continue
      const provedAt = this.provedAt(leader?.record.incarnation)
      if (provedAt !== undefined) pool.slots.renew(provedAt, known)
    }
  }

  private provedAt (leader: string | undefined): number | undefined {
    const now = this.opts.clock.now()
    const proofs = this.opts.members.peers()
      .map(peer => this.statuses.get(peer.incarnation))
      .filter(status => status !== undefined && status.askedAt >= now - PROOF_MS)
      .filter(status => leader === undefined || !status?.hearing.includes(leader))
      .map(status => status?.askedAt ?? 0)
      .sort((a, b) => b - a)
    const needed = this.opts.members.majority() - 1
    if (proofs.length < needed) return undefined
    return needed === 0 ? now : proofs[needed - 1]
  }
}
