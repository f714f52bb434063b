import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { Account, EndedRun, Job, Step, WorkerError, WorkerRegistration } from '@wisteriaslip/jobs.model'
import { Scheduler, toProgress, type JobProgress, type Run } from '@wisteriaslip/jobs.scheduler'
import { plainStep } from '@wisteriaslip/testing.jobs'
import { QuotaHolder } from '../src/holder.ts'
import { faults, QuotaStore } from './quota-store.ts'

const LEASE_MS = 4_000
const OVERLAP_MS = 1_500
/** More than a refused start rests. */
const WORK_STEP_MS = 50
const WORKERS_PER_SERVICE = 2
const CAPACITY = { cpu: 6_000, memMb: 8_000, accelerators: 0 }
const QUOTAS = [6_000, 3_000, 9_000]
const DEMANDS = [1_000, 2_000, 3_000]
/** Services of the site. */
export const SERVICES = ['s0', 's1', 's2'] as const
const ACCOUNT = 'team'
const queue = { name: 'q', host: 'h', pathPrefix: '/', service: 's', priority: 0, attempts: 100, stretch: 1, objectiveMs: 0, timeoutMs: 0, needsPermit: false }
const limits = { longestLeaseMs: LEASE_MS, stopMs: 400, shutdownGraceMs: 6_000, keepMs: 1e9, maintenanceMs: 2_000 }

interface ActiveTask {
  readonly attempt: number
  readonly cpu: number
}

/** A worker: runs end with their lease, and commands of earlier leaders are refused. */
class ModelWorker {
  readonly registration: WorkerRegistration
  readonly running = new Map<string, ActiveTask>()
  readonly ended: EndedRun[] = []
  silent = false
  private token = 0
  private leaseUntil = 0
  private readonly blocked = new Set<string>()

  constructor (service: string, number: number) {
    const id = `${service}-w${number}`
    this.registration = { id, born: 1, service, host: '', port: 0, zone: '', vm: `vm-${id}`, draining: false, capacity: CAPACITY, labels: [], rack: '' }
  }

  used (): number {
    return [...this.running.values()].reduce((sum, { cpu }) => sum + cpu, 0)
  }

  expire (now: number): void {
    if (now >= this.leaseUntil) this.running.clear()
  }

  reach (token: number): boolean {
    if (token < this.token) return false
    this.token = token
    return true
  }

  extend (until: number): void {
    this.leaseUntil = Math.max(this.leaseUntil, until)
  }

  start (task: string, { attempt, cpu, token, now, until }: { attempt: number, cpu: number, token: number, now: number, until: number }): WorkerError | undefined {
    this.expire(now)
    if (!this.reach(token)) return { kind: 'refused', reason: 'fence' }
    if (until <= now || this.blocked.has(`${task}#${attempt}`)) return { kind: 'refused', reason: 'old' }
    if (this.used() + cpu > CAPACITY.cpu) return { kind: 'refused', reason: 'room' }
    this.running.set(task, { attempt, cpu })
    this.extend(until)
    return undefined
  }

  stop (task: string, attempt: number): void {
    this.blocked.add(`${task}#${attempt}`)
    if (this.running.get(task)?.attempt === attempt) this.end(task, 'stopped')
  }

  end (task: string, how: EndedRun['how']): void {
    const run = this.running.get(task)
    if (run === undefined || !this.running.delete(task)) return
    this.ended.push({ seq: this.ended.length + 1, task, attempt: run.attempt, how, checkpoint: '' })
  }
}

/** A leader of one service, which may have been replaced without knowing. */
class ModelLeader {
  readonly token: number
  readonly service: string
  readonly scheduler: Scheduler
  readonly holder: QuotaHolder
  readonly site: Site
  cut = false
  ended = false
  confirmedAt: number
  quota: number
  jobsSeen = 0

