import { randomUUID } from 'node:crypto'
import { setMaxListeners } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'
import { limitedServerOptions } from '@wisteriaslip/core.http-limits'
import { CallGate, summarizeAccounts, type AccountSummary } from '@wisteriaslip/jobs.accounts'
import { delay, systemClock, withTimeout, type Clock } from '@wisteriaslip/core.result'
import { topicLogger, type Logger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import { FleetTerm } from '@wisteriaslip/jobs.fleet'
import { Intake } from '@wisteriaslip/jobs.intake'
import type { FleetClient, JobLimits, PermitClient, StoreLayout, VmList, Wave, WorkerClient } from '@wisteriaslip/jobs.model'
import type { ExplainRequest, ExplainResult, JobPeerService, ServiceLoad } from '@wisteriaslip/jobs.protocol'
import { SerialPermitClient, ServiceTerm } from '@wisteriaslip/jobs.service'
import { JobKeys, JobRecords } from '@wisteriaslip/jobs.store'
import { EntryLease, StoreKeys, Leadership, Members, type Member } from '@wisteriaslip/peers.membership'
import { RelayDriver, type PeerAddress } from '@wisteriaslip/peers.protocol'
import { StoreClient, type Driver, type Guard } from '@wisteriaslip/store.client'
import { followStore, Mirror } from '@wisteriaslip/store.mirror'
import { CallerConnections, stopListening } from './caller-connections.ts'
import { Election } from './election.ts'
import { explainObject } from './explain.ts'
import { HttpPeerPort } from './http-peer-port.ts'
import { PeerLeaderClient } from './leader-client.ts'
import { LeaderlessMonitor } from './leaderless-monitor.ts'
import { LeadershipConfirmation } from './leadership-confirmation.ts'
import type { PeerPort } from './peer-port.ts'
import { EntryPeerService } from './peer-service.ts'
import { PeerSync } from './peer-sync.ts'
import { followRawKeys } from './raw-mirror.ts'
import { fleetResource, serviceFromResource, serviceResource } from './resources.ts'
import { SiteView } from './site-view.ts'
import { TermRunner } from './term-runner.ts'
import { StoredWaveRecords } from './wave-record-store.ts'
import { writeWaveStatus } from './wave-status.ts'
import { WorkerRegistry } from './worker-registry.ts'

const LEASE_TTL_MS = 1_500
/** An entry with less than this many cores may be held up for longer between two renewals. */
const MIN_CORES_FOR_SHORT_LEASE = 0.25
/** The longest lease of an entry in milliseconds. */
export const LONG_LEASE_TTL_MS = 2_250
/** Within this time the load balancer notices that this entry accepts no new connections. */
const BALANCER_NOTICE_MS = 3_200
/** Leadership that is not released within this time ends when its lease expires. */
const LEADERSHIP_RELEASE_TIMEOUT_MS = 2_500
/** Part of the grace period kept for ending tasks and closing connections. */
const SHUTDOWN_MARGIN_MS = 700
const IN_FLIGHT_POLL_INTERVAL_MS = 20
/** Responses at the end of the grace period have this long to be written. */
const RESPONSE_FLUSH_MS = 100
const VM_LIST_TIMEOUT_MS = 1_000
const CONFIG_BATCH_WINDOW_MS = 50
/** Workers rewrite their registrations often, so they are batched for longer; a draining worker must still be noticed well before its drain ends. */
const WORKER_BATCH_WINDOW_MS = 300
const NEVER_ABORTED = new AbortController().signal

/** Options of {@link JobEntry}. */
export interface JobEntryOpts {
  readonly id: string
  readonly zone: string
  readonly region: string
  readonly keyPrefix: string
  /** Processor capacity that this entry may use, in cores. */
  readonly availableCores: number
  readonly peers: PeerAddress
  /** Key that authenticates entries to each other; undefined where the network does that. */
  readonly peerKey?: string | undefined
  readonly driver: Driver
  readonly store: { readonly readsPerSecond: number, readonly writesPerSecond: number }
  readonly storeLayout: StoreLayout
  readonly workers: WorkerClient
  readonly fleetClient: FleetClient | undefined
  readonly permitClient: PermitClient | undefined
  readonly limits: JobLimits
  readonly logger: Logger
  /** Connects the entry to its peers; over HTTP at the address `peers` by default. */
  readonly peerPort?: PeerPort
  /** The process's monotonic clock by default. */
  readonly clock?: Clock
  /** @returns Unix milliseconds; the system's time by default */
  readonly wallClock?: () => number
  /** Makes ids of incarnations and writes; random UUIDs by default. */
  readonly newId?: () => string
}

/** State of the site as one entry sees it. */
export interface JobEntryStatus {
  readonly id: string
  readonly ready: boolean
  readonly storeReached: boolean
  readonly configVersion: number | undefined
  readonly members: ReadonlyArray<{ readonly id: string, readonly zone: string }>
  readonly services: ReadonlyArray<{ readonly name: string, readonly leader: string | undefined, readonly load: ServiceLoad | undefined }>
  /** Client accounts, undefined in a deployment without any. */
  readonly accounts: readonly AccountSummary[] | undefined
}

/** An entry that accepts jobs, leads some services, and may lead the fleet. */
export class JobEntry {
  readonly site: SiteView
  readonly intake: Intake
  /** Decides whose calls may come in. */
  readonly callGate: CallGate
  readonly metrics = new Metrics()
  readonly logger: Logger
  private readonly opts: JobEntryOpts
  private readonly clock: Clock
  private readonly wallClock: () => number
  /** Aborted when a shutdown begins: ends leadership, while callers and peers are still served. */
  private readonly leaving = new AbortController()
  /** Aborted at the end of a shutdown: ends everything else. */
  private readonly stopping = new AbortController()
  private readonly mirror = new Mirror()
  private readonly keys: StoreKeys
  private readonly driver: RelayDriver
  private readonly store: StoreClient
  private readonly members: Members
  private readonly workerRegistry: WorkerRegistry
  private readonly lease: EntryLease
  private readonly leadership: Leadership
  private readonly election: Election
  private readonly peerPort: PeerPort
  private readonly records: JobRecords
  private readonly peerSync: PeerSync
  private readonly confirmation: LeadershipConfirmation
  private readonly leaderClient: PeerLeaderClient
  private readonly serviceTerms: TermRunner<ServiceTerm>
  private readonly fleetTerms: TermRunner<FleetTerm>
  private readonly leaderlessMonitor: LeaderlessMonitor
  /** Shared by all terms: the permit service handles one request of an entry at a time. */
  private readonly permitClient: PermitClient | undefined
  private readonly service: JobPeerService
  private readonly callerConnections = new CallerConnections()

  constructor (opts: JobEntryOpts) {
    this.opts = opts
    this.logger = opts.logger
    this.clock = opts.clock ?? systemClock
    this.wallClock = opts.wallClock ?? Date.now
    const newId = opts.newId ?? randomUUID
    const { logger, clock, metrics, mirror } = this
    setMaxListeners(0, this.stopping.signal, this.leaving.signal)
    this.keys = new StoreKeys(opts.keyPrefix)
    this.site = new SiteView(opts.storeLayout, topicLogger(logger, 'site'))
    this.callGate = new CallGate({ current: () => ({ accounts: this.site.accounts(), version: this.site.config()?.version }), clock, logger: topicLogger(logger, 'accounts'), metrics })
    this.driver = new RelayDriver(opts.driver, async (call, signal) => await this.peerSync.relay(call, signal))
    this.workerRegistry = new WorkerRegistry({ driver: this.driver, mirror: this.site.workers, clock, logger, batchWindowMs: WORKER_BATCH_WINDOW_MS })
    this.store = new StoreClient(this.driver, { ...opts.store, metrics, clock, newId })
    const self: Member = { id: opts.id, incarnation: newId(), region: opts.region, zone: opts.zone, peerAddress: opts.peers, weight: opts.availableCores }
    this.members = new Members(self, mirror, this.keys)
    this.lease = new EntryLease(this.store, { ttlMs: opts.availableCores < MIN_CORES_FOR_SHORT_LEASE ? LONG_LEASE_TTL_MS : LEASE_TTL_MS, clock, logger: topicLogger(logger, 'lease'), signal: this.leaving.signal })
    this.leadership = new Leadership({ store: this.store, mirror, members: this.members, lease: this.lease, keys: this.keys, clock, logger: topicLogger(logger, 'leadership'), mayRelease: resource => this.serviceTerms.get(resource)?.isSettled() !== false })
    this.election = new Election({ members: this.members, lease: this.lease, leadership: this.leadership, store: this.store, resources: () => this.resources(), onStep: () => this.reconcileTerms(), clock, logger })
    this.peerPort = opts.peerPort ?? new HttpPeerPort({ address: opts.peers, key: opts.peerKey, metrics })
    this.records = new JobRecords(this.store, new JobKeys(opts.keyPrefix), { clock, tombstoneTtlMs: 2 * opts.limits.keepMs })
    this.peerSync = new PeerSync({ members: this.members, mirror, site: this.site, clients: this.peerPort, clock, hasStoreAccess: () => this.hasStoreAccess() })
    this.confirmation = new LeadershipConfirmation({ lease: this.lease, leadership: this.leadership, peerSync: this.peerSync, isLeader: () => this.serviceTerms.all().length > 0, clock })
    this.permitClient = opts.permitClient && new SerialPermitClient(opts.permitClient)
    const termOpts = { logger, signal: this.leaving.signal, giveUp: async (resource: string, token: number) => await this.leadership.giveUp(resource, token) }
    this.serviceTerms = new TermRunner((resource, token) => this.createServiceTerm(resource, token), termOpts)
    this.fleetTerms = new TermRunner((_resource, token) => this.createFleetTerm(token), termOpts)
    this.leaderlessMonitor = new LeaderlessMonitor({ services: () => this.site.servicesWithQueues(), leadership: this.leadership, members: this.members, terms: this.serviceTerms, hasStoreAccess: () => this.hasStoreAccess(), clock, logger: topicLogger(logger, 'leadership') })
    this.service = new EntryPeerService({
      members: this.members,
      mirror,
      site: this.site,
      storeLayout: opts.storeLayout,
      hasStoreAccess: () => this.hasStoreAccess(),
      directDriver: opts.driver,
      term: service => this.serviceTerms.get(serviceResource(service)),
      serviceTerms: () => this.serviceTerms.all(),
      fleetTerm: () => this.fleetTerms.get(fleetResource),
      signal: this.stopping.signal
    })
    this.leaderClient = new PeerLeaderClient({ leadership: this.leadership, members: this.members, clients: this.peerPort, services: () => this.site.servicesWithQueues(), localService: () => this.service, logger: topicLogger(logger, 'leader'), signal: this.stopping.signal })
    this.intake = new Intake({ records: this.records, leaderClient: this.leaderClient, clock, logger: topicLogger(logger, 'intake'), metrics, signal: this.stopping.signal })
  }

  /** @returns whether the load balancer may send new connections */
  ready (): boolean {
    return this.site.config() !== undefined && !this.leaving.signal.aborted
  }

  /**
   * Explains the current state of a job, worker, pool or wave.
   * @param about - the object to explain
   * @returns the explanation of its leader, or why there is none
   */
  async explain (about: ExplainRequest): Promise<ExplainResult> {
    return await explainObject(about, { leaderClient: this.leaderClient, site: this.site })
  }

  /** @returns the members, and the leader and load of each service */
  async status (): Promise<JobEntryStatus> {
    const services = this.site.servicesWithQueues()
    const config = this.site.config()
    const loads = await Promise.all(services.map(async service => await this.leaderClient.load(service)))
    return {
      id: this.opts.id,
      ready: this.ready(),
      storeReached: this.hasStoreAccess(),
      configVersion: config?.version,
      members: this.members.all().map(({ id, zone }) => ({ id, zone })),
      accounts: config?.accounts && summarizeAccounts(config.accounts),
      services: services.map((name, number) => ({ name, leader: this.leadership.leaderOf(serviceResource(name))?.record.id, load: loads[number] }))
    }
  }

  /**
   * Counts a caller's request as in progress until its response is complete. A shutdown waits for it, and its response
   * closes the connection then.
   * @param res - response to the request, not begun yet
   */
  trackRequest (res: ServerResponse): void {
    this.callerConnections.track(res)
  }

  /**
   * Runs the entry until the signal aborts, then shuts it down gracefully.
   * @param signal - requests the shutdown
   * @param callers - servers for callers; they are closed once the load balancer has had time to notice the shutdown
   * @throws when its peers cannot be served, as the address is in use
   */
  async run (signal: AbortSignal, callers: readonly Server[]): Promise<void> {
    const closePeerPort = await this.peerPort.serve(this.service)
    const tasks = this.start()
    while (!signal.aborted) await delay(60_000, signal)
    await this.stop(callers, closePeerPort, tasks)
  }

  private hasStoreAccess (): boolean {
    return this.store.available() && this.driver.hasDirectStoreAccess()
  }

  private start (): Array<Promise<void>> {
    const { clock, logger } = this
    const { signal } = this.stopping
    this.mirror.subscribe(changed => {
      if (changed.some(key => key.startsWith(this.keys.leaders))) this.reconcileTerms()
      this.election.wake()
    })
    return [
      followStore(this.store, this.mirror, { prefix: this.keys.watched, signal, clock, logger: topicLogger(logger, 'mirror'), probePeriodMs: 5_000 }),
      followRawKeys(this.driver, this.site.operatorKeys, { signal, clock, logger, batchWindowMs: CONFIG_BATCH_WINDOW_MS }),
      this.workerRegistry.run(signal),
      this.lease.run(async () => await this.election.register()),
      this.peerSync.run(signal),
      this.confirmation.run(this.leaving.signal),
      this.election.run(this.leaving.signal),
      this.leaderlessMonitor.run(this.leaving.signal)
    ]
  }

  private async stop (callers: readonly Server[], closePeerPort: () => void, tasks: ReadonlyArray<Promise<void>>): Promise<void> {
    const stopRequestedAt = this.clock.now()
    this.logger.info('stopping')
    this.leaving.abort()
    this.callerConnections.closeAfterResponses()
    await Promise.race([this.releaseLeadership(), delay(LEADERSHIP_RELEASE_TIMEOUT_MS, NEVER_ABORTED)])
    this.logger.info({ tookMs: Math.round(this.clock.now() - stopRequestedAt) }, 'released leadership')
    await delay(BALANCER_NOTICE_MS - (this.clock.now() - stopRequestedAt), NEVER_ABORTED)
    await stopListening(callers)
    const forcedStopAt = stopRequestedAt + this.opts.limits.shutdownGraceMs - SHUTDOWN_MARGIN_MS
    await this.waitForRequests(forcedStopAt)
    const unanswered = this.callerConnections.count()
    this.callerConnections.respondToRemaining()
    this.stopping.abort()
    await this.waitForRequests(this.clock.now() + RESPONSE_FLUSH_MS)
    for (const server of callers) {
      server.close()
      server.closeAllConnections()
    }
    closePeerPort()
    await Promise.race([Promise.allSettled(tasks), delay(SHUTDOWN_MARGIN_MS / 2, NEVER_ABORTED)])
    this.logger.info({ inFlight: unanswered }, 'stopped')
  }

  private async waitForRequests (deadline: number): Promise<void> {
    while (this.callerConnections.count() > 0 && this.clock.now() < deadline) await delay(IN_FLIGHT_POLL_INTERVAL_MS, NEVER_ABORTED)
  }

  private async releaseLeadership (): Promise<void> {
    await Promise.all([this.serviceTerms.ended(), this.fleetTerms.ended()])
    await this.lease.revoke()
  }

  private resources (): string[] {
    const services = this.site.servicesWithQueues().map(serviceResource)
    return this.opts.fleetClient === undefined || services.length === 0 ? services : [...services, fleetResource]
  }

  private reconcileTerms (): void {
    const services = new Map<string, number>()
    const fleet = new Map<string, number>()
    for (const resource of this.resources()) {
      const token = this.leadership.recordedToken(resource)
      if (token !== undefined) (resource === fleetResource ? fleet : services).set(resource, token)
    }
    this.workerRegistry.setNeeded(services.size > 0)
    this.serviceTerms.reconcile(services)
    this.fleetTerms.reconcile(fleet)
  }

  private createServiceTerm (resource: string, token: number): ServiceTerm {
    const service = serviceFromResource(resource) ?? resource
    return new ServiceTerm({
      service,
      token,
      guard: this.leadership.guard(resource, token),
      leadershipConfirmedAt: () => this.confirmation.confirmedAt(resource, token),
      store: this.store,
      records: this.records,
      workerClient: this.opts.workers,
      permitClient: this.permitClient,
      registeredWorkers: () => this.site.workersOf(service),
      vms: async inner => await this.listVms(inner),
      queue: name => this.site.queue(name),
      account: name => this.site.account(name),
      hasQuotas: () => this.site.hasQuotas(),
      limits: this.opts.limits,
      clock: this.clock,
      wallClock: this.wallClock,
      logger: topicLogger(this.logger, 'term'),
      metrics: this.metrics
    })
  }

  private async listVms (signal: AbortSignal): Promise<VmList | undefined> {
    const { fleetClient } = this.opts
    if (fleetClient === undefined) return undefined
    const listResult = await withTimeout(VM_LIST_TIMEOUT_MS, signal, async inner => await fleetClient.listVms(inner))
    return listResult.ok ? listResult.value : undefined
  }

  /** Writes the status of a wave, unless this entry no longer leads the fleet or the wave's document has changed. */
  private async writeWaveStatus (wave: Wave, completed: boolean, leader: Guard): Promise<boolean> {
    const { storeLayout } = this.opts
    const document = { key: storeLayout.waveKey(wave.number), modRevision: wave.revision }
    const status = { key: storeLayout.waveStatusKey(wave.number), text: storeLayout.encodeWaveStatus(completed) }
    return await writeWaveStatus(this.driver, status, { guards: [leader, document], signal: this.leaving.signal })
  }

  private createFleetTerm (token: number): FleetTerm {
    const { fleetClient } = this.opts
    if (fleetClient === undefined) throw new Error('cannot lead the fleet: no fleet client is configured')
    const guard = this.leadership.guard(fleetResource, token)
    return new FleetTerm({
      token,
      isLeader: () => this.leadership.token(fleetResource) === token,
      fleetClient,
      services: this.leaderClient,
      waves: () => this.site.waves(),
      config: () => this.site.config(),
      waveRecords: new StoredWaveRecords(this.store, { key: this.records.keys.waveRecords(), guard, logger: topicLogger(this.logger, 'fleet') }),
      maintenanceMs: this.opts.limits.maintenanceMs,
      wallClock: this.wallClock,
      writeStatus: async (wave, completed) => await this.writeWaveStatus(wave, completed, guard),
      clock: this.clock,
      logger: topicLogger(this.logger, 'fleet'),
      metrics: this.metrics
    })
  }
}

/**
 * Creates an HTTP server for callers.
 * @param handle - handles one request
 * @returns the server, which does not listen yet
 */
export function createCallerServer (handle: Parameters<typeof createServer>[1]): Server {
  return createServer({ ...limitedServerOptions, keepAliveTimeout: 30_000, noDelay: true }, handle)
}
