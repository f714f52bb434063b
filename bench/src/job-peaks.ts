/**
 * Simulates services that peak in turn on one fleet and measures the share of jobs in time, VM time and moves. Compares
 * the product's job order and pool autoscaling with simpler policies and with an upper bound that no policy can exceed.
 * @module
 */
import { PoolAutoscaler } from '@wisteriaslip/jobs.fleet'
import type { Job, JobLimits, Queue, Resources, Service, Step, Vm, WorkerRegistration } from '@wisteriaslip/jobs.model'
import { Scheduler, type Run } from '@wisteriaslip/jobs.scheduler'
import { computeServiceLoad, withdrawWorkers } from '@wisteriaslip/jobs.service'
import { plainStep } from '@wisteriaslip/testing.jobs'
import { SeededRandom } from './random.ts'
import { VirtualLoop } from './virtual-loop.ts'

const SERVICES = ['a', 'b', 'c', 'd']
const SPARE_POOL = 'spare'
const VM_COUNT = 32
const VM_CPU_MILLICORES = 64_000
const PEAK_DURATION_MS = 8_000
const CYCLE_MS = SERVICES.length * PEAK_DURATION_MS
const PEAK_JOBS_PER_S = 18
const LONG_RUNNING_TASKS_PER_SERVICE = 5
const LONG_RUNNING_TASK_CPU_MILLICORES = 5_000
const OFF_PEAK_JOBS_PER_S = 0.9
/** Time from the start of a move until the VM's new worker accepts runs. */
const MOVE_DURATION_MS = 1_900
const STEP_MS = 20
const FLEET_PLAN_INTERVAL_MS = 200
const LEASE_MS = 4_000
const OBJECTIVE_STRETCH = 1.6
const OBJECTIVE_MS = 600

const limits: JobLimits = { longestLeaseMs: 6_000, stopMs: 400, shutdownGraceMs: 6_000, keepMs: 120_000, maintenanceMs: 2_000 }
const services: Service[] = [...SERVICES.map(name => ({ name, guardsCapacity: true, standby: false })), { name: SPARE_POOL, guardsCapacity: true, standby: true }]

/** Policy for sharing the fleet among the services. */
export interface SharingPolicy {
  /**
   * How VMs move: as the product plans, never, or whenever a pool's demand exceeds its capacity. With `shared`, every VM
   * serves all services.
   */
  readonly pools: 'planned' | 'fixed' | 'threshold' | 'shared'
  readonly order: 'product' | 'first-come'
}

/** Figures of one policy; `inTime` is the fraction of jobs that met their objective. */
export interface PeakResult {
  readonly inTime: number
  readonly vmSeconds: number
  readonly moves: number
}

/** The policies that are compared. In `bound`, every VM is in every pool at once. */
export const sharingPolicies: Readonly<Record<string, SharingPolicy>> = {
  product: { pools: 'planned', order: 'product' },
  firstCome: { pools: 'planned', order: 'first-come' },
  fixedPools: { pools: 'fixed', order: 'product' },
  threshold: { pools: 'threshold', order: 'product' },
  bound: { pools: 'shared', order: 'product' }
}

/**
 * Simulates one cycle, in which each service peaks once.
 * @param policy - how the fleet is shared
 * @param seed - seed of the load
 * @returns figures of the policy
 */
export async function benchJobPeaks (policy: SharingPolicy, seed: number): Promise<PeakResult> {
  const simulation = new PeakSimulation(policy, seed)
  return await simulation.simulate()
}

interface Arrival { readonly at: number, readonly service: string, readonly steps: Step[] }

class PeakSimulation {
  private readonly loop = new VirtualLoop()
  private readonly policy: SharingPolicy
  private readonly random: SeededRandom
  private readonly schedulers = new Map<string, Scheduler>()
  private readonly poolOf = new Map<string, string>()
  private readonly movingUntil = new Map<string, number>()
  private readonly incarnations = new Map<string, number>()
  private readonly autoscaler = new PoolAutoscaler(this.loop)
  private readonly activeRuns = new Map<string, Array<{ endsAt: number, run: Run }>>()
  private readonly reportSeqs = new Map<string, number>()
  private readonly submissions = new Map<string, { at: number, objectiveMs: number }>()
  private jobs = 0
  private jobsInTime = 0
  private moves = 0
  private vmMs = 0

  constructor (policy: SharingPolicy, seed: number) {
    this.policy = policy
    this.random = new SeededRandom(seed)
    for (let number = 0; number < VM_COUNT; number++) this.poolOf.set(`vm${number}`, SERVICES[number % SERVICES.length] ?? SPARE_POOL)
    const names = policy.pools === 'shared' ? ['all'] : SERVICES
    for (const name of names) this.schedulers.set(name, this.makeScheduler())
    if (policy.pools === 'shared') for (const vm of this.poolOf.keys()) this.poolOf.set(vm, 'all')
  }

