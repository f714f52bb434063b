import { silentLogger, type Logger } from '@wisteriaslip/core.logger'
import { VirtualProcess } from '@wisteriaslip/testing.jobs'
import { scatteredRandom } from './dice.ts'
import type { Draw } from './draw.ts'
import type { EntryLink } from './entry-link.ts'
import { JobCaller } from './job-caller.ts'
import { LeaderLog } from './leader-log.ts'
import { LostWatch, type WatchedJob } from './lost-watch.ts'
import { RunGaps } from './run-gaps.ts'
import { SimulatedEntry, type SimulatedEntryOpts } from './simulated-entry.ts'
import { demandOf, jobRequest, siteConfig, watchedJob, type SiteFeatures } from './site-jobs.ts'
import { simulatedLayout, SITE_PREFIX } from './store-layout.ts'
import { MAINTENANCE_MS, VirtualFleet } from './virtual-fleet.ts'
import { VirtualPeers } from './virtual-peers.ts'
import { VirtualPermits } from './virtual-permits.ts'
import { VirtualStore } from './virtual-store.ts'
import type { VirtualPool } from './virtual-vm.ts'
import type { Incarnation } from './worker-machine.ts'
import { LONGEST_LEASE_MS } from './worker-runs.ts'

const ZONES = 2
/** Unix time at which a simulation begins. */
const BEGINS_AT = 1_700_000_000_000
const CONFIG_RETRY_MS = 500
const UNLIMITED_CALLS = { readsPerSecond: 1e6, writesPerSecond: 1e6 }
const LIMITS = { longestLeaseMs: LONGEST_LEASE_MS, stopMs: 400, shutdownGraceMs: 6_000, keepMs: 120_000, maintenanceMs: MAINTENANCE_MS }
const POOLS = [{ name: 'alpha', vms: 5 }, { name: 'beta', vms: 4 }, { name: 'spare', vms: 2, standby: true }]

/** Options of {@link Simulation}. */
export interface SimulationOpts {
  /** Decides all that is drawn while it runs. */
  readonly seed: number
  readonly entries: number
  /** Processor capacity of each entry, one core by default. */
  readonly cores?: number
  /** Pools of VMs; by default two services with room, and two VMs that are powered off. */
  readonly pools?: readonly VirtualPool[]
  /** What the site has beyond services and queues; nothing by default. */
  readonly features?: SiteFeatures
  /** Logs what the entries log; nothing by default. */
  readonly logger?: (now: () => number) => Logger
}

/** A whole site on a virtual clock: real entries, their store, VMs, workers, and callers who submit jobs. */
export class Simulation {
  readonly process = new VirtualProcess()
  readonly store: VirtualStore
  readonly fleet: VirtualFleet
  readonly peers: VirtualPeers
  readonly entries: readonly SimulatedEntry[]
  readonly permits: VirtualPermits
  readonly leaders: LeaderLog
  readonly watch: LostWatch
  /** Times in which long-running tasks had no run. */
  readonly gaps: RunGaps
  readonly draw: Draw
  private readonly accepted: WatchedJob[] = []
  private readonly callers: JobCaller
  private readonly logger: Logger
  private readonly cores: number
  private readonly features: SiteFeatures
  /** Queues that have moved, with the services that they belong to. */
  private readonly movedQueues = new Map<string, string>()
  private readonly originalRandom = Math.random
  private ids = 0

  /**
   * Replaces the timers and the random numbers of this process until {@link Simulation.close}.
   * @param opts - seed and size
   */
  constructor ({ seed, entries, cores = 1, pools = POOLS, features = {}, logger }: SimulationOpts) {
    this.cores = cores
    this.features = features
    const random = scatteredRandom(seed)
    const { process } = this
    this.draw = below => Math.floor(random() * below)
    Math.random = random
    process.install()
    this.logger = logger?.(() => process.now()) ?? silentLogger
    this.store = new VirtualStore(process, this.draw)
    this.store.put(simulatedLayout.configKey, siteConfig(features))
    this.fleet = new VirtualFleet(process, { pools, store: this.store, draw: this.draw, demandOf })
    this.peers = new VirtualPeers(process, this.draw)
    this.permits = new VirtualPermits(process, this.draw)
    this.entries = Array.from({ length: entries }, (_, number) => this.createEntry(`entry${number}`, `zone${number % ZONES}`))
    this.callers = new JobCaller(process, { entries: this.entries, draw: this.draw, onAccepted: ({ id }) => this.accepted.push(watchedJob(id, process.now())) })
    this.leaders = new LeaderLog(this.store)
    this.watch = new LostWatch(process, { fleet: this.fleet, leaders: this.leaders, jobs: () => this.accepted, unsettled: () => this.unsettled() })
    this.watch.start()
    this.gaps = new RunGaps(process, {
      jobs: () => this.accepted,
      history: this.fleet.history,
      leaders: this.leaders,
      disturbances: this.watch.disturbances,
      usableWorkers: () => this.usableWorkers(),
      isStoreUp: () => this.store.faults.down === undefined,
      isAnyEntryUp: () => this.entries.some(entry => entry.isUp()),
      canAct: (id, since) => this.entries.some(entry => entry.id === id && entry.ready() && entry.upSince() <= since && entry.link().storeCut === undefined)
    })
    this.gaps.start()
    for (const entry of this.entries) entry.start()
  }

