/**
 * Measures the processor time of a leader's scheduling decisions for each start, by number of workers, load and client accounts. Calls,
 * network and store are left out; time is virtual.
 * @module
 */
import { plainStep } from '@wisteriaslip/testing.jobs'
import type { Account, Job, Queue } from '@wisteriaslip/jobs.model'
import { Scheduler, type AccountLookup, type Run, type StartLimiter, type TrackedWorker } from '@wisteriaslip/jobs.scheduler'
import { round } from './statistics.ts'

const WORKER_COUNTS = [8, 32, 128, 256] as const
const LOADS = [1, 2, 4, 8] as const
const ACCOUNT_COUNTS = [0, 20, 230] as const
/** Workers where numbers of accounts are compared. */
const ACCOUNTS_WORKERS = 128
/** Load 1 keeps this share of the workers' processors busy. */
const USED_SHARE = 0.5
const CAPACITY = { cpu: 64_000, memMb: 128_000, accelerators: 0 }
const DEMAND = { cpu: 9_000, memMb: 1_000, accelerators: 0 }
const TASKS_PER_JOB = 8
const RUN_MS = 640
const PASS_MS = 10
const MEASURED_MS = 3_000
const WARM_UP_MS = 1_000
const LEASE_MS = 4_000

const queue: Queue = { name: 'q', host: 'h', pathPrefix: '/', service: 's', priority: 0, attempts: 3, stretch: 2, objectiveMs: 600, timeoutMs: 3_000, needsPermit: false }

/** Processor time of a start by number of workers, in microseconds, at one load. */
export interface SchedulingResult {
  /** Work that arrives, relative to what keeps half of the processors busy: 2 is all that the workers can do. */
  readonly load: number
  readonly startUsByWorkers: Readonly<Record<string, number>>
  /** Cost at the highest number of workers relative to the lowest. */
  readonly growth: number
}

/**
 * Measures all numbers of workers and loads.
 * @returns a result for each load
 */
export async function benchScheduling (): Promise<SchedulingResult[]> {
  const results: SchedulingResult[] = []
  for (const load of LOADS) {
    const startUs: number[] = []
    for (const workers of WORKER_COUNTS) startUs.push(await new SchedulingSimulation(workers, load).measureStartUs())
    results.push({
      load,
      startUsByWorkers: Object.fromEntries(WORKER_COUNTS.map((workers, index) => [workers, round(startUs[index] ?? Number.NaN, 1)])),
      growth: round((startUs.at(-1) ?? Number.NaN) / (startUs[0] ?? Number.NaN), 2)
    })
  }
  return results
}

/** Processor time of a start by number of client accounts, in microseconds, at one load. */
export interface AccountsResult {
  readonly load: number
  readonly startUsByAccounts: Readonly<Record<string, number>>
}

/**
 * Measures all numbers of client accounts, whose weights together are half of what the workers can do.
 * @returns a result for each load
 */
export async function benchAccounts (): Promise<AccountsResult[]> {
  const results: AccountsResult[] = []
  for (const load of LOADS) {
    const startUsByAccounts: Record<string, number> = {}
    for (const accounts of ACCOUNT_COUNTS) startUsByAccounts[accounts] = round(await new SchedulingSimulation(ACCOUNTS_WORKERS, load, weightedAccounts(accounts)).measureStartUs(), 1)
    results.push({ load, startUsByAccounts })
  }
  return results
}

function weightedAccounts (count: number): SimulatedAccounts | undefined {
  if (count === 0) return undefined
  const weight = 1_000 / RUN_MS / TASKS_PER_JOB * tasksAtOnce(ACCOUNTS_WORKERS) / count
  const account = (name: string): Account => ({ name, keyDigests: [], weight, quota: { cpu: 0, memMb: 0, accelerators: 0 } })
  return { account, accountOf: job => `a${job % count}` }
}

/** Client accounts of a simulation. */
export interface SimulatedAccounts {
  readonly account?: AccountLookup
  readonly limiter?: StartLimiter
  /** @returns name of the account of a job, by its number */
  accountOf (job: number): string
  /** Called before each pass, with the time of the simulation. */
  beforePass? (scheduler: Scheduler, now: number): Promise<void>
}

/** A leader with its workers on a virtual clock. */
export class SchedulingSimulation {
  private now = 1_000
  private readonly accounts: SimulatedAccounts | undefined
  private readonly scheduler: Scheduler
  private readonly workers: TrackedWorker[]
  private readonly endsByWorker = new Map<TrackedWorker, Array<{ at: number, run: Run }>>()
  private readonly seqs = new Map<TrackedWorker, number>()
  private readonly jobsPerMs: number
  private jobs = 0
  private starts = 0