  async simulate (): Promise<PeakResult> {
    for (const name of this.schedulers.keys()) this.submitLongRunningJob(name)
    for (const arrival of this.generateArrivals()) this.loop.after(arrival.at, () => this.submitJob(arrival))
    this.loop.every(STEP_MS, () => this.step())
    if (this.policy.pools === 'planned') this.loop.every(FLEET_PLAN_INTERVAL_MS, () => this.planMoves())
    if (this.policy.pools === 'threshold') this.loop.every(FLEET_PLAN_INTERVAL_MS, () => this.moveOnThreshold())
    await this.loop.run(CYCLE_MS + PEAK_DURATION_MS)
    return { inTime: this.jobsInTime / this.jobs, vmSeconds: this.vmMs / 1_000, moves: this.moves }
  }

  private makeScheduler (): Scheduler {
    return new Scheduler({ clock: this.loop, wallClock: () => this.loop.now(), limits, queue: name => makeQueue(name, this.policy), term: 0, leadershipConfirmedAt: () => Infinity, maxEarlierLeaseMs: limits.longestLeaseMs })
  }

  private generateArrivals (): Arrival[] {
    const arrivals: Arrival[] = []
    for (const [peakIndex, service] of SERVICES.entries()) {
      for (let at = 0; at < CYCLE_MS;) {
        const isPeak = Math.floor(at / PEAK_DURATION_MS) === peakIndex
        const rate = (isPeak ? PEAK_JOBS_PER_S : OFF_PEAK_JOBS_PER_S) / 1_000
        at += this.random.exponential(1 / rate)
        arrivals.push({ at, service, steps: this.generateSteps() })
      }
    }
    return arrivals
  }

  private generateSteps (): Step[] {
    const count = this.random.uniform() < 0.6 ? 2 : 1
    return Array.from({ length: count }, (_, number) => plainStep({
      tasks: 2 + Math.floor(this.random.uniform() * 8),
      demand: makeDemand(2_000 + Math.floor(this.random.uniform() * 5_000)),
      estimateMs: 500 + this.random.uniform() * 1_000,
      after: number === 0 ? [] : [number - 1]
    }))
  }

  private submitJob ({ service, steps }: Arrival): void {
    this.jobs += 1
    const id = String(this.jobs).padStart(16, '0')
    const name = this.policy.pools === 'shared' ? 'all' : service
    const chainMs = steps.reduce((sum, step) => sum + step.estimateMs, 0)
    this.submissions.set(id, { at: this.loop.now(), objectiveMs: OBJECTIVE_STRETCH * chainMs + OBJECTIVE_MS })
    const job: Job = { id, queue: `${service}/${this.jobs}`, service: name, payload: '', steps, acceptedAt: this.loop.now(), acceptedUnder: 0 }
    this.schedulers.get(name)?.addJob(job, { acceptedThisTerm: true })
  }

  /** Submits the long-running tasks of a service, which never end and run at most one per worker. */
  private submitLongRunningJob (name: string): void {
    const tasks = this.policy.pools === 'shared' ? LONG_RUNNING_TASKS_PER_SERVICE * SERVICES.length : LONG_RUNNING_TASKS_PER_SERVICE
    const step = plainStep({ tasks, demand: makeDemand(LONG_RUNNING_TASK_CPU_MILLICORES), estimateMs: 0, lasting: true, perWorker: 1 })
    this.schedulers.get(name)?.addJob({ id: name.padStart(16, '0'), queue: `${name}/0`, service: name, payload: '', steps: [step], acceptedAt: 0, acceptedUnder: 0 }, { acceptedThisTerm: true })
  }

  private step (): void {
    for (const [name, scheduler] of this.schedulers) {
      scheduler.setWorkers(this.registeredWorkers(name), { unknownRunsUntil: 0 })
      for (const worker of scheduler.workers.values()) this.report(scheduler, worker.registration.id)
      scheduler.tick()
      for (const run of scheduler.placeReadyTasks()) this.startRun(scheduler, run)
      for (const { tracked, completions } of scheduler.table.takeDirty()) {
        scheduler.table.markDurable(tracked, tracked.outcome, completions)
        if (tracked.outcome === 'completed') this.recordCompletion(tracked.job.id)
      }
    }
    for (const [vm, pool] of this.poolOf) if (pool !== SPARE_POOL || this.movingUntil.has(vm)) this.vmMs += STEP_MS
  }

  private startRun (scheduler: Scheduler, run: Run): void {
    scheduler.handleStartResponse(run, undefined, { clockMs: this.loop.now(), sentAt: this.loop.now() })
    const worker = run.worker.registration.id
    const workerRuns = this.activeRuns.get(worker) ?? []
    const { lasting, estimateMs } = run.task.step.spec
    workerRuns.push({ endsAt: lasting ? Number.POSITIVE_INFINITY : this.loop.now() + estimateMs, run })
    this.activeRuns.set(worker, workerRuns)
  }

