import { randomUUID } from 'node:crypto'
import { systemClock, type Clock } from '@wisteriaslip/core.result'
import { DecisionLog } from '@wisteriaslip/core.decisions'
import { topicLogger, type Logger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { Settings } from '@wisteriaslip/config.settings'
import { DocumentView, FleetView } from '@wisteriaslip/fleet.view'
import { EntryLease, StoreKeys, Leadership, Members, type Member } from '@wisteriaslip/peers.membership'
import { EtcdDriver } from '@wisteriaslip/store.etcd-gateway'
import { Mirror } from '@wisteriaslip/store.mirror'
import { StoreClient, type Driver } from '@wisteriaslip/store.client'
import { PeerClients, RelayDriver, type RelayRequest, type RelayReply } from '@wisteriaslip/peers.protocol'

/** Components that hold the state of an entry. None of the state has to survive a restart. */
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
  /** Returns whether this entry reaches the store directly, not only through a peer. */
  readonly hasStoreAccess: () => boolean
  readonly peers: PeerClients
  readonly members: Members
  readonly lease: EntryLease
  readonly leadership: Leadership
  readonly documents: DocumentView
  readonly fleet: FleetView
}

/** Options of {@link createState}. */
export interface EntryStateOpts {
  readonly settings: Settings
  readonly peerKey: string | undefined
  readonly logger: Logger
  /** Address at which peers reach this entry. */
  readonly peerAddress: { readonly host: string, readonly port: number }
  readonly signal: AbortSignal
  readonly relay: (call: RelayRequest, signal: AbortSignal | undefined) => Promise<RelayReply | undefined>
}

/**
 * Creates the state of an entry.
 * @param opts - settings and dependencies
 * @returns the components; none is running yet
 */
export function createState (opts: EntryStateOpts): EntryState {
  const { settings, logger } = opts
  const clock = systemClock
  const metrics = new Metrics()
  const keys = new StoreKeys(settings.store.prefix)
  const mirror = new Mirror()
  const driver = new EtcdDriver(settings.store.endpoints)
  const relayDriver = new RelayDriver(driver, opts.relay)
  const store = new StoreClient(relayDriver, {
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
  const documents = new DocumentView(mirror, keys.documents, topicLogger(logger, 'documents'))
  const fleet = new FleetView({ documents, mirror, assignments: keys.assignments, ledgers: keys.ledgers })
  const peers = new PeerClients({ key: opts.peerKey, metrics })
  const decisions = new DecisionLog(topicLogger(logger, 'decisions'))
  const hasStoreAccess = (): boolean => store.available() && relayDriver.hasDirectStoreAccess()
  return { settings, peerKey: opts.peerKey, clock, logger, metrics, decisions, keys, mirror, driver, store, hasStoreAccess, peers, members, lease, leadership, documents, fleet }
}
