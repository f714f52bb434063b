import { err, systemClock, type Result } from '@wisteriaslip/core.result'
import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import { Intake, type LeaderClient } from '@wisteriaslip/jobs.intake'
import type { JobLimits, JobRequest, Queue, Step, Vm, WorkerClient, WorkerRegistration } from '@wisteriaslip/jobs.model'
import { ServiceTerm } from '@wisteriaslip/jobs.service'
import { JobKeys, JobRecords } from '@wisteriaslip/jobs.store'
import { StoreClient, type Driver, type DriverError } from '@wisteriaslip/store.client'
import { MemoryDriver, type DriverFault } from '@wisteriaslip/testing.stand-ins'
import { JobWorkers, type TaskPlan } from './memory-workers.ts'

const SERVICE = 's'
const LEADER_KEY = 'w/leaders/service/s'

/** Its leases would outlast any test, so that nothing passes by waiting for them. */
const limits: JobLimits = { longestLeaseMs: 600_000, stopMs: 50, graceMs: 6_000, keepMs: 120_000, maintenanceMs: 2_000 }

const queue: Queue = { name: 'q', host: 'h', pathPrefix: '/q/', service: SERVICE, priority: 0, attempts: 3, stretch: 2, objectiveMs: 600, timeoutMs: 3_000, needsPermit: false }

/** A leader of the site's service. */
export interface SiteLeader {
  readonly term: ServiceTerm
  /** Ends its term as planned. */
  resign (): Promise<void>
  /** Cuts it off from store and workers; it goes on without knowing. */
  cut (): void
}

/** One service on a store in memory: callers hand jobs in, and leaders come and go. */
export class JobSite {
  readonly driver = new MemoryDriver()
  readonly workers: JobWorkers
  readonly intake: Intake
  readonly queue = queue
  /** Fates of the next writes of the intake, in order; then all go well. */
  readonly handInFaults: DriverFault[] = []
  /** Becomes of runs what this says, by task and attempt. */
  plan: (task: string, attempt: number) => Partial<TaskPlan> = () => ({})
  /** VMs as the platform lists them. */
  vms: Vm[] = []
  private readonly ending = new AbortController()
  private leader: { readonly term: ServiceTerm, readonly token: number, reachable: boolean } | undefined
  private readonly running: Array<Promise<void>> = []

  constructor () {
    this.workers = new JobWorkers(() => systemClock.now(), (task, attempt) => ({ ms: 30, how: 'done', demand: { cpu: 1_000, memMb: 100, accelerators: 0 }, members: 1, ...this.plan(task, attempt) }))
    const metrics = new Metrics()
    this.intake = new Intake({ records: this.records(this.handInDriver()), leaders: this.leaderCalls(), clock: systemClock, logger: silentLogger, metrics, signal: this.ending.signal })
  }

  /** @param ids - of workers that begin their lives, each on a VM of its own */
  addWorkers (...ids: string[]): void {
    for (const id of ids) {
      const entry: WorkerRegistration = { id, born: 1, service: SERVICE, host: 'h', port: 1, zone: 'z', vm: `vm-${id}`, draining: false, capacity: { cpu: 4_000, memMb: 8_000, accelerators: 0 }, labels: ['a', 'r1'], rack: 'r1' }
      this.workers.add(entry)
      this.vms.push({ id: entry.vm, pool: SERVICE, state: 'up', zone: 'z', rack: 'r1', labels: [], capacity: entry.capacity, worker: id })
    }
  }

  /** A worker's VM is switched off: what ran there is gone, and nothing answers. */
  switchOff (id: string): void {
    this.workers.lose(id)
    this.vms = this.vms.map(vm => vm.worker === id ? { ...vm, pool: 'spare', worker: '' } : vm)
  }