  private report (scheduler: Scheduler, id: string): void {
    const worker = scheduler.workers.get(id)
    if (worker === undefined || worker.ended) return
    const now = this.loop.now()
    worker.extendLease(now, LEASE_MS)
    const workerRuns = this.activeRuns.get(id) ?? []
    const endedRuns = workerRuns.filter(({ endsAt }) => endsAt <= now)
    if (worker.fenced && endedRuns.length === 0) return
    this.activeRuns.set(id, workerRuns.filter(({ endsAt }) => endsAt > now))
    const ended = endedRuns.map(({ run }) => {
      const seq = (this.reportSeqs.get(id) ?? 0) + 1
      this.reportSeqs.set(id, seq)
      return { seq, task: run.task.name, attempt: run.attempt, how: 'done' as const, checkpoint: '' }
    })
    const running = workerRuns.filter(({ endsAt }) => endsAt > now).map(({ run }) => ({ task: run.task.name, attempt: run.attempt, checkpoint: '', percent: progressPercent(run, now), load: 0 }))
    scheduler.applyReport(worker, { moreEnded: false, clockMs: now, born: worker.registration.born, running, ended }, { sentAt: now - 1, receivedAt: now })
  }

  private recordCompletion (id: string): void {
    const submission = this.submissions.get(id)
    if (submission === undefined) return
    this.submissions.delete(id)
    if (this.loop.now() - submission.at <= submission.objectiveMs) this.jobsInTime += 1
  }

  private planMoves (): void {
    const loads = new Map([...this.schedulers].map(([name, scheduler]) => [name, computeServiceLoad(scheduler, this.loop.now())]))
    const moves = this.autoscaler.plan(services, this.vms(), loads, new Set())
    for (const [name, scheduler] of this.schedulers) {
      const empty = new Set(withdrawWorkers(scheduler, moves.filter(move => move.from === name).map(move => move.vm), this.loop.now()))
      for (const move of moves) {
        if (move.from !== name || !empty.has(move.vm)) continue
        this.moveVm(move.vm, move.to)
        this.autoscaler.recordMove(move)
      }
    }
    for (const move of moves) {
      if (move.from !== SPARE_POOL) continue
      this.moveVm(move.vm, move.to)
      this.autoscaler.recordMove(move)
    }
  }

  /** Moves an idle VM of another pool to each pool whose demand exceeds its capacity. */
  private moveOnThreshold (): void {
    for (const [name, scheduler] of this.schedulers) {
      const load = computeServiceLoad(scheduler, this.loop.now())
      if (load.wantedCpu <= VM_CPU_MILLICORES * this.registeredWorkers(name).length) continue
      const idleWorkers = [...this.schedulers].filter(([other]) => other !== name).flatMap(([, other]) => computeServiceLoad(other, this.loop.now()).workers.filter(worker => worker.runs === 0))
      const [vm] = idleWorkers.map(worker => worker.vm)
      if (vm !== undefined) this.moveVm(vm, name)
    }
  }

  private moveVm (vm: string, to: string): void {
    if (this.movingUntil.has(vm)) return
    this.moves += 1
    this.poolOf.set(vm, to)
    this.incarnations.set(vm, (this.incarnations.get(vm) ?? 0) + 1)
    if (to === SPARE_POOL) return
    this.movingUntil.set(vm, this.loop.now() + MOVE_DURATION_MS)
    this.loop.after(MOVE_DURATION_MS, () => this.movingUntil.delete(vm))
  }

  private vms (): Vm[] {
    return [...this.poolOf].map(([id, pool]) => ({ id, pool, state: this.movingUntil.has(id) ? 'moving' as const : 'up' as const, zone: 'z', rack: 'r', labels: [], capacity: { cpu: VM_CPU_MILLICORES, memMb: 131_072, accelerators: 0 }, worker: '' }))
  }

  private registeredWorkers (pool: string): WorkerRegistration[] {
    const poolVms = [...this.poolOf].filter(([vm, name]) => name === pool && !this.movingUntil.has(vm))
    return poolVms.map(([vm]) => ({ id: `${vm}.${this.incarnations.get(vm) ?? 0}`, born: 1 + (this.incarnations.get(vm) ?? 0), service: pool, host: '', port: 0, zone: 'z', vm, draining: false, capacity: { cpu: VM_CPU_MILLICORES, memMb: 131_072, accelerators: 0 }, labels: [], rack: 'r' }))
  }
}

function progressPercent (run: Run, now: number): number {
  const { lasting, estimateMs } = run.task.step.spec
  return lasting ? 100 : Math.min(99, Math.floor(100 * (now - run.startedAt) / estimateMs))
}

/** For first come, first served, the queue of each job has the job's sequence number as its priority. */
function makeQueue (name: string, policy: SharingPolicy): Queue {
  const number = Number(name.slice(name.indexOf('/') + 1))
  return { name, host: '', pathPrefix: '', service: '', priority: policy.order === 'first-come' ? number : 0, attempts: 3, stretch: OBJECTIVE_STRETCH, objectiveMs: OBJECTIVE_MS, timeoutMs: 0, needsPermit: false }
}

function makeDemand (cpu: number): Resources {
  return { cpu, memMb: 4_000, accelerators: 0 }
}
