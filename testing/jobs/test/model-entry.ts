import { err, linkAbort, type Result } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { PermitClient, Queue, VmList, WorkerClient, WorkerRegistration } from '@wisteriaslip/jobs.model'
import { ServiceTerm } from '@wisteriaslip/jobs.service'
import { JobKeys, JobRecords } from '@wisteriaslip/jobs.store'
import { StoreClient, type Driver, type DriverError } from '@wisteriaslip/store.client'
import type { VirtualPart, VirtualProcess } from '@wisteriaslip/testing.jobs'
import type { MemoryDriver } from '@wisteriaslip/testing.stand-ins'
import { TermRunner } from '../../../jobs/entry/src/term-runner.ts'
import { LONGEST_LEASE_MS, type Draw, type LinkCut, type WorkerLink } from '@wisteriaslip/testing.simulation'
import { ThrowingPorts } from './throwing-ports.ts'

export const LEADER_KEY = 'w/leaders/service/s'
const RESOURCE = 'service/s'
const STORE_DELAY_MS = 2
/** An entry's lease in the store ends this long after its last renewal. */
const LEASE_TTL_MS = 1_500
export const LEASE_RENEWAL_MS = 500
/** The entry counts on its lease for this long after it sent the last renewal that succeeded. */

/** How long a process is held up at least each time, and the longest time in between. */
const HELD_UP_MS = { least: 50, gap: 200 }
/** Turns of the loop in which a process that is held up reads a response: its connection, its head and its body. */
const RESPONSE_TURNS = 4

/** What an entry finds around it. */
export interface Surroundings {
  readonly process: VirtualProcess
  readonly draw: Draw
  readonly driver: MemoryDriver
  readonly workerClient: (link: WorkerLink) => WorkerClient
  readonly queue: (name: string) => Queue | undefined
  readonly vms: () => VmList
  readonly isStoreUp: () => boolean
  readonly latenessMs: () => number
  readonly lateReplyMs: () => number
  /** Ends the leadership with a token, if it lasts. */
  readonly giveUp: (token: number) => Promise<void>
  /** Called when an entry begins a term. */
  readonly onTerm: () => void
  /** Whether entries may be held up: then all that an entry does, renewals of its lease too, waits meanwhile. */
  readonly mayHoldUp: boolean
  readonly logger: Logger
}

/** An entry with its lease, its mirror of who leads, and its terms, which it runs as a real one does. */
export class ModelEntry {
  readonly ports: ThrowingPorts
  /** Its process. */
  readonly part: VirtualPart
  /** Cut from the store, from its peers and from the list of VMs. */
  isolated = false
  /** It was cut off, and has not heard from its peers since who leads: they confirm nothing before. */
  outdated = false
  /** How it is cut from machines, by VM. */
  readonly cuts = new Map<string, LinkCut>()
  /** The service's workers as last published to it. */
  registrations: readonly WorkerRegistration[] | undefined
  /** Token under which it leads as far as its mirror shows. */
  mirroredToken: number | undefined
  /** Its lease, as the store has it. */
  lease: { readonly number: number, endsAt: number }
  private readonly around: Surroundings
  private readonly runner: TermRunner<ServiceTerm>
  private readonly store: StoreClient
  private readonly stopped = new AbortController()
  private storeOutage = new AbortController()
  /** Leases with which it became a leader, by token. */
  private readonly leaseOf = new Map<number, number>()
  /** It is held up again and again until then, and for how long at most each time. */
  private heldUp = { untilMs: 0, byMs: 0 }
  private frozenUntil = 0
  /** The lease as the entry knows it. */
  private known: { readonly number: number, readonly confirmedAt: number }

  constructor (around: Surroundings) {
    this.around = around
    this.ports = new ThrowingPorts()
    this.part = around.process.createPart()
    this.store = new StoreClient(this.reachableDriver(), { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics(), clock: around.process })
    this.lease = { number: 0, endsAt: around.process.now() + LEASE_TTL_MS }
    this.known = { number: 0, confirmedAt: around.process.now() }
    this.runner = new TermRunner((_resource, token) => this.createTerm(token), { logger: around.logger, signal: this.stopped.signal, giveUp: async (_resource, token) => await around.giveUp(token) })
  }

  /**
   * Does something in the process of this entry.
   * @param callback - called at once, or, if entries may be held up, as soon as this one is not
   */
  within (callback: () => void): void {
    if (this.around.mayHoldUp) this.part.deliver(callback)
    else callback()
  }

  /**
   * Holds up its process again and again: from time to time, and whenever it reads a response of a worker.
   * @param untilMs - when that ends
   * @param byMs - for how long at most each time, in milliseconds
   */
  holdUpUntil (untilMs: number, byMs: number): void {
    this.heldUp = { untilMs, byMs }
    this.holdUpFromTimeToTime()
  }

  private holdUpFromTimeToTime (): void {
    const { process, draw } = this.around
    this.holdUp()
    if (process.now() < this.heldUp.untilMs) process.outsideAfter(this.frozenUntil - process.now() + 1 + draw(HELD_UP_MS.gap), () => this.holdUpFromTimeToTime())
  }

  private holdUp (): void {
    const { process, draw } = this.around
    const { untilMs, byMs } = this.heldUp
    const now = process.now()
    if (now >= untilMs) return
    this.frozenUntil = Math.max(this.frozenUntil, Math.min(untilMs, now + HELD_UP_MS.least + draw(byMs - HELD_UP_MS.least + 1)))
    this.part.freeze()
    process.outsideAfter(this.frozenUntil - now, () => { if (process.now() >= this.frozenUntil) this.part.thaw() })
  }

