import assert from 'node:assert/strict'
import { silentLogger, type Logger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { AddressedJob, Queue } from '@wisteriaslip/jobs.model'
import { JobKeys, JobRecords } from '@wisteriaslip/jobs.store'
import { StoreClient } from '@wisteriaslip/store.client'
import { plainStep, VirtualProcess } from '@wisteriaslip/testing.jobs'
import { seededRandom } from '@wisteriaslip/testing.site'
import { MemoryDriver } from '@wisteriaslip/testing.stand-ins'
import type { Draw, LinkCut } from '@wisteriaslip/testing.simulation'
import { FaultyWorkers } from './faulty-workers.ts'
import { LEADER_KEY, LEASE_RENEWAL_MS, ModelEntry, type Surroundings } from './model-entry.ts'
import type { ThrowingCall } from './throwing-ports.ts'

export const ENTRIES = 3
const ELECTION_MS = 150
const RECONCILE_MS = 1_000
/** A scenario that lasts longer never calms down. */
const MAX_PLAY_MS = 90_000
/** Number of tasks, and cpu and duration of each, by the first letters of the job's id. */
const JOBS: Readonly<Record<string, { tasks: number, cpu: number, runMs: number, needsPermit?: boolean }>> = {
  lasting: { tasks: 8, cpu: 1_000, runMs: Infinity },
  permitted: { tasks: 2, cpu: 500, runMs: Infinity, needsPermit: true },
  steady: { tasks: 4, cpu: 1_000, runMs: 5_000 },
  short: { tasks: 6, cpu: 500, runMs: 700 }
}

/** Something that happens to a service, from `atMs` on and for `forMs` if it lasts. */
export type Trouble =
  /** An entry is cut from the store, from its peers and from the list of VMs. */
  | { readonly kind: 'isolated', readonly atMs: number, readonly forMs: number, readonly entry: number }
  /** An entry is cut from one machine. */
  | { readonly kind: 'cut', readonly atMs: number, readonly forMs: number, readonly entry: number, readonly vm: number, readonly how: LinkCut }
  /** The store ends the lease of the leader. */
  | { readonly kind: 'revoked', readonly atMs: number }
  | { readonly kind: 'store-down', readonly atMs: number, readonly forMs: number }
  /** A worker crashes, and one begins on its machine after `forMs`. */
  | { readonly kind: 'crash', readonly atMs: number, readonly forMs: number, readonly vm: number, readonly sameId: boolean }
  /** Nothing reaches a machine. */
  | { readonly kind: 'dark', readonly atMs: number, readonly forMs: number, readonly vm: number }
  /** Jobs that end by themselves are handed in. */
  | { readonly kind: 'jobs', readonly atMs: number }
  /** A call of all entries throws the next time. */
  | { readonly kind: 'throws', readonly atMs: number, readonly call: ThrowingCall }
  /** The mirror of an entry shows no leader for a while. */
  | { readonly kind: 'flap', readonly atMs: number, readonly forMs: number, readonly entry: number }
  /** The process of an entry is held up again and again, for up to `byMs` each time. */
  | { readonly kind: 'held-up', readonly atMs: number, readonly forMs: number, readonly entry: number, readonly byMs: number }
  /** Messages between entries and workers may be late by up to `byMs`, and replies may come after the sender gave up. */
  | { readonly kind: 'slow', readonly atMs: number, readonly forMs: number, readonly byMs: number }

/** A scenario; `seed` decides what it leaves open. */
export interface Contest {
  readonly seed: number
  readonly machines: number
  readonly troubles: readonly Trouble[]
}

/** A service that several entries lead, one after the other or at once, on a virtual clock. */
export class ContestedService {
  readonly process = new VirtualProcess()
  readonly workers: FaultyWorkers
  readonly entries: readonly ModelEntry[]
  /** When the last trouble was over, and the last term began. */
  calmAt = 0
  private readonly driver = new MemoryDriver()
  private readonly records: JobRecords
  private readonly store: StoreClient
  private readonly draw: Draw
  private readonly random = Math.random
  private readonly mayHoldUp: boolean
  private readonly submitted = new Set<string>()
  private leader: { readonly entry: ModelEntry, readonly token: number, readonly lease: number } | undefined
  private lastElected = -1
  private electing = false
  private storesDown = 0
  private slowness: number[] = []

  constructor ({ seed, machines, troubles }: Contest, logger: Logger = silentLogger) {
    this.mayHoldUp = troubles.some(({ kind }) => kind === 'held-up')
    const random = seededRandom(seed)
    this.draw = below => Math.floor(random() * below)
    Math.random = random
    this.process.install()
    this.workers = new FaultyWorkers(this.process, { machines, draw: this.draw, demandOf: task => jobOf(task) })
    this.workers.onRegistrations = () => this.publish()
    this.store = new StoreClient(this.driver, { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics(), clock: this.process })
    this.records = new JobRecords(this.store, new JobKeys('w'))
    this.entries = Array.from({ length: ENTRIES }, (_, number) => new ModelEntry(this.surroundings(logger.child({ entry: number }))))
  }

  /** Plays a scenario until `calmMs` after its last trouble. */
  async play ({ troubles }: Contest, calmMs: number): Promise<void> {
    this.submit('lasting')
    this.submit('permitted')
    this.publish()
    this.every(ELECTION_MS, () => this.deliver(async () => await this.elect()))
    this.every(LEASE_RENEWAL_MS, () => { for (const entry of this.entries) entry.within(() => entry.renewLease()) })
    for (const [number, entry] of this.entries.entries()) this.process.outsideAfter(number * 300, () => this.every(RECONCILE_MS, () => entry.part.deliver(() => entry.reconcile())))
    for (const trouble of troubles) this.at(trouble.atMs, () => this.begin(trouble))
    while (this.process.now() < this.calmAt + calmMs && this.process.now() < MAX_PLAY_MS) await this.process.run(this.calmAt + calmMs)
  }

  /** @returns long-running tasks that run nowhere although a worker has room for them */
  waitingTasks (): string[] {
    const reachable = this.workers.reachable()
    const jobs = [...this.submitted].map(id => ({ id, ...jobOf(id) })).filter(({ runMs }) => runMs === Infinity)
    const tasks = jobs.flatMap(({ id, cpu, tasks }) => Array.from({ length: tasks }, (_, index) => ({ name: `${id}.0.0.${index}`, cpu })))
    return tasks.filter(({ name, cpu }) => !reachable.some(({ runs }) => runs.has(name)) && reachable.some(worker => worker.freeCpu() >= cpu)).map(({ name }) => name)
  }

  /** @returns jobs that have been given up */
  failedJobs (): string[] {
    return [...this.submitted].filter(id => this.leader?.entry.term()?.state(id) === 'failed')
  }

  close (): void {
    for (const entry of this.entries) entry.close()
    this.process.uninstall()
    Math.random = this.random
  }

  private surroundings (logger: Logger): Surroundings {
    return {
      process: this.process,
      draw: this.draw,
      driver: this.driver,
      workerClient: link => this.workers.client(link),
      queue: queueOf,
      vms: () => ({ vms: this.workers.list(), unreadable: [], complete: true }),
      isStoreUp: () => this.storesDown === 0,
      latenessMs: () => this.drawSlowness(),
      lateReplyMs: () => this.drawSlowness(),
      giveUp: async token => await this.giveUp(token),
      onTerm: () => { this.calmAt = Math.max(this.calmAt, this.process.now()) },
      mayHoldUp: this.mayHoldUp,
      logger
    }
  }

  /** Half of the messages are late while the network is slow. */
  private drawSlowness (): number {
    const most = Math.max(0, ...this.slowness)
    return most === 0 || this.draw(2) === 0 ? 0 : this.draw(most)
  }

  private at (atMs: number, callback: () => void): void {
    this.calmAt = Math.max(this.calmAt, atMs)
    this.process.outsideAfter(atMs - this.process.now(), callback)
  }

  private every (periodMs: number, callback: () => void): void {
    callback()
    this.process.outsideAfter(periodMs, () => this.every(periodMs, callback))
  }

  private deliver (run: () => Promise<void>): void {
    this.process.deliver(() => { run().catch(assert.ifError) })
  }

  private begin (trouble: Trouble): void {
    const until = (end: () => void): void => { if ('forMs' in trouble) this.at(this.process.now() + trouble.forMs, end) }
    if (trouble.kind === 'isolated') {
      const entry = this.entry(trouble.entry)
      this.isolate(entry)
      until(() => this.rejoin(entry))
    } else if (trouble.kind === 'cut') {
      const { cuts } = this.entry(trouble.entry)
      cuts.set(`vm${trouble.vm}`, trouble.how)
      until(() => cuts.delete(`vm${trouble.vm}`))
    } else if (trouble.kind === 'revoked') {
      if (this.leader !== undefined) this.leader.entry.lease.endsAt = this.process.now()
    } else if (trouble.kind === 'store-down') {
      this.storesDown += 1
      for (const entry of this.entries) entry.within(() => entry.loseStore())
      until(() => { this.storesDown -= 1 })
    } else if (trouble.kind === 'crash') {
      this.at(this.process.now() + trouble.forMs, () => {})
      this.workers.crash(`vm${trouble.vm}`, { backMs: trouble.forMs, sameId: trouble.sameId })
    } else if (trouble.kind === 'dark') {
      this.workers.setDark(`vm${trouble.vm}`, true)
      until(() => this.workers.setDark(`vm${trouble.vm}`, false))
    } else if (trouble.kind === 'jobs') {
      for (const name of ['steady', 'short']) this.process.deliver(() => this.submit(`${name}${this.submitted.size}`))
    } else if (trouble.kind === 'flap') {
      const entry = this.entry(trouble.entry)
      entry.part.deliver(() => entry.mirror(undefined))
      until(() => this.mirror(entry))
    } else if (trouble.kind === 'held-up') {
      this.entry(trouble.entry).holdUpUntil(this.process.now() + trouble.forMs, trouble.byMs)
      until(() => {})
    } else if (trouble.kind === 'throws') {
      for (const { ports } of this.entries) ports.arm(trouble.call)
    } else {
      this.slowness.push(trouble.byMs)
      until(() => { this.slowness = this.slowness.filter((_, number) => number !== this.slowness.indexOf(trouble.byMs)) })
    }
  }

  private isolate (entry: ModelEntry): void {
    entry.isolated = true
    entry.outdated = true
    entry.within(() => entry.loseStore())
  }

  private rejoin (entry: ModelEntry): void {
    entry.isolated = false
    this.mirror(entry)
    this.publish()
  }

  /** Lets an entry learn who leads, unless it is out of reach then. */
  private mirror (entry: ModelEntry): void {
    this.process.outsideAfter(20 + this.draw(400), () => entry.part.deliver(() => {
      if (entry.isolated) return
      entry.outdated = false
      entry.mirror(this.leader?.entry === entry ? this.leader.token : undefined)
    }))
  }

  /** Lets all entries in reach learn of the registrations as they are now. */
  private publish (): void {
    const registrations = [...this.workers.registered.values()]
    for (const entry of this.entries ?? []) this.process.outsideAfter(20, () => { if (!entry.isolated) entry.registrations = registrations })
  }

  /** Ends a leadership whose lease has ended in the store; another entry in reach becomes the leader. */
  private async elect (): Promise<void> {
    if (this.electing || this.storesDown > 0) return
    this.electing = true
    const { leader } = this
    const isOver = leader !== undefined && (leader.entry.lease.number !== leader.lease || leader.entry.lease.endsAt <= this.process.now())
    const current = await this.store.get(LEADER_KEY)
    if (isOver && current.ok && current.value !== undefined) {
      await this.store.update([{ key: LEADER_KEY, prior: current.value, value: undefined }])
      this.leader = undefined
      this.mirror(leader.entry)
    } else if (leader === undefined) await this.acquire()
    this.electing = false
  }

  private async giveUp (token: number): Promise<void> {
    const { leader } = this
    if (leader?.token !== token || !leader.entry.reachesStore()) return
    const current = await this.store.get(LEADER_KEY)
    if (!current.ok || current.value?.createRevision !== token) return
    await this.store.update([{ key: LEADER_KEY, prior: current.value, value: undefined }])
    this.leader = undefined
    this.mirror(leader.entry)
  }

  private async acquire (): Promise<void> {
    const candidates = this.entries.map((entry, number) => ({ entry, number })).filter(({ entry }) => entry.reachesStore() && entry.lease.endsAt > this.process.now())
    const next = candidates.find(({ number }) => number > this.lastElected) ?? candidates[0]
    if (next === undefined) return
    const acquired = await this.store.update([{ key: LEADER_KEY, prior: undefined, value: {} }])
    assert.ok(acquired.ok)
    this.lastElected = next.number === ENTRIES - 1 ? -1 : next.number
    this.leader = { entry: next.entry, token: acquired.value, lease: next.entry.lease.number }
    this.calmAt = Math.max(this.calmAt, this.process.now())
    next.entry.within(() => next.entry.lead(acquired.value))
  }

  private submit (id: string): void {
    this.submitted.add(id)
    const { tasks, cpu, runMs, needsPermit } = jobOf(id)
    const step = plainStep({ tasks, demand: { cpu, memMb: 100, accelerators: 0 }, lasting: runMs === Infinity, mayMiss: 1 })
    const job: AddressedJob = { id, address: 'q', queue: needsPermit === true ? 'p' : 'q', service: 's', payload: '', steps: [step], acceptedAt: this.process.now(), acceptedUnder: 0 }
    this.records.accept(job).then(() => {
      const entry = this.leader?.entry
      entry?.within(() => entry.term()?.push(job))
    }, assert.ifError)
  }

  private entry (number: number): ModelEntry {
    const entry = this.entries[number]
    if (entry === undefined) throw new Error(`no entry ${number}`)
    return entry
  }
}

function queueOf (name: string): Queue {
  return { name, host: 'h', pathPrefix: '/q/', service: 's', priority: 0, attempts: 3, stretch: 2, objectiveMs: 600, timeoutMs: 3_000, needsPermit: name === 'p' }
}

function jobOf (name: string): { tasks: number, cpu: number, runMs: number, needsPermit?: boolean } {
  return JOBS[/^[a-z]+/.exec(name)?.[0] ?? ''] ?? { tasks: 0, cpu: 0, runMs: 0 }
}