  constructor (site: Site, service: string, { token, term }: { token: number, term: number }) {
    this.site = site
    this.service = service
    this.token = token
    this.confirmedAt = site.now
    this.quota = site.quota
    const clock = { now: () => site.now }
    this.holder = new QuotaHolder({ service, token, guard: { key: leaderKey(service), createRevision: token }, store: site.store.reachedIf(() => !this.cut), prefix: 'quotas/', account: name => this.account(name), hasQuotas: () => true, clock, logger: silentLogger, metrics: new Metrics(), onChange () {} })
    this.scheduler = new Scheduler({ clock, wallClock: clock.now, limits, queue: () => queue, term, maxEarlierLeaseMs: LEASE_MS, leadershipConfirmedAt: () => this.confirmedAt, limiter: this.holder.limiter })
    for (const job of site.jobsOf(service)) this.scheduler.table.addJob(job, { acceptedThisTerm: term === 0, progress: site.progress.get(job.id) })
    this.jobsSeen = site.jobs.length
    this.scheduler.setWorkers(site.workersOf(service).map(({ registration }) => registration), { unknownRunsUntil: term === 0 ? 0 : site.now + OVERLAP_MS + LEASE_MS })
  }

  mayAct (): boolean {
    return !this.ended && this.site.now - this.confirmedAt < OVERLAP_MS
  }

  isLeader (): boolean {
    return this.site.store.docs.get(leaderKey(this.service))?.createRevision === this.token
  }

  pass (fault: number): void {
    this.scheduler.tick()
    const runs = this.scheduler.placeReadyTasks(this.mayAct() ? Infinity : 0)
    for (const [index, run] of runs.entries()) this.sendStart(run, index === 0 ? fault : 0)
    for (const run of this.scheduler.collectDueStops()) this.sendStop(run)
  }

  /** Polls all workers that respond, with a lease if it may grant one. */
  poll (): void {
    for (const tracked of this.scheduler.workers.values()) {
      const worker = this.site.worker(tracked.registration.id)
      const isRefused = !worker.silent && !worker.reach(this.token)
      if (isRefused) this.ended = true
      if (worker.silent || isRefused) {
        tracked.markUnreachable(this.site.now)
        continue
      }
      const { now } = this.site
      worker.expire(now)
      if (this.mayAct() && tracked.hasClock()) worker.extend(tracked.extendLease(now, LEASE_MS))
      const running = [...worker.running].map(([task, { attempt }]) => ({ task, attempt, checkpoint: '', percent: 50, load: 0 }))
      this.scheduler.applyReport(tracked, { clockMs: now, born: 1, running, ended: worker.ended, moreEnded: false }, { sentAt: now, receivedAt: now })
    }
    for (const { tracked, completions } of this.scheduler.table.takeDirty()) {
      if (this.isLeader()) this.site.progress.set(tracked.job.id, toProgress(tracked))
      this.scheduler.table.markDurable(tracked, tracked.outcome, completions)
    }
  }

  async changeParts (): Promise<void> {
    await this.holder.step(this.scheduler)
  }

  /** Learns of what others have written, and of new jobs. */
  observe ({ records }: { records: boolean }): void {
    if (this.cut) return
    if (this.isLeader()) this.confirmedAt = this.site.now
    else if (!this.mayAct()) this.ended = true
    if (records && this.holder.book.isRead) for (const doc of this.site.store.docs.values()) this.holder.book.applyDoc(doc)
    for (const job of this.site.jobs.slice(this.jobsSeen)) if (job.service === this.service) this.scheduler.addJob(job, { acceptedThisTerm: job.acceptedUnder === this.token })
    this.jobsSeen = this.site.jobs.length
  }

  private account (name: string): Account | undefined {
    return this.site.isConfigured && name === ACCOUNT ? this.site.accounts.get(this.quota) : undefined
  }

