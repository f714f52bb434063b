import { randomUUID } from 'node:crypto'
import { systemClock, type Clock } from '@wisteriaslip/core.result'
import { DecisionLog } from '@wisteriaslip/core.decisions'
import { topicLogger, type Logger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { Settings } from '@wisteriaslip/config.settings'
import { DocumentView, FleetView } from '@wisteriaslip/fleet.view'
import { EntryLease, StoreKeys, Leadership, Members, type Member } from '@wisteriaslip/peers.membership'
import { EtcdGateway } from '@wisteriaslip/store.etcd-gateway'
import { Mirror } from '@wisteriaslip/store.mirror'
import { StoreClient, type Driver } from '@wisteriaslip/store.client'
import { PeerClients, RelayDriver, type RelayRequest, type RelayReply } from '@wisteriaslip/peers.protocol'

/** Parts of an entry that hold what it knows; none of it must last. */
export interface EntryState {
  readonly settings: Settings
  readonly peerKey: string | undefined
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly decisions: DecisionLog
  readonly keys: StoreKeys
  readonly mirror: Mirror
  readonly driver: Driver
  readonly store: StoreClient
  /** @returns whether this entry itself reaches the store, not through a peer */
  readonly hasStore: () => boolean
  readonly peers: PeerClients
  readonly members: Members
  readonly lease: EntryLease
  readonly leadership: Leadership
  readonly documents: DocumentView
  readonly fleet: FleetView
}

/** What the state is made from. */
export interface EntryStateOpts {
  readonly settings: Settings
  readonly peerKey: string | undefined
  readonly logger: Logger
  /** Address of the peers' server, once it listens. */
  readonly peerAddress: { readonly host: string, readonly port: number }
  readonly signal: AbortSignal
  readonly relay: (call: RelayRequest, signal: AbortSignal | undefined) => Promise<RelayReply | undefined>
}

/**
 * Puts together what an entry knows.
 * @param opts - settings and surroundings
 * @returns the parts; nothing runs yet
 */
export function createState (opts: EntryStateOpts): EntryState {
  const { settings, logger } = opts
  const clock = systemClock
  const metrics = new Metrics()
  const keys = new StoreKeys(settings.store.prefix)
  const mirror = new Mirror()
  const driver = new EtcdGateway(settings.store.endpoints)
  const relayed = new RelayDriver(driver, opts.relay)
  const store = new StoreClient(relayed, {
    readsPerSecond: settings.store.readsPerSecond,
    writesPerSecond: settings.store.writesPerSecond,
    callTimeoutMs: settings.store.callTimeoutMs,
    metrics,
    clock
  })
  const self: Member = { id: settings.id, incarnation: randomUUID(), region: settings.region, zone: settings.zone, peerAddress: opts.peerAddress }
  const members = new Members(self, mirror, keys)
  const lease = new EntryLease(store, { ttlMs: settings.store.leaseTtlMs, clock, logger: topicLogger(logger, 'lease'), signal: opts.signal })
  const leadership = new Leadership({ store, mirror, members, lease, keys, clock, logger: topicLogger(logger, 'leadership') })
  const documents = new DocumentView(mirror, keys.documents)
  const fleet = new FleetView({ documents, mirror, assignments: keys.assignments, ledgers: keys.ledgers })
  const peers = new PeerClients({ key: opts.peerKey, metrics })
  const decisions = new DecisionLog(topicLogger(logger, 'decisions'))
  const hasStore = (): boolean => store.available() && relayed.hasDirectStoreAccess()
  return { settings, peerKey: opts.peerKey, clock, logger, metrics, decisions, keys, mirror, driver, store, hasStore, peers, members, lease, leadership, documents, fleet }
}
