import { err, systemClock, type Result } from '@wisteriaslip/core.result'
import { recordingLogger, silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import { Intake, type LeaderClient } from '@wisteriaslip/jobs.intake'
import { addressOf, type JobLimits, type JobRequest, type PermitClient, type PermitCost, type Queue, type Step, type Vm, type WorkerChannel, type WorkerRegistration } from '@wisteriaslip/jobs.model'
import { SerialPermitClient, ServiceTerm } from '@wisteriaslip/jobs.service'
import { JobKeys, JobRecords } from '@wisteriaslip/jobs.store'
import { StoreClient, type Driver, type DriverError, type DriverTxn } from '@wisteriaslip/store.client'
import { MemoryDriver, type DriverFault } from '@wisteriaslip/testing.stand-ins'
import { InMemoryWorkers, type RunPlan } from './memory-workers.ts'

const SERVICE = 's'
const LEADER_KEY = 'w/leaders/service/s'

const WORKER_RESTART_MS = 300

/** Leases outlast every test, so that no test passes by waiting for one to expire. */
const limits: JobLimits = { longestLeaseMs: 600_000, stopMs: 50, shutdownGraceMs: 6_000, keepMs: 120_000, maintenanceMs: 2_000 }

const queue: Queue = { name: 'q', host: 'h', pathPrefix: '/q/', service: SERVICE, priority: 0, attempts: 3, stretch: 2, objectiveMs: 600, timeoutMs: 3_000, needsPermit: false }

/** Fault of a write; `late`: it gets no reply, and takes effect when the test wants it to. */
export type WriteFault = DriverFault | 'late'

/** A leader of the site's only service. */
export interface SiteLeader {
  readonly term: ServiceTerm
  /** Ends its term gracefully. */
  releaseLeadership (): Promise<void>
  /** Disconnects it from the store, the workers and the intake without ending its term. */
  disconnect (): void
  /** Disconnects it from the store and the intake without ending its term: nothing confirms its leadership any more. */
  disconnectFromStore (): void
  /**
   * Disconnects it from a worker without ending its term.
   * @param worker - id of the worker
   */
  disconnectFrom (worker: string): void
  /** Expects that its term fails, and resolves with the error once it has ended. */
  failure (): Promise<unknown>
}

/** One service on an in-memory store: tests submit jobs, and elect and disconnect leaders. */
export class JobSite {
  readonly driver = new MemoryDriver()
  readonly workers: InMemoryWorkers
  readonly intake: Intake
  readonly queue = queue
  /** The policy that permits must be requested from; no queue needs permits while it is undefined. */
  permitClient: PermitClient | undefined
  /** What the configuration says that a request for permits takes. */
  permitCost: PermitCost | undefined
  /** Faults of the next writes of the intake, in order; later writes succeed. */
  readonly submitFaults: WriteFault[] = []
  /** Writes of the intake that met the fault `late`, which tests apply to `driver` when they want to. */
  readonly lateWrites: DriverTxn[] = []
  /** Faults of the leaders' next writes of the term record, in order; later writes succeed. */
  readonly termRecordFaults: DriverFault[] = []
  /** Messages that the leaders have logged. */
  readonly logged: string[] = []
  /** Planned outcomes of runs, by task and attempt; overrides the defaults. */
  plan: (task: string, attempt: number) => Partial<RunPlan> = () => ({})
  /** The platform's list of VMs. */
  vms: Vm[] = []
  /** Called before each list of VMs; an error that it throws is thrown by the call. */
  beforeVmList: () => void = () => {}
  /** Ids of the workers that have crashed, in order. */
  readonly crashed: string[] = []
  private readonly shutdown = new AbortController()
  private leader: { readonly term: ServiceTerm, readonly token: number, reachable: boolean } | undefined
  private readonly running: Array<Promise<void>> = []

  constructor () {
    this.workers = new InMemoryWorkers(() => systemClock.now(), (task, attempt) => ({ runMs: 30, how: 'done', demand: { cpu: 1_000, memMb: 100, accelerators: 0 }, members: 1, ...this.plan(task, attempt) }))
    this.workers.onCrash = id => this.crash(id)
    this.intake = this.newIntake()
  }

  /** @returns the intake of one more entry */
  newIntake (): Intake {
    return new Intake({ records: this.createRecords(withWriteFaults(this.driver, this.submitFaults, () => true, this.lateWrites)), leaderClient: this.createLeaderClient(), clock: systemClock, logger: silentLogger, metrics: new Metrics(), signal: this.shutdown.signal })
  }

  /** @param ids - ids of workers to start, each on its own VM */
  addWorkers (...ids: string[]): void {
    for (const id of ids) {
      const registration = this.registration(id)
      this.workers.add(registration)
      this.vms.push({ id: registration.vm, pool: SERVICE, state: 'up', zone: 'z', rack: 'r1', labels: [], capacity: registration.capacity, worker: id })
    }
  }

  /**
   * Powers off a worker's VM: its runs are lost and the worker no longer responds.
   * @param id - id of the worker
   */
  powerOff (id: string): void {
    this.workers.crash(id)
    this.vms = this.vms.map(vm => vm.worker === id ? { ...vm, pool: 'spare', worker: '' } : vm)
  }

  /**
   * Crashes a worker: its runs are lost, and its VM is down for a moment and then has a new worker.
   * @param id - id of the worker
   */
  crash (id: string): void {
    this.crashed.push(id)
    this.workers.crash(id)
    this.vms = this.vms.map(vm => vm.worker === id ? { ...vm, state: 'down', worker: '' } : vm)
    const replacement = `${id}-${this.crashed.length}`
    setTimeout(() => this.restart(id, replacement), WORKER_RESTART_MS)
  }

  /**
   * Powers on the VM of a worker that was powered off, with a new worker.
   * @param id - id of the worker that was powered off
   * @param replacement - id of the new worker
   */
  replace (id: string, replacement: string): void {
    this.workers.add({ ...this.registration(replacement), vm: `vm-${id}` })
    this.vms = this.vms.map(vm => vm.id === `vm-${id}` ? { ...vm, pool: SERVICE, worker: replacement } : vm)
  }

  /**
   * Replaces the current leader, if any, by a new one and starts its term.
   * @returns the new leader
   * @throws when the leadership record cannot be written
   */
  async elect (): Promise<SiteLeader> {
    const store = this.createStoreClient(this.driver)
    const current = await store.get(LEADER_KEY)
    if (current.ok && current.value !== undefined) await store.update([{ key: LEADER_KEY, prior: current.value, value: undefined }])
    const acquired = await store.update([{ key: LEADER_KEY, prior: undefined, value: {} }])
    if (!acquired.ok) throw new Error(acquired.error.message)
    const token = acquired.value
    const link = { up: true, confirmedAt: 0 }
    const lostWorkers = new Set<string>()
    let reachesWorkers = true
    const termAbort = new AbortController()
    this.shutdown.signal.addEventListener('abort', () => termAbort.abort(), { once: true })
    const writesTermRecord = (txn: DriverTxn): boolean => txn.puts.some(put => put.key === new JobKeys('w').term(SERVICE))
    const driver = disconnectable(withWriteFaults(this.driver, this.termRecordFaults, writesTermRecord), () => link.up, connectionLost)
    const term = new ServiceTerm({
      service: SERVICE,
      token,
      guard: { key: LEADER_KEY, createRevision: token },
      leadershipConfirmedAt: () => link.up ? systemClock.now() : link.confirmedAt,
      store: this.createStoreClient(driver),
      records: this.createRecords(driver),
      workerClient: { connect: endpoint => disconnectableChannel(this.workers.connect(endpoint), () => reachesWorkers && !lostWorkers.has(endpoint.id)) },
      permitClient: this.permitClient && new SerialPermitClient(this.permitClient),
      registeredWorkers: () => this.workers.registrations(),
      vms: async () => {
        this.beforeVmList()
        return link.up ? { vms: this.vms, unreadable: [], complete: true } : undefined
      },
      queue: () => ({ ...queue, needsPermit: this.permitClient !== undefined, permitCost: this.permitCost }),
      limits,
      clock: systemClock,
      wallClock: Date.now,
      logger: recordingLogger(this.logged),
      metrics: new Metrics()
    })
    const leader = { term, token, reachable: true }
    this.leader = leader
    const done = term.run(termAbort.signal)
    this.running.push(done)
    const disconnectFromStore = (): void => {
      link.up = false
      link.confirmedAt = systemClock.now()
      leader.reachable = false
    }
    return {
      term,
      releaseLeadership: async () => {
        termAbort.abort()
        await done
      },
      disconnect: () => {
        disconnectFromStore()
        reachesWorkers = false
      },
      disconnectFromStore,
      disconnectFrom: worker => { lostWorkers.add(worker) },
      failure: async () => {
        this.running.splice(this.running.indexOf(done), 1)
        return await done.then(() => undefined, error => error)
      }
    }
  }

  /**
   * @param id - id of the job
   * @param steps - steps of the job
   * @param overrides - fields that differ from the defaults
   * @returns a request to submit the job to the site's queue
   */
  request (id: string, steps: Step[], overrides: Partial<JobRequest> = {}): JobRequest {
    return { id, queue: queue.name, address: addressOf(queue), service: SERVICE, payload: 'p', steps, acceptedAt: Date.now(), ...overrides }
  }

  /** Ends all terms and clears the timers of the runs. */
  async close (): Promise<void> {
    this.shutdown.abort()
    await Promise.all(this.running)
    this.workers.close()
  }

  private restart (id: string, replacement: string): void {
    const vm = this.workers.vmOf(id)
    this.workers.add({ ...this.registration(replacement), vm })
    this.vms = this.vms.map(each => each.id === vm ? { ...each, state: 'up', worker: replacement } : each)
  }

  private registration (id: string): WorkerRegistration {
    return { id, born: 1, service: SERVICE, host: 'h', port: 1, zone: 'z', vm: `vm-${id}`, draining: false, capacity: { cpu: 4_000, memMb: 8_000, accelerators: 0 }, labels: ['a', 'r1'], rack: 'r1' }
  }

  private createLeaderClient (): LeaderClient {
    const reachableTerm = (service: string): ServiceTerm | undefined => service === SERVICE && this.leader?.reachable === true ? this.leader.term : undefined
    return {
      token: service => service === SERVICE ? this.leader?.token ?? 0 : 0,
      push: async (service, { job }) => reachableTerm(service)?.push(job) ?? false,
      cancelled: async (service, id) => reachableTerm(service)?.cancel(id) ?? false,
      state: async (service, id) => {
        const state = reachableTerm(service)?.state(id) ?? 'not-ready'
        if (state === 'not-ready') return { kind: 'not-leader' }
        if (state === 'unknown') return { kind: 'unknown' }
        const { account, queue, address } = reachableTerm(service)?.job(id) ?? {}
        return { kind: 'known', state, account, queue, address }
      },
      pending: async ({ service, name }) => reachableTerm(service)?.pending(name)
    }
  }

  private createStoreClient (driver: Driver): StoreClient {
    return new StoreClient(driver, { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics() })
  }

  private createRecords (driver: Driver): JobRecords {
    return new JobRecords(this.createStoreClient(driver), new JobKeys('w'))
  }
}

/** Wraps a driver: the writes that `applies` selects meet the given faults, in order. */
function withWriteFaults (driver: Driver, faults: WriteFault[], applies: (txn: DriverTxn) => boolean, lateWrites: DriverTxn[] = []): Driver {
  const txn: Driver['txn'] = async (call, signal) => {
    const fault = applies(call) ? faults.shift() ?? 'fine' : 'fine'
    if (fault === 'late') lateWrites.push(call)
    if (fault === 'lose-call' || fault === 'late') return await connectionLost()
    const reply = await driver.txn(call, signal)
    return fault === 'lose-reply' ? await connectionLost() : reply
  }
  return new Proxy<Driver>(driver, { get: (target, name) => name === 'txn' ? txn : (Reflect.get(target, name) as () => unknown).bind(target) })
}

async function connectionLost (): Promise<Result<never, DriverError>> {
  return err({ kind: 'lost', message: 'disconnected' })
}

/** Wraps a channel: while the worker is not reached, calls get no response and break it. */
function disconnectableChannel (channel: WorkerChannel, reaches: () => boolean): WorkerChannel {
  return disconnectable(channel, name => reaches() || name === 'close', async () => {
    channel.close()
    return err({ kind: 'unknown', message: 'disconnected' })
  })
}

/** Wraps a client: while a method is not reached, its calls return the result of `onDisconnected`. */
function disconnectable<T extends object> (client: T, reaches: (method: string | symbol) => boolean, onDisconnected: () => Promise<unknown>): T {
  return new Proxy(client, {
    get: (object, name) => {
      const member = Reflect.get(object, name) as unknown
      if (typeof member !== 'function') return member
      return (...args: unknown[]): unknown => {
        if (!reaches(name)) return onDisconnected()
        return (member as (...args: unknown[]) => unknown).apply(object, args)
      }
    }
  })
}
