/**
 * Queues that peak in turn on one fleet: jobs in time, VM time and moves, for the product's order and pool sizes and for
 * simpler ways, with a bound that no way can beat.
 * @module
 */
import { PoolAutoscaler } from '@wisteriaslip/jobs.fleet'
import type { Job, JobLimits, Queue, Resources, Service, Step, Vm, WorkerRegistration } from '@wisteriaslip/jobs.model'
import { Scheduler, type Run } from '@wisteriaslip/jobs.scheduler'
import { computeServiceLoad, withdrawWorkers } from '@wisteriaslip/jobs.service'
import { plainStep } from '@wisteriaslip/testing.jobs'
import { Random } from './random.ts'
import { VirtualLoop } from './virtual-loop.ts'

const SERVICES = ['a', 'b', 'c', 'd']
const SPARE = 'spare'
const VMS = 32
const CORES = 64_000
const TURN_MS = 8_000
const DAY_MS = SERVICES.length * TURN_MS
const PEAK_JOBS_PER_S = 18
const LASTING_TASKS = 5
const LASTING_CPU = 5_000
const CALM_JOBS_PER_S = 0.9
/** From the order of a move until the VM's new worker takes work. */
const MOVE_MS = 1_900
const STEP_MS = 20
const FLEET_STEP_MS = 200
const LEASE_MS = 4_000
const STRETCH = 1.6
const OBJECTIVE_MS = 600

const limits: JobLimits = { longestLeaseMs: 6_000, stopMs: 400, graceMs: 6_000, keepMs: 120_000, maintenanceMs: 2_000 }
const services: Service[] = [...SERVICES.map(name => ({ name, guardsCapacity: true, standby: false })), { name: SPARE, guardsCapacity: true, standby: true }]

/** A way to share the fleet. */
export interface Policy {
  /** How VMs move: as the product plans, never, at each crossing of a pool's capacity, or all VMs serve all queues. */
  readonly pools: 'planned' | 'fixed' | 'threshold' | 'shared'
  readonly order: 'product' | 'first-come'
}

/** What a way came to. */
export interface PeakResult {
  readonly inTime: number
  readonly vmSeconds: number
  readonly moves: number
}

/** The ways that are compared. `bound` has every VM in every pool at once. */
export const policies: Readonly<Record<string, Policy>> = {
  product: { pools: 'planned', order: 'product' },
  firstCome: { pools: 'planned', order: 'first-come' },
  fixedPools: { pools: 'fixed', order: 'product' },
  threshold: { pools: 'threshold', order: 'product' },
  bound: { pools: 'shared', order: 'product' }
}

/**
 * Plays a day of turns.
 * @param policy - how the fleet is shared
 * @param seed - of the load
 * @returns what came of it
 */
export async function playPeaks (policy: Policy, seed: number): Promise<PeakResult> {
  const day = new Day(policy, seed)
  return await day.play()
}

interface Arrival { readonly at: number, readonly service: string, readonly steps: Step[] }

class Day {
  private readonly loop = new VirtualLoop()
  private readonly policy: Policy
  private readonly random: Random
  private readonly schedulers = new Map<string, Scheduler>()
  private readonly poolOf = new Map<string, string>()
  private readonly movingUntil = new Map<string, number>()
  private readonly lives = new Map<string, number>()
  private readonly sizes = new PoolAutoscaler(this.loop)
  private readonly ends = new Map<string, Array<{ at: number, run: Run }>>()
  private readonly seqs = new Map<string, number>()
  private readonly handedInAt = new Map<string, { at: number, objectiveMs: number }>()
  private jobs = 0
  private inTime = 0
  private moves = 0
  private vmMs = 0

  constructor (policy: Policy, seed: number) {
    this.policy = policy
    this.random = new Random(seed)
    for (let number = 0; number < VMS; number++) this.poolOf.set(`vm${number}`, SERVICES[number % SERVICES.length] ?? SPARE)
    const names = policy.pools === 'shared' ? ['all'] : SERVICES
    for (const name of names) this.schedulers.set(name, this.scheduler())
    if (policy.pools === 'shared') for (const vm of this.poolOf.keys()) this.poolOf.set(vm, 'all')
  }