  /** `fault` 1: the start has no response; 2: nor does it arrive before later. */
  private sendStart (run: Run, fault: number): void {
    const { now } = this.site
    const worker = this.site.worker(run.worker.registration.id)
    const { cpu } = run.task.step.spec.demand
    const command = { attempt: run.attempt, cpu, token: this.token, until: run.worker.extendLease(now, 0) }
    const allowed = this.site.allowed()
    const carryOut = (): WorkerError | undefined => this.site.start(worker, run.task.name, command, allowed)
    if (fault === 2) this.site.lateStarts.push(carryOut)
    const error = fault === 2 || worker.silent ? { kind: 'unknown', message: 'no response' } as const : carryOut()
    const seen = fault === 1 ? { kind: 'unknown', message: 'no response' } as const : error
    this.scheduler.handleStartResponse(run, seen, seen === undefined ? { clockMs: now, sentAt: now } : undefined)
  }

  private sendStop (run: Run): void {
    const worker = this.site.worker(run.worker.registration.id)
    const reached = !worker.silent && worker.reach(this.token)
    if (reached) worker.stop(run.task.name, run.attempt)
    this.scheduler.handleStopResponse(run, reached)
  }
}

/** Several services with their leaders and workers, and one account whose quota they share. */
export class Site {
  now = 10_000
  quota = QUOTAS[0] as number
  /** Whether the configuration has the account. */
  isConfigured = true
  readonly store = new QuotaStore()
  readonly accounts = new Map<number, Account>(QUOTAS.map(cpu => [cpu, { name: ACCOUNT, keyDigests: [], weight: 1, quota: { cpu, memMb: 0, accelerators: 0 } }]))
  readonly leaders: ModelLeader[] = []
  readonly jobs: Job[] = []
  readonly progress = new Map<string, JobProgress>()
  readonly violations: string[] = []
  readonly lateStarts: Array<() => void> = []
  started = 0
  private readonly workers: ModelWorker[] = SERVICES.flatMap(service => Array.from({ length: WORKERS_PER_SERVICE }, (_, number) => new ModelWorker(service, number)))
  private terms = 0
  private readonly mutate: (leader: ModelLeader) => void
  private readonly opts: { readonly lasting: boolean }

  /**
   * @param mutate - injects a bug into each leader
   * @param opts - `lasting`: some tasks are long-running
   */
  constructor (mutate: (leader: ModelLeader) => void = () => {}, opts: { lasting: boolean } = { lasting: true }) {
    this.mutate = mutate
    this.opts = opts
    for (const service of SERVICES) this.elect(service, 0)
    for (const leader of this.leaders) leader.poll()
  }

  worker (id: string): ModelWorker {
    return this.workers.find(({ registration }) => registration.id === id) as ModelWorker
  }

  workersOf (service: string): ModelWorker[] {
    return this.workers.filter(({ registration }) => registration.service === service)
  }

  allWorkers (): readonly ModelWorker[] {
    return this.workers
  }

  /** Ends all runs of tasks. */
  endAll (): void {
    for (const worker of this.workers) for (const task of [...worker.running.keys()]) worker.end(task, 'done')
  }

  /** @returns ids of the jobs that could be done within the quota and aren't */
  unfinished (): string[] {
    const fits = ({ steps: [step] }: Job): boolean => step?.gang !== true || step.tasks * step.demand.cpu <= this.quota
    return this.jobs.filter(job => fits(job) && this.progress.get(job.id)?.outcome === undefined).map(({ id }) => id)
  }

  jobsOf (service: string): Job[] {
    return this.jobs.filter(job => job.service === service)
  }

  /** @returns the highest quota that may be in force */
  allowed (): number {
    return Math.max(this.quota, ...this.leaders.filter(leader => !leader.ended).map(({ quota }) => quota))
  }

  start (worker: ModelWorker, task: string, command: { attempt: number, cpu: number, token: number, until: number }, allowedWhenSent: number): WorkerError | undefined {
    for (const each of this.workers) each.expire(this.now)
    const error = worker.start(task, { ...command, now: this.now })
    const used = this.workers.reduce((sum, each) => sum + each.used(), 0)
    const allowed = Math.max(allowedWhenSent, this.allowed())
    if (error === undefined) this.started += 1
    if (error === undefined && used > allowed) this.violations.push(`${task} brings the account to ${used} of ${allowed}`)
    return error
  }

