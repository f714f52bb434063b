import type { Account, ActiveRun, EndedRun, Job, JobLimits, Queue, WorkerRegistration } from '@wisteriaslip/jobs.model'
import { Scheduler, type Run, type TrackedWorker } from '@wisteriaslip/jobs.scheduler'
import { plainStep as step } from '@wisteriaslip/testing.jobs'

export { step }

/** Typical limits of a deployment. */
export const limits: JobLimits = {
  longestLeaseMs: 6_000,
  stopMs: 400,
  shutdownGraceMs: 6_000,
  keepMs: 120_000,
  maintenanceMs: 2_000
}

const queue: Queue = {
  name: 'q',
  host: 'h',
  pathPrefix: '/q/',
  service: 's',
  priority: 0,
  attempts: 2,
  stretch: 1.6,
  objectiveMs: 600,
  timeoutMs: 3_000,
  needsPermit: false
}

/** A scheduler with a manually set clock. */
export class SchedulerHarness {
  now = 10_000
  /** Whether the configuration that the leader has received contains the queue. */
  queueKnown = true
  readonly scheduler: Scheduler

  constructor (opts: { term?: number, queue?: Partial<Queue>, account?: (name: string) => Account | undefined } = {}) {
    const mergedQueue = { ...queue, ...opts.queue }
    this.scheduler = new Scheduler({ clock: { now: () => this.now }, wallClock: () => this.now, limits, queue: () => this.queueKnown ? mergedQueue : undefined, account: opts.account, term: opts.term ?? 0, leadershipConfirmedAt: () => Infinity, maxEarlierLeaseMs: limits.longestLeaseMs })
  }

  /** Registers workers and applies a first report of each, without any runs. */
  addWorkers (...registrations: WorkerRegistration[]): TrackedWorker[] {
    this.scheduler.setWorkers(registrations, { unknownRunsUntil: 0 })
    for (const registration of registrations) this.report(registration.id)
    return registrations.map(registration => this.worker(registration.id))
  }

  worker (id: string): TrackedWorker {
    const worker = this.scheduler.workers.get(id)
    if (worker === undefined) throw new Error(`worker ${id} is not tracked`)
    return worker
  }

  /** Applies a worker's response to a poll, sent now unless `sentAt` is given. Worker clocks equal the harness clock. */
  report (id: string, lists: { running?: readonly ActiveRun[], ended?: readonly EndedRun[], moreEnded?: boolean, sentAt?: number } = {}) {
    const worker = this.worker(id)
    const reportResult = this.scheduler.applyReport(worker, { clockMs: this.now, born: worker.registration.born, running: lists.running ?? [], ended: lists.ended ?? [], moreEnded: lists.moreEnded ?? false }, { sentAt: lists.sentAt ?? this.now, receivedAt: this.now })
    worker.extendLease(this.now, 4_000)
    return reportResult
  }

  /** Places ready tasks and accepts each start. */
  startReadyTasks (): Run[] {
    const runs = this.scheduler.placeReadyTasks()
    for (const run of runs) this.confirmStart(run)
    return runs
  }

  /** Accepts a start. */
  confirmStart (run: Run): void {
    this.scheduler.handleStartResponse(run, undefined, { clockMs: this.now, sentAt: this.now })
  }

  /** Places tasks and lets the first start get no response. */
  startWithoutResponse (): Run {
    const [run] = this.scheduler.placeReadyTasks()
    if (run === undefined) throw new Error('no task is ready to start')
    this.scheduler.handleStartResponse(run, { kind: 'unknown', message: 'timeout' })
    return run
  }

  /** Stores the progress of all jobs. */
  persist (): void {
    for (const { tracked, completions } of this.scheduler.table.takeDirty()) this.scheduler.table.markDurable(tracked, tracked.outcome, completions)
  }

  addJob (overrides: Partial<Job> = {}, opts: { acceptedThisTerm?: boolean } = {}): Job {
    const added = job(overrides)
    this.scheduler.table.addJob(added, { acceptedThisTerm: opts.acceptedThisTerm ?? true })
    return added
  }
}

export function worker (id: string, overrides: Partial<WorkerRegistration> = {}): WorkerRegistration {
  return { id, born: 1, service: 's', host: 'h', port: 1, zone: 'z', vm: `vm-${id}`, draining: false, capacity: { cpu: 4_000, memMb: 8_000, accelerators: 0 }, labels: ['a', 'r1'], rack: 'r1', ...overrides }
}

export function job (overrides: Partial<Job> = {}): Job {
  return { id: '00000000000000aa', queue: 'q', service: 's', payload: 'p', steps: [step()], acceptedAt: 0, acceptedUnder: 0, ...overrides }
}

export function running (task: string, attempt: number, percent = 50): ActiveRun {
  return { task, attempt, checkpoint: '', percent, load: 0 }
}

export function ended (seq: number, task: string, attempt: number, how: EndedRun['how'] = 'done', checkpoint = ''): EndedRun {
  return { seq, task, attempt, how, checkpoint }
}
