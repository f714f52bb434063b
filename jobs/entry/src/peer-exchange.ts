import { delay, type Clock } from '@wisteriaslip/core.result'
import type { JobPeerService } from '@wisteriaslip/jobs.protocol'
import type { Member, Members } from '@wisteriaslip/peers.membership'
import type { PeerClients, RelayRequest, RelayReply } from '@wisteriaslip/peers.protocol'
import type { Mirror } from '@wisteriaslip/store.mirror'
import type { SiteView } from './site-view.ts'

const PERIOD_MS = 1_000
const PEERS_PER_ROUND = 1
/** An entry without the store depends on its peers. */
const PEERS_PER_ROUND_CUT_OFF = 2
const SYNC_TIMEOUT_MS = 600
/** An answer counts as news of a peer's state for this long. */
const FRESH_MS = 4_000
const RELAY_TIMEOUT_MS = 700

/** A configuration that a peer has is looked for there only when the store has not brought it within this time. */
const BEHIND_MS = 600

/** Options of {@link PeerExchange}. */
export interface PeerExchangeOpts {
  readonly members: Members
  readonly mirror: Mirror
  readonly site: SiteView
  readonly clients: PeerClients<JobPeerService>
  readonly clock: Clock
  /** @returns whether this entry itself reaches the store */
  readonly hasStore: () => boolean
}

/** Learns from a few peers in turn what they know that is newer, and which of them reach the store. */
export class PeerExchange {
  private readonly opts: PeerExchangeOpts
  private readonly withStore = new Map<string, number>()
  /** Newest version of the configuration that a peer told of, and when that was newer than ours. */
  private newest = { version: -1, since: 0 }
  private turn = 0

  constructor (opts: PeerExchangeOpts) {
    this.opts = opts
  }

  /** Runs until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (await delay(PERIOD_MS, signal)) {
      await this.askAll(this.nextPeers(), signal)
    }
  }

  /** @returns the peers whose turn it is */
  nextPeers (): Member[] {
    const peers = this.opts.members.peers()
    const wanted = this.opts.hasStore() ? PEERS_PER_ROUND : PEERS_PER_ROUND_CUT_OFF
    const round = Array.from({ length: Math.min(wanted, peers.length) }, () => peers[this.turn++ % peers.length])
    return round.filter(peer => peer !== undefined)
  }

  /**
   * Learns from peers what they know.
   * @param peers - to ask
   */
  async askAll (peers: readonly Member[], signal: AbortSignal): Promise<void> {
    await Promise.all(peers.map(async peer => await this.ask(peer, signal)))
  }

  /**
   * Makes a store call through a peer that has the store.
   * @param call - to be made there
   * @returns its answer, undefined when no peer could make it
   */
  async relay (call: RelayRequest, signal: AbortSignal | undefined): Promise<RelayReply | undefined> {
    const peer = this.peerWithStore()
    if (peer === undefined) return undefined
    const reply = await this.opts.clients.call(peer.peerAddress, 'relay', call, { timeoutMs: RELAY_TIMEOUT_MS, ...(signal === undefined ? {} : { signal }) })
    const usable = reply.ok && (reply.value.ok || reply.value.error.kind === 'refused')
    if (!usable) this.withStore.delete(peer.incarnation)
    return reply.ok ? reply.value : undefined
  }

  private async ask (peer: Member, signal: AbortSignal): Promise<void> {
    const { members, mirror, site, clients, clock } = this.opts
    const req = { from: members.self.incarnation, revision: mirror.revision(), ...(this.needsConfig() ? { configVersion: this.configVersion() } : {}) }
    const reply = await clients.call(peer.peerAddress, 'sync', req, { timeoutMs: SYNC_TIMEOUT_MS, signal })
    if (!reply.ok) {
      this.withStore.delete(peer.incarnation)
      return
    }
    if (reply.value.delta !== undefined) mirror.merge(reply.value.delta)
    if (reply.value.config !== undefined) site.offerConfig(reply.value.config)
    this.noteVersion(reply.value.configVersion)
    if (reply.value.storeAvailable) this.withStore.set(peer.incarnation, clock.now())
    else this.withStore.delete(peer.incarnation)
  }

  private configVersion (): number {
    return this.opts.site.config()?.version ?? -1
  }

  private needsConfig (): boolean {
    if (!this.opts.hasStore() || this.configVersion() < 0) return true
    return this.newest.version > this.configVersion() && this.opts.clock.now() - this.newest.since >= BEHIND_MS
  }

  private noteVersion (version: number): void {
    const wasBehind = this.newest.version > this.configVersion()
    if (version > this.newest.version) this.newest = { version, since: wasBehind ? this.newest.since : this.opts.clock.now() }
  }

  private peerWithStore (): Member | undefined {
    const since = this.opts.clock.now() - FRESH_MS
    return this.opts.members.peers().find(peer => (this.withStore.get(peer.incarnation) ?? Number.NEGATIVE_INFINITY) >= since)
  }
}