  async perform (action: number, detail: number, fault: number): Promise<void> {
    const service = SERVICES[detail % SERVICES.length] as string
    switch (action) {
      case 0: return this.submit(service, detail)
      case 1: for (const leader of this.acting()) leader.pass(fault % 3); return
      case 2: for (const leader of this.acting()) leader.poll(); return
      case 3: return await this.changeParts(fault)
      case 4: return this.advance([100, 400, 1_400][detail % 3] as number)
      case 5: for (const worker of this.workersOf(service)) for (const task of [...worker.running.keys()].slice(0, 1 + fault)) worker.end(task, detail % 4 === 0 ? 'failed' : 'done'); return
      case 6: this.elect(service, 1 + this.terms); return
      case 7: for (const leader of this.leaders.filter(each => each.service === service)) leader.cut = fault < 2 && !leader.cut; return
      case 8: for (const worker of this.workersOf(service).slice(0, 1)) worker.silent = !worker.silent; return
      case 9: this.quota = QUOTAS[detail % QUOTAS.length] as number; return
      case 10: for (const leader of this.acting().filter(each => each.service === service || fault < 2)) leader.quota = this.quota; return
      case 11: this.store.applyLate(); this.lateStarts.shift()?.(); return
      default: for (const leader of this.acting().filter(each => each.service === service || fault < 2)) leader.observe({ records: fault < 3 })
    }
  }

  /**
   * Lets all that works go on for a while.
   * @param times - how often
   */
  async work (times = 1): Promise<void> {
    if (times > 1) await this.work(times - 1)
    this.advance(WORK_STEP_MS)
    for (const action of [12, 2, 2, 1, 3, 12, 1, 2]) await this.perform(action, 0, 0)
  }

  advance (ms: number): void {
    this.now += ms
    for (const worker of this.workers) worker.expire(this.now)
    for (const leader of this.acting()) if (!leader.cut && leader.isLeader()) leader.confirmedAt = this.now
  }

  private acting (): ModelLeader[] {
    return this.leaders.filter(leader => !leader.ended)
  }

  /** All at the same time: each reads before any writes. */
  private async changeParts (fault: number): Promise<void> {
    this.store.nextFault = fault
    await Promise.all(this.acting().map(async leader => await leader.changeParts()))
    this.store.nextFault = faults.none
  }

  /**
   * Accepts a job of one step.
   * @param service - its service
   * @param spec - `cpu`: demand of a task, in thousandths of a core; `account`: undefined for none
   */
  accept (service: string, { cpu, account = ACCOUNT, ...spec }: Partial<Step> & { cpu: number, account?: string | undefined }): Job {
    const step = plainStep({ demand: { cpu, memMb: 0, accelerators: 0 }, ...spec })
    const job: Job = { id: `j${this.jobs.length}`, queue: 'q', service, payload: '', steps: [step], acceptedAt: this.now, acceptedUnder: this.leader(service).token, account: account === '' ? undefined : account }
    this.jobs.push(job)
    return job
  }

  /** @returns the last leader of a service */
  leader (service: string): ModelLeader {
    return this.leaders.filter(leader => leader.service === service).at(-1) as ModelLeader
  }

  /** @returns processor time in use by the runs of a service's workers, in thousandths of a core */
  usedBy (service: string): number {
    return this.workersOf(service).reduce((sum, worker) => sum + worker.used(), 0)
  }

  private submit (service: string, detail: number): void {
    const cpu = DEMANDS[Math.floor(detail / SERVICES.length) % DEMANDS.length] as number
    this.accept(service, { tasks: 1 + detail % 4, cpu, gang: detail % 5 === 0, lasting: this.opts.lasting && detail % 7 === 0 })
  }

  /** The leader before goes on until it notices. */
  private elect (service: string, term: number): void {
    this.store.docs.delete(leaderKey(service))
    const token = this.store.put(leaderKey(service), {})
    this.terms += 1
    const leader = new ModelLeader(this, service, { token, term })
    this.mutate(leader)
    this.leaders.push(leader)
  }
}

function leaderKey (service: string): string {
  return `leader/${service}`
}
