import assert from 'node:assert/strict'
import { err, linkAbort, type Result } from '@wisteriaslip/core.result'
import { silentLogger, type Logger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { AddressedJob, Queue, VmList, WorkerRegistration } from '@wisteriaslip/jobs.model'
import { ServiceTerm } from '@wisteriaslip/jobs.service'
import { JobKeys, JobRecords } from '@wisteriaslip/jobs.store'
import { StoreClient, type Driver, type DriverError } from '@wisteriaslip/store.client'
import { plainStep, VirtualProcess } from '@wisteriaslip/testing.jobs'
import { seededRandom } from '@wisteriaslip/testing.site'
import { MemoryDriver } from '@wisteriaslip/testing.stand-ins'
import { LONGEST_LEASE_MS, type Draw, type WorkerMachine } from '@wisteriaslip/testing.simulation'
import { FaultyWorkers } from './faulty-workers.ts'

const LEADER_KEY = 'w/leaders/service/s'
const MACHINES = 8
/** More would leave too little room. */
const MAX_GONE = 2
const STORE_DELAY_MS = 2
const VM_LIST_TIMEOUT_MS = 1_000
const FAULTY_STORE_CALLS_PERCENT = 40
/** A wait for tasks ends by then. */
const MAX_WAIT_MS = 30_000
const WAIT_STEP_MS = 20
/** Interval at which the fleet's leader repeats which VMs are to be drained. */
const WITHDRAWAL_INTERVAL_MS = 300
const queue: Queue = { name: 'q', host: 'h', pathPrefix: '/q/', service: 's', priority: 0, attempts: 3, stretch: 2, objectiveMs: 600, timeoutMs: 3_000, needsPermit: false }
/** Number of tasks of a job, and cpu and duration of each. */
interface Work {
  readonly tasks: number
  readonly cpu: number
  readonly runMs: number
}

/** By job; those without `atOnce` are handed in when a fault says so. */
const JOBS: Readonly<Record<string, Work & { readonly atOnce?: boolean }>> = {
  many: { tasks: 20, cpu: 1_000, runMs: Infinity, atOnce: true },
  several: { tasks: 4, cpu: 2_500, runMs: Infinity, atOnce: true },
  large: { tasks: 3, cpu: 4_750, runMs: Infinity },
  single: { tasks: 1, cpu: 500, runMs: Infinity },
  short: { tasks: 12, cpu: 500, runMs: 700 }
}

/** Kinds of faults. Those that last do so for `forMs`, except crashes and failed runs. */
export const faultKinds = ['reborn', 'replaced', 'gone', 'dark', 'orders', 'store-responses', 'store-down', 'vm-list-silent', 'vm-list-slow', 'late-registrations', 'lost-registrations', 'failed-run', 'job'] as const

/**
 * Drains. The fleet's leader asks for a `drain` until the end, as the wave that the VMs are part of can't go on; after
 * `drain-forgotten` nobody says that they are not to be drained any more.
 */
export const drainKinds = ['drain', 'drain-forgotten'] as const

/** `unreachable`: cut off from all leaders, and still registered. */
type FaultKind = typeof faultKinds[number] | typeof drainKinds[number] | 'unreachable'

/** A fault of a scenario: on machines from `first` on, if it concerns machines. */
export interface Fault {
  readonly kind: FaultKind
  readonly atMs: number
  readonly forMs: number
  readonly first: number
  readonly count: number
}

/** A change of leader. The old one is killed, unless it goes on for `overlapMs`; nobody leads for `vacantMs` then. */
export interface Change {
  readonly atMs: number
  readonly entry: number
  readonly overlapMs: number
  readonly vacantMs?: number
}

/** A worker that is lost for good, and how its VM is listed from then on. */
export interface Loss {
  readonly atMs: number
  readonly vm: string
  readonly listedAs: WorkerMachine['listedAs']
}

/** A job that is handed in at a time. */
export interface Arrival extends Work {
  readonly atMs: number
  readonly id: string
}

/** A scenario; `seed` decides what it leaves open. */
export interface Scenario {
  readonly seed: number
  readonly faults: readonly Fault[]
  readonly changes: readonly Change[]
  readonly losses?: readonly Loss[]
  readonly arrivals?: readonly Arrival[]
}

interface Leader {
  readonly link: { up: boolean }
  readonly abort: AbortController
  readonly term: ServiceTerm
  registrations: readonly WorkerRegistration[] | undefined
  registrationsAt: number
}

/** A service with its leaders, workers and store on a virtual clock, to which the faults of a scenario happen. */
export class FaultyService {
  readonly process = new VirtualProcess()
  readonly workers: FaultyWorkers
  /** When the last fault is over. */
  calmAt = 0
  private readonly driver = new MemoryDriver()
  private readonly entries: Array<{ store: StoreClient, link: { up: boolean } }> = []
  private readonly draw: Draw
  private readonly logger: Logger
  private readonly random = Math.random
  private readonly active = new Map<FaultKind, number>()
  private storeOutage = new AbortController()
  private readonly jobs = new Map<string, Work>(Object.entries(JOBS))
  private readonly submitted = new Set<string>()
  private readonly terms: Leader[] = []
  /** VMs that the fleet's leader wants drained; undefined while it says nothing. */
  private drains: ReadonlySet<string> | undefined
  private gone = 0
  /** The changes of leader until now, each of which begins after the one before. */
  private elections: Promise<void> = Promise.resolve()

  constructor (seed: number, logger: Logger = silentLogger) {
    const random = seededRandom(seed)
    this.draw = below => Math.floor(random() * below)
    this.logger = logger
    Math.random = random
    this.process.install()
    this.workers = new FaultyWorkers(this.process, { machines: MACHINES, draw: this.draw, demandOf: task => this.jobOf(task.split('.')[0]) })
    this.workers.onRegistrations = () => { for (const leader of this.terms) this.publish(leader) }
  }

  /** Plays a scenario until `calmMs` after its last fault. */
  async play (scenario: Scenario, calmMs: number): Promise<void> {
    await this.schedule(scenario)
    while (this.process.now() < this.calmAt + calmMs) await this.process.run(this.calmAt + calmMs)
  }

  /**
   * Plays a scenario until all changes of leader are over and all long-running tasks run that have been handed in.
   * @returns how long after `fromMs` they do, in milliseconds
   */
  async playUntilAllRun (scenario: Scenario, fromMs: number): Promise<number> {
    await this.schedule(scenario)
    const lastChangeAt = Math.max(fromMs, ...scenario.changes.map(({ atMs }) => atMs))
    await this.process.run(lastChangeAt)
    while (this.waitingTasks().length > 0 && this.process.now() < lastChangeAt + MAX_WAIT_MS) await this.process.run(this.process.now() + WAIT_STEP_MS)
    return this.process.now() - fromMs
  }

  private async schedule ({ faults, changes, losses = [], arrivals = [] }: Scenario): Promise<void> {
    for (const { id, tasks, cpu, runMs } of arrivals) this.jobs.set(id, { tasks, cpu, runMs })
    for (const [id, { atOnce }] of Object.entries(JOBS)) if (atOnce === true) this.submit(id)
    await this.elect({ atMs: 0, entry: 0, overlapMs: 0 })
    for (const fault of faults) this.at(fault.atMs, () => this.begin(fault))
    for (const { atMs, vm, listedAs } of losses) this.at(atMs, () => this.workers.crash(vm, { sameId: false, listedAs }))
    for (const { atMs, id } of arrivals) this.at(atMs, () => this.process.deliver(() => this.submit(id)))
    for (const change of changes) this.at(change.atMs, () => this.process.deliver(() => { this.elections = this.elections.then(async () => await this.elect(change)).catch(assert.ifError) }))
  }

  /** @returns long-running tasks that run nowhere, of jobs that have been handed in, although a worker has room for them */
  waitingTasks (): string[] {
    const reachable = this.workers.reachable()
    const jobs = [...this.submitted].map(id => ({ id, ...this.jobOf(id) })).filter(({ runMs }) => runMs === Infinity)
    const tasks = jobs.flatMap(({ id, cpu, tasks }) => Array.from({ length: tasks }, (_, index) => ({ name: `${id}.0.0.${index}`, cpu })))
    return tasks.filter(({ name, cpu }) => !reachable.some(({ runs }) => runs.has(name)) && reachable.some(worker => worker.freeCpu() >= cpu)).map(({ name }) => name)
  }

  /** @returns jobs that have been given up */
  failedJobs (): string[] {
    return [...this.submitted].filter(id => this.terms.at(-1)?.term.state(id) === 'failed')
  }

  close (): void {
    for (const { abort } of this.terms) abort.abort()
    this.process.uninstall()
    Math.random = this.random
  }

  private at (atMs: number, callback: () => void): void {
    this.calmAt = Math.max(this.calmAt, atMs)
    this.process.outsideAfter(atMs - this.process.now(), callback)
  }

  private jobOf (id: string | undefined): Work {
    return this.jobs.get(id ?? '') ?? { tasks: 0, cpu: 0, runMs: 0 }
  }

  private isActive (kind: Fault['kind']): boolean {
    return (this.active.get(kind) ?? 0) > 0
  }

  private begin (fault: Fault): void {
    const { kind, forMs, first, count } = fault
    const vms = Array.from({ length: count }, (_, number) => `vm${(first + number) % MACHINES}`)
    if (kind === 'reborn' || kind === 'replaced') for (const vm of vms) this.restart(vm, { backMs: 20 + forMs % 1_500, sameId: kind === 'reborn' })
    else if (kind === 'gone') this.lose(`vm${first}`)
    else if (kind === 'failed-run') for (const vm of vms) this.workers.failRun(vm)
    else if (kind === 'drain' || kind === 'drain-forgotten') this.drain(vms, kind === 'drain' ? Infinity : forMs)
    else if (kind === 'job') for (const id of Object.keys(JOBS)) this.process.deliver(() => this.submit(id))
    else {
      this.setActive(kind, 1, vms)
      this.at(this.process.now() + forMs, () => this.setActive(kind, -1, vms))
    }
  }

  private setActive (kind: Fault['kind'], change: number, vms: readonly string[]): void {
    this.active.set(kind, (this.active.get(kind) ?? 0) + change)
    if (kind === 'dark') for (const vm of vms) this.workers.setDark(vm, change > 0)
    if (kind === 'unreachable') for (const vm of vms) this.workers.setUnreachable(vm, change > 0)
    if (kind === 'lost-registrations') for (const vm of vms) this.workers.setRegistered(vm, change < 0)
    if (kind === 'orders') this.workers.calls.faultyOrdersPercent = this.isActive(kind) ? 60 : 0
    if (kind === 'orders' && change < 0) this.at(Math.max(this.process.now(), this.workers.calls.lastLateOrderAt), () => {})
    if (kind !== 'store-down') return
    if (this.isActive(kind)) this.storeOutage.abort()
    else this.storeOutage = new AbortController()
  }

  /** Lets the fleet's leader ask for drained VMs, beside those of other drains, and fall silent afterwards unless others go on. */
  private drain (vms: readonly string[], forMs: number): void {
    if (this.drains === undefined) this.process.deliver(() => this.repeatWithdrawal())
    this.drains = new Set([...this.drains ?? [], ...vms])
    if (forMs !== Infinity) this.at(this.process.now() + forMs, () => { this.drains = undefined })
  }

  private repeatWithdrawal (): void {
    if (this.drains === undefined) return
    this.terms.at(-1)?.term.withdraw([...this.drains])
    this.process.outsideAfter(WITHDRAWAL_INTERVAL_MS, () => this.process.deliver(() => this.repeatWithdrawal()))
  }

  private restart (vm: string, opts: { backMs: number, sameId: boolean }): void {
    this.at(this.process.now() + opts.backMs, () => {})
    this.workers.crash(vm, opts)
  }

  private lose (vm: string): void {
    if (this.gone < MAX_GONE) this.workers.crash(vm, { sameId: false })
    this.gone += 1
  }

  /** Hands a job in, which the store has then. */
  private submit (id: string): void {
    if (this.submitted.has(id)) return
    this.submitted.add(id)
    const { tasks, cpu, runMs } = this.jobOf(id)
    const step = plainStep({ tasks, demand: { cpu, memMb: 100, accelerators: 0 }, lasting: runMs === Infinity, mayMiss: 1 })
    const job: AddressedJob = { id, address: 'q', queue: 'q', service: 's', payload: '', steps: [step], acceptedAt: this.process.now(), acceptedUnder: 0 }
    new JobRecords(this.storeClient(this.driver), new JobKeys('w')).accept(job).then(() => this.terms.at(-1)?.term.push(job), assert.ifError)
  }

  /** Ends the term of the leader, and begins that of an entry once the store is up. */
  private async elect (change: Change): Promise<void> {
    while (this.isActive('store-down')) {
      this.calmAt = Math.max(this.calmAt, this.process.now() + 100)
      await this.wait(100)
    }
    this.calmAt = Math.max(this.calmAt, this.process.now())
    const before = this.terms.at(-1)
    const store = this.storeClient(this.driver)
    const current = await store.get(LEADER_KEY)
    if (current.ok && current.value !== undefined) await store.update([{ key: LEADER_KEY, prior: current.value, value: undefined }])
    if (before !== undefined) this.endTerm(before, change.overlapMs)
    if (change.vacantMs !== undefined) await this.wait(change.vacantMs)
    const acquired = await store.update([{ key: LEADER_KEY, prior: undefined, value: {} }])
    assert.ok(acquired.ok)
    this.startTerm(change.entry, acquired.value)
  }

  private endTerm (leader: Leader, overlapMs: number): void {
    if (overlapMs === 0) leader.link.up = false
    this.at(this.process.now() + overlapMs, () => this.process.deliver(() => leader.abort.abort()))
  }

  /** Starts a term. An entry that was killed is another process since. */
  private startTerm (entry: number, token: number): void {
    if (this.entries[entry]?.link.up !== true) {
      const link = { up: true }
      this.entries[entry] = { link, store: this.storeClient(this.faultyDriver(link)) }
    }
    const { link, store } = this.entries[entry] as { link: { up: boolean }, store: StoreClient }
    const term = new ServiceTerm({
      service: 's',
      token,
      guard: { key: LEADER_KEY, createRevision: token },
      leadershipConfirmedAt: () => this.process.now(),
      store,
      records: new JobRecords(store, new JobKeys('w')),
      workerClient: this.workers.client(link),
      permitClient: undefined,
      registeredWorkers: () => leader.registrations,
      vms: async () => await this.listVms(link),
      queue: () => queue,
      limits: { longestLeaseMs: LONGEST_LEASE_MS, stopMs: 400, shutdownGraceMs: 6_000, keepMs: 120_000, maintenanceMs: 2_000 },
      clock: this.process,
      wallClock: () => this.process.now(),
      logger: this.logger.child({ token }),
      metrics: new Metrics()
    })
    const abort = new AbortController()
    const leader: Leader = { link, abort, term, registrations: undefined, registrationsAt: 0 }
    term.run(abort.signal).catch(assert.ifError)
    this.terms.push(leader)
    this.publish(leader)
  }

  /** Lets a leader learn of the registrations as they are now, in order, and later if the store is down or a fault says so. */
  private publish (leader: Leader): void {
    if (leader.abort.signal.aborted) return
    const registrations = [...this.workers.registered.values()]
    const delayMs = 20 + this.draw(this.isActive('late-registrations') || this.isActive('store-down') ? 3_000 : 300)
    const at = Math.max(this.process.now() + delayMs, leader.registrationsAt)
    leader.registrationsAt = at
    const deliver = (): void => { if (this.isActive('store-down')) this.process.outsideAfter(100, () => this.publish(leader)); else leader.registrations = registrations }
    if (delayMs > 320) this.at(at, deliver)
    else this.process.outsideAfter(at - this.process.now(), deliver)
  }

  private async listVms (link: { up: boolean }): Promise<VmList | undefined> {
    const slowMs = this.isActive('vm-list-slow') ? 300 + this.draw(1_200) : 20 + this.draw(100)
    const isSilent = this.isActive('vm-list-silent') || slowMs >= VM_LIST_TIMEOUT_MS || !link.up
    const list = { vms: this.workers.list(), unreadable: [], complete: true }
    await this.wait(isSilent ? VM_LIST_TIMEOUT_MS : slowMs)
    return isSilent ? undefined : list
  }

  private async wait (ms: number): Promise<void> {
    await new Promise<void>(resolve => this.process.outsideAfter(ms, () => this.process.deliver(resolve)))
  }

  private storeClient (driver: Driver): StoreClient {
    return new StoreClient(driver, { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics(), clock: this.process })
  }

  /** The store as an entry reaches it: its calls, or their responses, get lost. */
  private faultyDriver (link: { up: boolean }): Driver {
    const lost = err<DriverError>({ kind: 'lost', message: 'connection lost' })
    const call = async <T>(run: () => Promise<Result<T, DriverError>>): Promise<Result<T, DriverError>> => {
      await this.wait(STORE_DELAY_MS)
      if (!link.up || this.isActive('store-down')) return lost
      const isResponseLost = this.isActive('store-responses') && this.draw(100) < FAULTY_STORE_CALLS_PERCENT
      const response = await run()
      return isResponseLost ? lost : response
    }
    const watch: Driver['watch'] = async (prefix, fromRevision, onBatch, signal) => {
      if (!link.up || this.isActive('store-down')) return lost.ok ? { kind: 'lost', message: '' } : lost.error
      const untilOutage = linkAbort(signal)
      this.storeOutage.signal.addEventListener('abort', () => untilOutage.abort(), { once: true })
      return await this.driver.watch(prefix, fromRevision, onBatch, untilOutage.signal).finally(() => untilOutage.release())
    }
    const methods: Partial<Driver> = { range: async (key, opts) => await call(async () => await this.driver.range(key, opts)), txn: async txn => await call(async () => await this.driver.txn(txn)), watch }
    return Object.assign(Object.create(this.driver) as Driver, methods)
  }
}