  async play (): Promise<PeakResult> {
    for (const name of this.schedulers.keys()) this.handInLasting(name)
    for (const arrival of this.arrivals()) this.loop.after(arrival.at, () => this.handIn(arrival))
    this.loop.every(STEP_MS, () => this.step())
    if (this.policy.pools === 'planned') this.loop.every(FLEET_STEP_MS, () => this.plan())
    if (this.policy.pools === 'threshold') this.loop.every(FLEET_STEP_MS, () => this.crossings())
    await this.loop.run(DAY_MS + TURN_MS)
    return { inTime: this.inTime / this.jobs, vmSeconds: this.vmMs / 1_000, moves: this.moves }
  }

  private scheduler (): Scheduler {
    return new Scheduler({ clock: this.loop, wallClock: () => this.loop.now(), limits, queue: name => queueOf(name, this.policy), term: 0, maxEarlierLeaseMs: limits.longestLeaseMs })
  }

  private arrivals (): Arrival[] {
    const all: Arrival[] = []
    for (const [turn, service] of SERVICES.entries()) {
      for (let at = 0; at < DAY_MS;) {
        const peak = Math.floor(at / TURN_MS) === turn
        const rate = (peak ? PEAK_JOBS_PER_S : CALM_JOBS_PER_S) / 1_000
        at += this.random.exponential(1 / rate)
        all.push({ at, service, steps: this.steps() })
      }
    }
    return all
  }

  private steps (): Step[] {
    const count = this.random.uniform() < 0.6 ? 2 : 1
    return Array.from({ length: count }, (_, number) => plainStep({
      tasks: 2 + Math.floor(this.random.uniform() * 8),
      demand: demandOf(2_000 + Math.floor(this.random.uniform() * 5_000)),
      estimateMs: 500 + this.random.uniform() * 1_000,
      after: number === 0 ? [] : [number - 1]
    }))
  }

  private handIn ({ service, steps }: Arrival): void {
    this.jobs += 1
    const id = String(this.jobs).padStart(16, '0')
    const name = this.policy.pools === 'shared' ? 'all' : service
    const chainMs = steps.reduce((sum, step) => sum + step.estimateMs, 0)
    this.handedInAt.set(id, { at: this.loop.now(), objectiveMs: STRETCH * chainMs + OBJECTIVE_MS })
    const job: Job = { id, queue: `${service}/${this.jobs}`, service: name, payload: '', steps, acceptedAt: this.loop.now(), acceptedUnder: 0 }
    this.schedulers.get(name)?.addJob(job, { acceptedThisTerm: true })
  }

  /** Each service has tasks that never end, each on a worker of its own. */
  private handInLasting (name: string): void {
    const tasks = this.policy.pools === 'shared' ? LASTING_TASKS * SERVICES.length : LASTING_TASKS
    const step = plainStep({ tasks, demand: demandOf(LASTING_CPU), estimateMs: 0, lasting: true, perWorker: 1 })
    this.schedulers.get(name)?.addJob({ id: name.padStart(16, '0'), queue: `${name}/0`, service: name, payload: '', steps: [step], acceptedAt: 0, acceptedUnder: 0 }, { acceptedThisTerm: true })
  }

  private step (): void {
    for (const [name, scheduler] of this.schedulers) {
      scheduler.setWorkers(this.workersOf(name), { unknownRunsUntil: 0 })
      for (const worker of scheduler.workers.values()) this.report(scheduler, worker.registration.id)
      scheduler.tick()
      for (const run of scheduler.placeReadyTasks()) this.begin(scheduler, run)
      for (const { tracked, ends } of scheduler.table.takeDirty()) {
        scheduler.table.markDurable(tracked, tracked.outcome, ends)
        if (tracked.outcome === 'completed') this.noteCompleted(tracked.job.id)
      }
    }
    for (const [vm, pool] of this.poolOf) if (pool !== SPARE || this.movingUntil.has(vm)) this.vmMs += STEP_MS
  }

  private begin (scheduler: Scheduler, run: Run): void {
    scheduler.handleStartResponse(run, undefined)
    const worker = run.worker.registration.id
    const list = this.ends.get(worker) ?? []
    const { lasting, estimateMs } = run.task.step.spec
    list.push({ at: lasting ? Number.POSITIVE_INFINITY : this.loop.now() + estimateMs, run })
    this.ends.set(worker, list)
  }

