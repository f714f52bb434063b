import { delay, type Clock } from '@wisteriaslip/core.result'
import type { JobPeerService } from '@wisteriaslip/jobs.protocol'
import type { Member, Members } from '@wisteriaslip/peers.membership'
import { toRelayReply, type PeerCaller, type RelayRequest, type RelayReply } from '@wisteriaslip/peers.protocol'
import type { Mirror } from '@wisteriaslip/store.mirror'
import type { SiteView } from './site-view.ts'

const SYNC_INTERVAL_MS = 1_000
const PEERS_PER_ROUND = 1
/** An entry without store access depends on its peers. */
const PEERS_PER_ROUND_WITHOUT_STORE = 2
const SYNC_TIMEOUT_MS = 600
/** A peer's report that it reaches the store stays valid for this long. */
const STORE_ACCESS_TTL_MS = 4_000
/** A member may run on after its record was removed, and register again at any time; after this time it is forgotten. */
const FORMER_MEMBER_TTL_MS = 20_000
/** An entry waits this long for the reply of a peer to a relayed call, in milliseconds. */
export const RELAY_TIMEOUT_MS = 700

/** A newer configuration is requested from a peer only when the store has not delivered it within this time. */
const CONFIG_FROM_PEER_DELAY_MS = 600

/** Options of {@link PeerSync}. */
export interface PeerSyncOpts {
  readonly members: Members
  readonly mirror: Mirror
  readonly site: SiteView
  readonly clients: PeerCaller<JobPeerService>
  readonly clock: Clock
  /** @returns whether this entry reaches the store directly */
  readonly hasStoreAccess: () => boolean
}

/** Syncs newer state from a few peers in turn, and tracks which of them reach the store. */
export class PeerSync {
  private readonly opts: PeerSyncOpts
  /** Time of the last report of store access, by the peer's incarnation. */
  private readonly storeAccessReportedAt = new Map<string, number>()
  /** When the last sync was requested that succeeded, or that no process was there to answer, by the peer's incarnation. */
  private readonly syncedAt = new Map<string, number>()
  /** Members that were listed within {@link FORMER_MEMBER_TTL_MS}, by id, and when they last were. */
  private readonly lastListed = new Map<string, { member: Member, at: number }>()
  /** Newest configuration version that a peer reported, and since when this entry has been behind. */
  private newestPeerConfig = { version: -1, since: 0 }
  private nextPeerIndex = 0

  constructor (opts: PeerSyncOpts) {
    this.opts = opts
  }

  /** Syncs with peers until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (await delay(SYNC_INTERVAL_MS, signal)) {
      await this.syncWithPeers(this.nextPeers(), signal)
    }
  }

  /** @returns the peers of the next round, in round-robin order */
  nextPeers (): Member[] {
    const peers = this.opts.members.peers()
    const maxPeers = this.opts.hasStoreAccess() ? PEERS_PER_ROUND : PEERS_PER_ROUND_WITHOUT_STORE
    const round = Array.from({ length: Math.min(maxPeers, peers.length) }, () => peers[this.nextPeerIndex++ % peers.length])
    return round.filter(peer => peer !== undefined)
  }

  /** @returns the other members, and former ones that may have lost the store only for a while */
  membersThatMayRun (): Member[] {
    const listed = this.opts.members.peers()
    const ids = new Set(listed.map(member => member.id))
    const since = this.opts.clock.now() - FORMER_MEMBER_TTL_MS
    const former = [...this.lastListed.values()].filter(({ member, at }) => !ids.has(member.id) && at >= since)
    return [...listed, ...former.map(({ member }) => member)]
  }

  private noteMembers (): void {
    const now = this.opts.clock.now()
    for (const member of this.opts.members.peers()) this.lastListed.set(member.id, { member, at: now })
    for (const [id, { member, at }] of this.lastListed) {
      if (now - at <= FORMER_MEMBER_TTL_MS) continue
      this.lastListed.delete(id)
      this.syncedAt.delete(member.incarnation)
    }
  }

  /**
   * @returns latest time of the injected clock after which this entry has synced with all members that may run: what it knows
   * is what they knew then, or newer. Negative infinity if it knows no other member
   */
  allSyncedAt (): number {
    const times = this.membersThatMayRun().map(peer => this.syncedAt.get(peer.incarnation) ?? Number.NEGATIVE_INFINITY)
    return times.length === 0 ? Number.NEGATIVE_INFINITY : Math.min(...times)
  }

  /**
   * Applies newer state of the given peers.
   * @param peers - peers to sync with
   * @param signal - aborts the calls
   */
  async syncWithPeers (peers: readonly Member[], signal: AbortSignal): Promise<void> {
    this.noteMembers()
    await Promise.all(peers.map(async peer => await this.syncWithPeer(peer, signal)))
  }

  /**
   * Relays a store call through a peer that reaches the store.
   * @param call - the store call
   * @param signal - aborts the call
   * @returns the peer's reply, `lost` without one; undefined when no peer reaches the store
   */
  async relay (call: RelayRequest, signal: AbortSignal | undefined): Promise<RelayReply | undefined> {
    const peer = this.peerWithStore()
    if (peer === undefined) return undefined
    const reply = toRelayReply(await this.opts.clients.call(peer.peerAddress, 'relay', call, { timeoutMs: RELAY_TIMEOUT_MS, ...(signal === undefined ? {} : { signal }) }))
    if (!reply.ok && reply.error.kind === 'lost') this.storeAccessReportedAt.delete(peer.incarnation)
    return reply
  }

  private async syncWithPeer (peer: Member, signal: AbortSignal): Promise<void> {
    const { members, mirror, site, clients, clock } = this.opts
    const requestedAt = clock.now()
    const req = { from: members.self.incarnation, revision: mirror.revision(), ...(this.needsConfig() ? { configVersion: this.configVersion() } : {}) }
    const reply = await clients.call(peer.peerAddress, 'sync', req, { timeoutMs: SYNC_TIMEOUT_MS, signal })
    if (!reply.ok) {
      if (reply.error.refused === true) this.syncedAt.set(peer.incarnation, requestedAt)
      this.storeAccessReportedAt.delete(peer.incarnation)
      return
    }
    if (reply.value.delta !== undefined) mirror.merge(reply.value.delta)
    this.syncedAt.set(peer.incarnation, requestedAt)
    if (reply.value.config !== undefined) site.applyPeerConfigIfNewer(reply.value.config)
    this.recordPeerVersion(reply.value.configVersion)
    if (reply.value.storeAvailable) this.storeAccessReportedAt.set(peer.incarnation, clock.now())
    else this.storeAccessReportedAt.delete(peer.incarnation)
  }

  private configVersion (): number {
    return this.opts.site.config()?.version ?? -1
  }

  private needsConfig (): boolean {
    if (!this.opts.hasStoreAccess() || this.configVersion() < 0) return true
    return this.newestPeerConfig.version > this.configVersion() && this.opts.clock.now() - this.newestPeerConfig.since >= CONFIG_FROM_PEER_DELAY_MS
  }

  private recordPeerVersion (version: number): void {
    const wasBehind = this.newestPeerConfig.version > this.configVersion()
    if (version > this.newestPeerConfig.version) this.newestPeerConfig = { version, since: wasBehind ? this.newestPeerConfig.since : this.opts.clock.now() }
  }

  private peerWithStore (): Member | undefined {
    const since = this.opts.clock.now() - STORE_ACCESS_TTL_MS
    return this.opts.members.peers().find(peer => (this.storeAccessReportedAt.get(peer.incarnation) ?? Number.NEGATIVE_INFINITY) >= since)
  }
}