  /**
   * @param workers - number of workers
   * @param load - work that arrives, relative to what keeps half of the processors busy
   * @param accounts - client accounts of the jobs, undefined for none
   */
  constructor (workers: number, load: number, accounts?: SimulatedAccounts) {
    this.accounts = accounts
    this.scheduler = new Scheduler({ account: accounts?.account, clock: { now: () => this.now }, wallClock: () => this.now, limits: { longestLeaseMs: 6_000, stopMs: 400, shutdownGraceMs: 6_000, keepMs: 120_000, maintenanceMs: 2_000 }, queue: () => queue, term: 0, leadershipConfirmedAt: () => Infinity, maxEarlierLeaseMs: 0, limiter: accounts?.limiter })
    this.scheduler.setWorkers(Array.from({ length: workers }, (_, index) => ({ id: `w${index}`, born: 1, service: 's', host: 'h', port: 1, zone: 'z', vm: `v${index}`, draining: false, capacity: CAPACITY, labels: [], rack: `r${index >> 4}` })), { unknownRunsUntil: 0 })
    this.workers = [...this.scheduler.workers.values()]
    for (const worker of this.workers) this.report(worker)
    this.jobsPerMs = tasksAtOnce(workers) * load / RUN_MS / TASKS_PER_JOB
  }

  /** @returns processor time of a start, in microseconds */
  async measureStartUs (): Promise<number> {
    await this.runUntil(this.now + WARM_UP_MS)
    const startsBefore = this.starts
    const before = process.cpuUsage()
    await this.runUntil(this.now + MEASURED_MS)
    const { user, system } = process.cpuUsage(before)
    return (user + system) / (this.starts - startsBefore)
  }

  private async runUntil (until: number): Promise<void> {
    for (; this.now < until; this.now += PASS_MS) {
      for (const due = Math.floor(this.now * this.jobsPerMs); this.jobs < due;) this.addJob()
      for (const worker of this.workers) {
        if ((this.endsByWorker.get(worker)?.[0]?.at ?? Infinity) <= this.now) this.report(worker)
      }
      this.scheduler.tick()
      await this.accounts?.beforePass?.(this.scheduler, this.now)
      for (const run of this.scheduler.placeReadyTasks()) this.start(run)
      for (const { tracked, completions } of this.scheduler.table.takeDirty()) this.scheduler.table.markDurable(tracked, tracked.outcome, completions)
    }
  }

  private addJob (): void {
    this.jobs += 1
    const job: Job = { id: `j${this.jobs}`, queue: 'q', service: 's', payload: '', steps: [plainStep({ tasks: TASKS_PER_JOB, demand: DEMAND, estimateMs: RUN_MS })], acceptedAt: this.now, acceptedUnder: 0, account: this.accounts?.accountOf(this.jobs) }
    this.scheduler.addJob(job, { acceptedThisTerm: true })
  }

  private start (run: Run): void {
    this.starts += 1
    this.scheduler.handleStartResponse(run, undefined, { clockMs: this.now, sentAt: this.now })
    const ends = this.endsByWorker.get(run.worker) ?? []
    ends.push({ at: this.now + RUN_MS, run })
    this.endsByWorker.set(run.worker, ends)
  }

  private report (worker: TrackedWorker): void {
    const ends = this.endsByWorker.get(worker) ?? []
    const ended = ends.filter(({ at }) => at <= this.now).map(({ run: { task, attempt } }) => {
      const seq = (this.seqs.get(worker) ?? 0) + 1
      this.seqs.set(worker, seq)
      return { seq, task: task.name, attempt, how: 'done' as const, checkpoint: '' }
    })
    const left = ends.filter(({ at }) => at > this.now)
    this.endsByWorker.set(worker, left)
    const running = left.map(({ run: { task, attempt } }) => ({ task: task.name, attempt, checkpoint: '', percent: 50, load: 0 }))
    this.scheduler.applyReport(worker, { moreEnded: false, clockMs: this.now, born: 1, running, ended }, { sentAt: this.now, receivedAt: this.now })
    worker.extendLease(this.now, LEASE_MS)
  }
}

/** Tasks at once that load 1 asks for. */
function tasksAtOnce (workers: number): number {
  return workers * Math.floor(CAPACITY.cpu / DEMAND.cpu) * USED_SHARE
}