  /** Handles a response of a worker, which a process that is held up reads in several turns of its loop. */
  private receive (callback: () => void, turns = RESPONSE_TURNS): void {
    this.part.deliver(() => {
      if (turns <= 1 || this.around.process.now() >= this.heldUp.untilMs) return callback()
      this.holdUp()
      this.receive(callback, turns - 1)
    })
  }

  /** @returns whether its calls to the store arrive */
  reachesStore (): boolean {
    return !this.isolated && this.around.isStoreUp()
  }

  /** @returns its term, undefined if it has none */
  term (): ServiceTerm | undefined {
    return this.runner.get(RESOURCE)
  }

  /** Renews its lease, or finds that it is gone and gets another one. */
  renewLease (): void {
    if (!this.reachesStore()) return
    const now = this.around.process.now()
    if (this.lease.endsAt <= now) this.lease = { number: this.lease.number + 1, endsAt: 0 }
    this.lease.endsAt = now + LEASE_TTL_MS
    this.known = { number: this.lease.number, confirmedAt: now }
  }

  /**
   * @param token - token of one of its terms
   * @returns time of its clock at which the store last confirmed the lease with which it became the leader, or, while nobody
   * reaches the store, its peers
   */
  confirmedAt (token: number): number {
    if (this.leaseOf.get(token) !== this.known.number) return Number.NEGATIVE_INFINITY
    return this.isolated || this.outdated || this.around.isStoreUp() ? this.known.confirmedAt : this.around.process.now()
  }

  /** Notes that it has become the leader with its present lease. */
  lead (token: number): void {
    this.leaseOf.set(token, this.lease.number)
    this.mirror(token)
  }

  /** Lets its mirror show under which token it leads, if it does. */
  mirror (token: number | undefined): void {
    this.mirroredToken = token
    this.reconcile()
  }

  /** Begins and ends terms as the mirror says; an entry does so at least once a second. */
  reconcile (): void {
    this.runner.reconcile(new Map(this.mirroredToken === undefined ? [] : [[RESOURCE, this.mirroredToken]]))
  }

  /** Ends the watches of the store, which has gone out of reach. */
  loseStore (): void {
    this.storeOutage.abort()
    this.storeOutage = new AbortController()
  }

  close (): void {
    this.stopped.abort()
  }

  private createTerm (token: number): ServiceTerm {
    const { process, queue, logger } = this.around
    this.around.onTerm()
    const { ports, store } = this
    const link: WorkerLink = { up: true, deliver: callback => this.receive(callback), cutFrom: vm => this.cuts.get(vm), latenessMs: this.around.latenessMs, lateReplyMs: this.around.lateReplyMs }
    const workers = this.around.workerClient(link)
    const opts: ConstructorParameters<typeof ServiceTerm>[0] = {
      service: 's',
      token,
      guard: { key: LEADER_KEY, createRevision: token },
      leadershipConfirmedAt: () => this.confirmedAt(token),
      store: ports.wrap('store', store),
      records: ports.wrap('records', new JobRecords(store, new JobKeys('w'))),
      workerClient: { connect: endpoint => ports.wrap('worker', workers.connect(endpoint)) },
      permitClient: ports.wrap('permits', this.permitClient()),
      registeredWorkers: () => {
        ports.check('registeredWorkers')
        return this.registrations
      },
      vms: async () => {
        ports.check('vms')
        return await this.listVms()
      },
      queue,
      limits: { longestLeaseMs: LONGEST_LEASE_MS, stopMs: 400, shutdownGraceMs: 6_000, keepMs: 120_000, maintenanceMs: 2_000 },
      clock: process,
      wallClock: () => process.now(),
      logger: logger.child({ token }),
      metrics: new Metrics()
    }
    return new ServiceTerm(opts)
  }

  private permitClient (): PermitClient {
    return {
      requestPermits: async (_step, workers) => {
        await this.wait(20)
        return { ok: true, value: { permits: new Map(workers.map(id => [id, 'permit'])), validMs: 5_000 } }
      }
    }
  }

  private async listVms (): Promise<VmList | undefined> {
    const list = this.around.vms()
    await this.wait(20 + this.around.draw(100))
    return this.isolated ? undefined : list
  }

  private async wait (ms: number): Promise<void> {
    const { process } = this.around
    await new Promise<void>(resolve => process.outsideAfter(ms, () => this.part.deliver(resolve)))
  }

  /** The store as this entry reaches it. */
  private reachableDriver (): Driver {
    const { driver } = this.around
    const lost: { ok: false, error: DriverError } = { ok: false, error: { kind: 'lost', message: 'connection lost' } }
    const call = async <T>(run: () => Promise<Result<T, DriverError>>): Promise<Result<T, DriverError>> => {
      await this.wait(STORE_DELAY_MS)
      return this.reachesStore() ? await run() : err(lost.error)
    }
    const watch: Driver['watch'] = async (prefix, fromRevision, onBatch, signal) => {
      if (!this.reachesStore()) return lost.error
      const untilOutage = linkAbort(signal)
      this.storeOutage.signal.addEventListener('abort', () => untilOutage.abort(), { once: true })
      return await driver.watch(prefix, fromRevision, batch => this.within(() => { if (!untilOutage.signal.aborted) onBatch(batch) }), untilOutage.signal).finally(() => untilOutage.release())
    }
    const methods: Partial<Driver> = { range: async (key, opts) => await call(async () => await driver.range(key, opts)), txn: async txn => await call(async () => await driver.txn(txn)), watch }
    return Object.assign(Object.create(driver) as Driver, methods)
  }
}