  /**
   * Elects a new leader in place of the present one, and waits until its term has begun.
   * @returns the leader
   */
  async elect (): Promise<SiteLeader> {
    const store = this.client(this.driver)
    const present = await store.get(LEADER_KEY)
    if (present.ok && present.value !== undefined) await store.update([{ key: LEADER_KEY, prior: present.value, value: undefined }])
    const taken = await store.update([{ key: LEADER_KEY, prior: undefined, value: {} }])
    if (!taken.ok) throw new Error(taken.error.message)
    const token = taken.value
    const link = { up: true }
    const ending = new AbortController()
    this.ending.signal.addEventListener('abort', () => ending.abort(), { once: true })
    const driver = cuttable(this.driver, link, lostCall)
    const term = new ServiceTerm({
      service: SERVICE,
      token,
      guard: { key: LEADER_KEY, createRevision: token },
      store: this.client(driver),
      records: this.records(driver),
      workerClient: cuttable<WorkerClient>(this.workers, link, async () => err({ kind: 'unknown', message: 'cut off' })),
      permitClient: undefined,
      registeredWorkers: () => this.workers.entries(),
      vms: async () => link.up ? this.vms : undefined,
      queue: () => queue,
      limits,
      clock: systemClock,
      wallClock: Date.now,
      logger: silentLogger,
      metrics: new Metrics()
    })
    const leader = { term, token, reachable: true }
    this.leader = leader
    const done = term.run(ending.signal)
    this.running.push(done)
    return {
      term,
      resign: async () => {
        ending.abort()
        await done
      },
      cut: () => {
        link.up = false
        leader.reachable = false
      }
    }
  }

  /**
   * @param id - of the job
   * @param steps - of it
   * @param overrides - of the request
   */
  request (id: string, steps: Step[], overrides: Partial<JobRequest> = {}): JobRequest {
    return { id, queue: queue.name, service: SERVICE, payload: 'p', steps, acceptedAt: Date.now(), ...overrides }
  }

  /** Ends everything. */
  async close (): Promise<void> {
    this.ending.abort()
    await Promise.all(this.running)
    this.workers.close()
  }

  private leaderCalls (): LeaderClient {
    const reached = (): ServiceTerm | undefined => this.leader?.reachable === true ? this.leader.term : undefined
    return {
      token: () => this.leader?.token ?? 0,
      push: async (_service, { job }) => reached()?.push(job) ?? false,
      cancelled: async (_service, id) => reached()?.cancel(id) ?? false,
      state: async (_service, id) => {
        const state = reached()?.state(id) ?? 'not-ready'
        if (state === 'not-ready') return { kind: 'not-leader' }
        return state === 'unknown' ? { kind: 'unknown' } : { kind: 'known', state }
      },
      pending: async (_service, name) => reached()?.pending(name)
    }
  }

  private handInDriver (): Driver {
    const txn: Driver['txn'] = async call => {
      const fault = this.handInFaults.shift() ?? 'fine'
      if (fault === 'lose-call') return await lostCall()
      const answer = await this.driver.txn(call)
      return fault === 'lose-reply' ? await lostCall() : answer
    }
    return new Proxy<Driver>(this.driver, { get: (driver, name) => name === 'txn' ? txn : (Reflect.get(driver, name) as () => unknown).bind(driver) })
  }

  private client (driver: Driver): StoreClient {
    return new StoreClient(driver, { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics() })
  }

  private records (driver: Driver): JobRecords {
    return new JobRecords(this.client(driver), new JobKeys('w'))
  }
}

async function lostCall (): Promise<Result<never, DriverError>> {
  return err({ kind: 'lost', message: 'cut off' })
}

/** Calls go through while the link is up; else they get what `cut` gives. */
function cuttable<T extends object> (target: T, link: { up: boolean }, cut: () => Promise<unknown>): T {
  return new Proxy(target, {
    get: (object, name) => {
      const member = Reflect.get(object, name) as unknown
      if (typeof member !== 'function') return member
      return (...args: unknown[]): unknown => {
        if (!link.up && name !== 'forget') return cut()
        return (member as (...args: unknown[]) => unknown).apply(object, args)
      }
    }
  })
}