  private report (scheduler: Scheduler, id: string): void {
    const worker = scheduler.workers.get(id)
    if (worker === undefined || worker.ended) return
    const now = this.loop.now()
    worker.extendLease(now, LEASE_MS)
    const list = this.ends.get(id) ?? []
    const over = list.filter(({ at }) => at <= now)
    if (worker.fenced && over.length === 0) return
    this.ends.set(id, list.filter(({ at }) => at > now))
    const ended = over.map(({ run }) => {
      const seq = (this.seqs.get(id) ?? 0) + 1
      this.seqs.set(id, seq)
      return { seq, task: run.task.name, attempt: run.attempt, how: 'done' as const, checkpoint: '' }
    })
    const running = list.filter(({ at }) => at > now).map(({ run }) => ({ task: run.task.name, attempt: run.attempt, checkpoint: '', percent: percentOf(run, now), load: 0 }))
    scheduler.applyReport(worker, { clockMs: now, born: worker.registration.born, running, ended }, { sentAt: now - 1, receivedAt: now })
  }

  private noteCompleted (id: string): void {
    const handedIn = this.handedInAt.get(id)
    if (handedIn === undefined) return
    this.handedInAt.delete(id)
    if (this.loop.now() - handedIn.at <= handedIn.objectiveMs) this.inTime += 1
  }

  private plan (): void {
    const loads = new Map([...this.schedulers].map(([name, scheduler]) => [name, computeServiceLoad(scheduler, this.loop.now())]))
    const moves = this.sizes.plan(services, this.vms(), loads, new Set())
    for (const [name, scheduler] of this.schedulers) {
      const empty = new Set(withdrawWorkers(scheduler, moves.filter(move => move.from === name).map(move => move.vm)))
      for (const move of moves) {
        if (move.from !== name || !empty.has(move.vm)) continue
        this.move(move.vm, move.to)
        this.sizes.recordMove(move)
      }
    }
    for (const move of moves) {
      if (move.from !== SPARE) continue
      this.move(move.vm, move.to)
      this.sizes.recordMove(move)
    }
  }

  /** A pool whose work does not fit takes an empty VM of the pool that has most of them. */
  private crossings (): void {
    for (const [name, scheduler] of this.schedulers) {
      const load = computeServiceLoad(scheduler, this.loop.now())
      if (load.wantedCpu <= CORES * this.workersOf(name).length) continue
      const idle = [...this.schedulers].filter(([other]) => other !== name).flatMap(([, other]) => computeServiceLoad(other, this.loop.now()).workers.filter(worker => worker.runs === 0))
      const [vm] = idle.map(worker => worker.vm)
      if (vm !== undefined) this.move(vm, name)
    }
  }

  private move (vm: string, to: string): void {
    if (this.movingUntil.has(vm)) return
    this.moves += 1
    this.poolOf.set(vm, to)
    this.lives.set(vm, (this.lives.get(vm) ?? 0) + 1)
    if (to === SPARE) return
    this.movingUntil.set(vm, this.loop.now() + MOVE_MS)
    this.loop.after(MOVE_MS, () => this.movingUntil.delete(vm))
  }

  private vms (): Vm[] {
    return [...this.poolOf].map(([id, pool]) => ({ id, pool, state: this.movingUntil.has(id) ? 'moving' as const : 'up' as const, zone: 'z', rack: 'r', labels: [], capacity: { cpu: CORES, memMb: 131_072, accelerators: 0 }, worker: '' }))
  }

  private workersOf (pool: string): WorkerRegistration[] {
    const here = [...this.poolOf].filter(([vm, name]) => name === pool && !this.movingUntil.has(vm))
    return here.map(([vm]) => ({ id: `${vm}.${this.lives.get(vm) ?? 0}`, born: 1 + (this.lives.get(vm) ?? 0), service: pool, host: '', port: 0, zone: 'z', vm, draining: false, capacity: { cpu: CORES, memMb: 131_072, accelerators: 0 }, labels: [], rack: 'r' }))
  }
}

function percentOf (run: Run, now: number): number {
  const { lasting, estimateMs } = run.task.step.spec
  return lasting ? 100 : Math.min(99, Math.floor(100 * (now - run.startedAt) / estimateMs))
}

/** First come, first served: the queue of each job has the job's number as its priority. */
function queueOf (name: string, policy: Policy): Queue {
  const number = Number(name.slice(name.indexOf('/') + 1))
  return { name, host: '', pathPrefix: '', service: '', priority: policy.order === 'first-come' ? number : 0, attempts: 3, stretch: STRETCH, objectiveMs: OBJECTIVE_MS, timeoutMs: 0, needsPermit: false }
}

function demandOf (cpu: number): Resources {
  return { cpu, memMb: 4_000, accelerators: 0 }
}