  /**
   * Lets a caller submit a job until it is accepted.
   * @param id - id of one of the site's jobs
   */
  submit (id: string): void {
    this.callers.submit(jobRequest(id, this.wallClock(), this.features))
  }

  /**
   * Lets a caller cancel a job, again and again until that is accepted.
   * @param id - id of a job; ignored unless its caller knows that it was accepted
   */
  cancel (id: string): void {
    const job = this.accepted.find(each => each.id === id)
    if (job === undefined) return
    job.cancelledAt ??= this.process.now()
    this.callers.cancel(id, job.service)
  }

  /**
   * Gives a queue to another service, as soon as the store accepts that.
   * @param queue - name of the queue
   * @param service - service that it belongs to from now on
   */
  moveQueue (queue: string, service: string): void {
    this.movedQueues.set(queue, service)
    if (!this.store.put(simulatedLayout.configKey, siteConfig(this.features, this.movedQueues))) this.process.outsideAfter(CONFIG_RETRY_MS, () => this.moveQueue(queue, service))
  }

  /** @returns starts of tasks that ran elsewhere or were done, and orders that the platform must not get */
  violations (): string[] {
    return [...this.fleet.history.violations(), ...this.fleet.violations]
  }

  /** @returns the longest time in milliseconds that a task which ends by itself waited for its first run, or waits still */
  longestStartMs (): number {
    const waits = this.accepted.filter(job => !job.lasting && job.cancelledAt === undefined).flatMap(job => Array.from({ length: job.tasks }, (_, index) => {
      return (this.fleet.history.firstStartOf(`${job.id}.0.0.${index}`) ?? this.process.now()) - job.acceptedAt
    }))
    return Math.max(0, ...waits)
  }

  /** Restores the timers and random numbers of the process. */
  close (): void {
    for (const entry of this.entries) entry.kill()
    this.process.uninstall()
    Math.random = this.originalRandom
  }

  /** A process that is away or frozen, and registrations that do not agree with the workers, are no calm site. */
  private unsettled (): string | undefined {
    const away = this.entries.find(entry => !entry.ready())
    if (away !== undefined) return `${away.id} is not ready`
    return this.fleet.isSettled() ? undefined : 'registrations'
  }

  /** @returns sound workers that no entry is cut from */
  private usableWorkers (): Incarnation[] {
    return this.fleet.soundWorkers().filter(({ registration }) => !this.entries.some(entry => entry.link().vmCuts.has(registration.vm)))
  }

  private createEntry (id: string, zone: string): SimulatedEntry {
    const { process, peers } = this
    return new SimulatedEntry({ id, zone, process, peers, graceMs: LIMITS.shutdownGraceMs, connect: link => this.connect(link) })
  }

  private connect (link: EntryLink): ReturnType<SimulatedEntryOpts['connect']> {
    return {
      region: 'region',
      keyPrefix: SITE_PREFIX,
      availableCores: this.cores,
      driver: this.store.driver(link),
      store: UNLIMITED_CALLS,
      storeLayout: simulatedLayout,
      workers: this.fleet.workerClient(link),
      fleetClient: this.fleet.fleetClient(link),
      permitClient: this.features.needsPermit === true ? this.permits.client(link) : undefined,
      limits: LIMITS,
      logger: this.logger.child({ entry: link.entry }),
      wallClock: () => this.wallClock(),
      newId: () => {
        this.ids += 1
        return `id${this.ids}`
      }
    }
  }

  private wallClock (): number {
    return BEGINS_AT + Math.floor(this.process.now())
  }
}
