import { randomUUID } from 'node:crypto'
import { setMaxListeners } from 'node:events'
import { createServer, type Server } from 'node:http'
import { delay, systemClock, withTimeout, type Clock } from '@wisteriaslip/core.result'
import { topicLogger, type Logger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import { FleetTerm } from '@wisteriaslip/jobs.fleet'
import { Intake } from '@wisteriaslip/jobs.intake'
import type { FleetClient, JobLimits, PermitClient, StoreLayout, Vm, WorkerClient } from '@wisteriaslip/jobs.model'
import { createJobRouter, type ExplainRequest, type JobPeerService, type ServiceLoad } from '@wisteriaslip/jobs.protocol'
import { ServiceTerm } from '@wisteriaslip/jobs.service'
import { JobKeys, JobRecords } from '@wisteriaslip/jobs.store'
import { EntryLease, StoreKeys, Leadership, Members, type Member } from '@wisteriaslip/peers.membership'
import { createPeerServer, PeerClients, RelayDriver, type PeerAddress } from '@wisteriaslip/peers.protocol'
import { StoreClient, type Driver } from '@wisteriaslip/store.client'
import { followStore, Mirror } from '@wisteriaslip/store.mirror'
import { Election } from './election.ts'
import { ServiceLeaders } from './leader-client.ts'
import { PeerExchange } from './peer-exchange.ts'
import { EntryJobService } from './peer-service.ts'
import { followRaw } from './raw-mirror.ts'
import { fleetResource, serviceOf, serviceResource } from './resources.ts'
import { SiteView } from './site-view.ts'
import { Terms } from './term-runner.ts'
import { StoredWaveLedger } from './wave-ledger.ts'
import { WorkerList } from './worker-registry.ts'

const LEASE_TTL_MS = 1_500
/** The balancer learns within this time that this entry takes no new connections. */
const LEAVE_MS = 3_200
/** Leadership that cannot be handed over within this time ends with its lease. */
const HAND_OVER_MS = 2_500
const STOP_SLACK_MS = 700
const STOP_POLL_MS = 20
const LIST_TIMEOUT_MS = 1_000
const CONFIG_GATHER_MS = 50
/** Workers write themselves often; a draining one must be known of long before its time is over. */
const WORKERS_GATHER_MS = 300
const NEVER = new AbortController().signal

/** What an entry is made from. */
export interface JobEntryOpts {
  readonly id: string
  readonly zone: string
  readonly region: string
  readonly keyPrefix: string
  /** Processors that this entry may use, in cores. */
  readonly availableCores: number
  readonly peers: PeerAddress
  /** Key by which entries prove themselves to each other; undefined where the network does that. */
  readonly peerKey?: string | undefined
  readonly driver: Driver
  readonly store: { readonly readsPerSecond: number, readonly writesPerSecond: number }
  readonly storeLayout: StoreLayout
  readonly workers: WorkerClient
  readonly fleetClient: FleetClient | undefined
  readonly permitClient: PermitClient | undefined
  readonly limits: JobLimits
  readonly logger: Logger
}

/** How an entry sees the site. */
export interface EntryStatus {
  readonly id: string
  readonly ready: boolean
  readonly storeReached: boolean
  readonly configVersion: number | undefined
  readonly members: ReadonlyArray<{ readonly id: string, readonly zone: string }>
  readonly services: ReadonlyArray<{ readonly name: string, readonly leader: string | undefined, readonly load: ServiceLoad | undefined }>
}

/** An entry that takes jobs, leads some services, and may lead the fleet. */
export class JobEntry {
  readonly site: SiteView
  readonly intake: Intake
  readonly metrics = new Metrics()
  readonly logger: Logger
  private readonly opts: JobEntryOpts
  private readonly clock: Clock = systemClock
  /** Ends what leads; what serves callers goes on. */
  private readonly leaving = new AbortController()
  private readonly stopping = new AbortController()
  private readonly mirror = new Mirror()
  private readonly keys: StoreKeys
  private readonly driver: RelayDriver
  private readonly store: StoreClient
  private readonly members: Members
  private readonly workerList: WorkerList
  private readonly lease: EntryLease
  private readonly leadership: Leadership
  private readonly election: Election
  private readonly clients: PeerClients<JobPeerService>
  private readonly records: JobRecords
  private readonly exchange: PeerExchange
  private readonly leaders: ServiceLeaders
  private readonly terms: Terms<ServiceTerm>
  private readonly fleetTerms: Terms<FleetTerm>
  private readonly service: JobPeerService
  private inFlight = 0

  constructor (opts: JobEntryOpts) {
    this.opts = opts
    this.logger = opts.logger
    const { logger, clock, metrics, mirror } = this
    setMaxListeners(0, this.stopping.signal, this.leaving.signal)
    this.keys = new StoreKeys(opts.keyPrefix)
    this.site = new SiteView(opts.storeLayout, topicLogger(logger, 'site'))
    this.driver = new RelayDriver(opts.driver, async (call, signal) => await this.exchange.relay(call, signal))
    this.workerList = new WorkerList({ driver: this.driver, copy: this.site.workers, clock, logger, gatherMs: WORKERS_GATHER_MS })
    this.store = new StoreClient(this.driver, { ...opts.store, metrics, clock })
    const self: Member = { id: opts.id, incarnation: randomUUID(), region: opts.region, zone: opts.zone, peerAddress: opts.peers, weight: opts.availableCores }
    this.members = new Members(self, mirror, this.keys)
    this.lease = new EntryLease(this.store, { ttlMs: LEASE_TTL_MS, clock, logger: topicLogger(logger, 'lease'), signal: this.leaving.signal })
    this.leadership = new Leadership({ store: this.store, mirror, members: this.members, lease: this.lease, keys: this.keys, clock, logger: topicLogger(logger, 'leadership') })
    this.election = new Election({ members: this.members, lease: this.lease, leadership: this.leadership, store: this.store, resources: () => this.resources(), onStep: () => this.reconcile(), clock, logger })
    this.clients = new PeerClients<JobPeerService>({ key: opts.peerKey, metrics })
    this.records = new JobRecords(this.store, new JobKeys(opts.keyPrefix))
    this.exchange = new PeerExchange({ members: this.members, mirror, site: this.site, clients: this.clients, clock, hasStore: () => this.hasStore() })
    this.terms = new Terms((resource, token) => this.beginServiceTerm(resource, token), { logger, signal: this.leaving.signal })
    this.fleetTerms = new Terms((_resource, token) => this.beginFleetTerm(token), { logger, signal: this.leaving.signal })
    this.service = new EntryJobService({
      members: this.members,
      mirror,
      site: this.site,
      hasStore: () => this.hasStore(),
      direct: opts.driver,
      term: service => this.terms.get(serviceResource(service)),
      terms: () => this.terms.all(),
      fleetTerm: () => this.fleetTerms.get(fleetResource),
      signal: this.stopping.signal
    })
    this.leaders = new ServiceLeaders({ leadership: this.leadership, members: this.members, clients: this.clients, local: () => this.service, signal: this.stopping.signal })
    this.intake = new Intake({ records: this.records, leaders: this.leaders, clock, logger: topicLogger(logger, 'intake'), metrics, signal: this.stopping.signal })
  }

  /** @returns whether the balancer may send new connections */
  ready (): boolean {
    return this.site.config() !== undefined && !this.leaving.signal.aborted
  }

  /**
   * @param about - a job, worker, pool or wave
   * @returns how it stands, as its leader knows it; undefined when no leader knows it
   */
  async explain (about: ExplainRequest): Promise<unknown> {
    return await this.leaders.explain(this.site.servicesWithQueues(), about)
  }

  /** @returns who leads what, and how each service stands */
  async status (): Promise<EntryStatus> {
    const services = this.site.servicesWithQueues()
    const loads = await Promise.all(services.map(async service => await this.leaders.load(service)))
    return {
      id: this.opts.id,
      ready: this.ready(),
      storeReached: this.hasStore(),
      configVersion: this.site.config()?.version,
      members: this.members.all().map(({ id, zone }) => ({ id, zone })),
      services: services.map((name, number) => ({ name, leader: this.leadership.leaderOf(serviceResource(name))?.record.id, load: loads[number] }))
    }
  }

  /** @returns whether callers should use other connections from now on */
  isLeaving (): boolean {
    return this.leaving.signal.aborted
  }

  /**
   * Counts a caller's request as under way until it ends; a stop waits for it.
   * @returns ends the request
   */
  trackRequest (): () => void {
    this.inFlight += 1
    return () => { this.inFlight -= 1 }
  }

  /**
   * Takes part until the signal aborts, then leaves as planned.
   * @param signal - asks for the stop
   * @param callers - servers for callers, which close when the balancer has had time to learn of the stop
   */
  async run (signal: AbortSignal, callers: readonly Server[]): Promise<void> {
    const onBytes = (received: number, sent: number): void => this.metrics.count('peer_bytes_total', {}, received + sent)
    const peerServer = createPeerServer(createJobRouter(this.service), { key: this.opts.peerKey, onBytes })
    await new Promise<void>((resolve, reject) => {
      peerServer.once('error', reject)
      peerServer.listen(this.opts.peers.port, this.opts.peers.host, resolve)
    })
    const tasks = this.start()
    while (!signal.aborted) await delay(60_000, signal)
    await this.stop(callers, peerServer, tasks)
  }

  private hasStore (): boolean {
    return this.store.available() && this.driver.hasDirectStoreAccess()
  }

  private start (): Array<Promise<void>> {
    const { clock, logger } = this
    const { signal } = this.stopping
    this.mirror.subscribe(changed => {
      if (changed.some(key => key.startsWith(this.keys.leaders))) this.reconcile()
      this.election.wake()
    })
    return [
      followStore(this.store, this.mirror, { prefix: this.keys.watched, signal, clock, logger: topicLogger(logger, 'mirror'), probePeriodMs: 5_000 }),
      followRaw(this.driver, this.site.operator, { signal, clock, logger, gatherMs: CONFIG_GATHER_MS }),
      this.workerList.run(signal),
      this.lease.run(async () => await this.election.register()),
      this.exchange.run(signal),
      this.election.run(this.leaving.signal)
    ]
  }

  private async stop (callers: readonly Server[], peerServer: Server, tasks: ReadonlyArray<Promise<void>>): Promise<void> {
    const askedAt = this.clock.now()
    this.logger.info('stopping')
    this.leaving.abort()
    await Promise.race([this.handOver(), delay(HAND_OVER_MS, NEVER)])
    this.logger.info({ tookMs: Math.round(this.clock.now() - askedAt) }, 'leadership handed over')
    await delay(LEAVE_MS - (this.clock.now() - askedAt), NEVER)
    for (const server of callers) {
      server.close()
      server.closeIdleConnections()
    }
    const latest = askedAt + this.opts.limits.graceMs - STOP_SLACK_MS
    while (this.inFlight > 0 && this.clock.now() < latest) await delay(STOP_POLL_MS, NEVER)
    this.stopping.abort()
    for (const server of [...callers, peerServer]) {
      server.close()
      server.closeAllConnections()
    }
    await Promise.race([Promise.allSettled(tasks), delay(STOP_SLACK_MS / 2, NEVER)])
    this.logger.info({ inFlight: this.inFlight }, 'stopped')
  }

  private async handOver (): Promise<void> {
    await Promise.all([this.terms.ended(), this.fleetTerms.ended()])
    await this.lease.revoke()
  }

  private resources (): string[] {
    const services = this.site.servicesWithQueues().map(serviceResource)
    return this.opts.fleetClient === undefined || services.length === 0 ? services : [...services, fleetResource]
  }

  private reconcile (): void {
    const services = new Map<string, number>()
    const fleet = new Map<string, number>()
    for (const resource of this.resources()) {
      const token = this.leadership.recordedToken(resource)
      if (token !== undefined) (resource === fleetResource ? fleet : services).set(resource, token)
    }
    this.workerList.setNeeded(services.size > 0)
    this.terms.reconcile(services)
    this.fleetTerms.reconcile(fleet)
  }

  private beginServiceTerm (resource: string, token: number): ServiceTerm {
    const service = serviceOf(resource) ?? resource
    return new ServiceTerm({
      service,
      token,
      guard: this.leadership.guard(resource, token),
      store: this.store,
      records: this.records,
      workerClient: this.opts.workers,
      permitClient: this.opts.permitClient,
      registeredWorkers: () => this.site.workersOf(service),
      vms: async inner => await this.listVms(inner),
      queue: name => this.site.queue(name),
      limits: this.opts.limits,
      clock: this.clock,
      wallClock: Date.now,
      logger: topicLogger(this.logger, 'term'),
      metrics: this.metrics
    })
  }

  private async listVms (signal: AbortSignal): Promise<readonly Vm[] | undefined> {
    const { fleetClient: fleet } = this.opts
    if (fleet === undefined) return undefined
    const listed = await withTimeout(LIST_TIMEOUT_MS, signal, async inner => await fleet.listVms(inner))
    return listed.ok ? listed.value : undefined
  }

  private beginFleetTerm (token: number): FleetTerm {
    const { fleetClient: fleet, storeLayout: sources } = this.opts
    if (fleet === undefined) throw new Error('no calls on VMs')
    return new FleetTerm({
      token,
      isLeader: () => this.leadership.token(fleetResource) === token,
      fleetClient: fleet,
      services: this.leaders,
      waves: () => this.site.waves(),
      config: () => this.site.config(),
      ledger: new StoredWaveLedger(this.store, { key: this.records.keys.fleet(), guard: this.leadership.guard(fleetResource, token) }),
      maintenanceMs: this.opts.limits.maintenanceMs,
      wallClock: Date.now,
      writeStatus: async (wave, done) => await this.writeWaveStatus(sources.waveStatusKey(wave), sources.encodeWaveStatus(done)),
      clock: this.clock,
      logger: topicLogger(this.logger, 'fleet'),
      metrics: this.metrics
    })
  }

  /** The status has the operator's format, so it is written past the client that adds its own. */
  private async writeWaveStatus (key: string, text: string): Promise<boolean> {
    const known = await this.driver.range(key, {})
    if (!known.ok) return false
    const present = known.value.kvs[0]
    if (present?.value === text) return true
    const written = await this.driver.txn({ guards: [{ key, modRevision: present?.modRevision ?? 0 }], puts: [{ key, value: text }], deletes: [] }, this.leaving.signal)
    return written.ok && written.value.succeeded
  }
}

/**
 * A server for callers that does not listen yet.
 * @param handle - one request
 * @returns the server
 */
export function createCallerServer (handle: Parameters<typeof createServer>[1]): Server {
  return createServer({ keepAliveTimeout: 30_000, noDelay: true }, handle)
}
