import { linkAbort, delay, Wakeup, withTimeout } from '@wisteriaslip/core.result'
import type { Job, JobState, WorkerRegistration } from '@wisteriaslip/jobs.model'
import type { ExplainRequest, ServiceLoad } from '@wisteriaslip/jobs.protocol'
import { explainJob, explainWorker, LostWorkerDetector, Scheduler, type PermitRequest, type Run, type TrackedWorker } from '@wisteriaslip/jobs.scheduler'
import type { ServiceRecords, TermRecord } from '@wisteriaslip/jobs.store'
import { cleanUp } from './expired-jobs.ts'
import { computeServiceLoad, withdrawWorkers } from './load.ts'
import type { ServiceTermOpts } from './ports.ts'
import { ProgressWriter } from './progress-writer.ts'
import { RequestFeed } from './request-watcher.ts'
import { WorkerRecord } from './term-record-writer.ts'
import { WorkerSession } from './worker-session.ts'

const RETRY_MS = 100
const STEP_MS = 100
/** Decisions are at least this far apart, so that news that come together are taken together. */
const GAP_MS = 3
/** A pass looks at all workers, so that it is worth its while only after more news where there are many. */
const GAP_MS_PER_WORKER = 0.1
const CLEAN_UP_MS = 5_000
/** Leases of earlier leaders may last longer by this factor, as clocks of workers may be slow. */
const LEASE_SLACK = 1.05
/** An earlier leader may extend leases for this long after it lost its leadership without knowing. */
const OVERLAP_MS = 1_500
const LOST_LIVES_MS = 300
const FLUSH_TRIES = 3
/** The advice service decides for a while, and takes one call at a time from each entry. */
const PERMIT_TIMEOUT_MS = 3_000

/** One entry's leadership of one service, from taking it to losing it. */
export class ServiceTerm {
  readonly service: string
  readonly token: number
  private readonly opts: ServiceTermOpts
  private readonly lost = new AbortController()
  private readonly news = new Wakeup()
  private readonly sessions = new Map<TrackedWorker, WorkerSession>()
  private readonly record: WorkerRecord
  private parts: { scheduler: Scheduler, writer: ProgressWriter, feed: RequestFeed } | undefined
  private unknownRunsUntil = 0
  /** The list of workers that the scheduler has. */
  private listed: readonly WorkerRegistration[] | undefined

  constructor (opts: ServiceTermOpts) {
    this.opts = opts
    this.service = opts.service
    this.token = opts.token
    this.record = new WorkerRecord(opts)
  }

  /**
   * Runs until the signal aborts or a newer leader is met.
   * @param signal - ends the term
   */
  async run (signal: AbortSignal): Promise<void> {
    const ending = linkAbort(signal)
    this.lost.signal.addEventListener('abort', () => ending.abort(), { once: true })
    try {
      await this.takeOver(ending.signal)
      if (this.parts === undefined || ending.signal.aborted) return
      const { writer, scheduler, feed } = this.parts
      await Promise.all([
        writer.run(ending.signal),
        feed.run(ending.signal),
        this.decide(ending.signal),
        this.record.run(scheduler, () => this.news.wake(), ending.signal),
        this.findLostLives(scheduler, ending.signal),
        this.repeat(CLEAN_UP_MS, ending.signal, async () => await cleanUp(scheduler, writer, this.opts))
      ])
      for (let tries = 0; tries < FLUSH_TRIES && !this.lost.signal.aborted; tries++) {
        if (await writer.flush() && await this.record.write(scheduler)) break
      }
    } finally {
      ending.release()
    }
  }

  /**
   * Takes in a job that was accepted.
   * @param job - the job
   * @returns whether this leader is ready for it
   */
  push (job: Job): boolean {
    if (this.parts === undefined) return false
    if (job.acceptedUnder > this.token) this.onFenced()
    else this.parts.scheduler.addJob(job, { acceptedThisTerm: job.acceptedUnder === this.token })
    this.news.wake()
    return true
  }

  /**
   * Cancels a job whose cancellation is stored.
   * @param id - of the job
   * @returns whether this leader is ready for it
   */
  cancel (id: string): boolean {
    if (this.parts === undefined) return false
    this.parts.scheduler.table.cancel(id)
    this.parts.writer.wake()
    this.news.wake()
    return true
  }

  /**
   * @param id - of a job
   * @returns its state; `unknown` when this leader has not heard of it, `not-ready` when it has not read its records yet
   */
  state (id: string): JobState | 'unknown' | 'not-ready' {
    if (this.parts === undefined) return 'not-ready'
    return this.parts.scheduler.table.stateOf(id) ?? 'unknown'
  }

  /**
   * @param queue - name of a queue
   * @returns accepted jobs that have not begun, undefined before the records are read
   */
  pending (queue: string): number | undefined {
    return this.parts?.scheduler.table.pending(queue)
  }

  /** @returns how the service stands, undefined before the records are read */
  load (): ServiceLoad | undefined {
    return this.parts === undefined ? undefined : computeServiceLoad(this.parts.scheduler, this.opts.clock.now())
  }

  /**
   * @param about - a job, a worker or the pool of this service
   * @returns how it stands and what it waits for, undefined when it is not known here
   */
  explain (about: ExplainRequest): unknown {
    if (this.parts === undefined) return undefined
    const { scheduler } = this.parts
    const now = this.opts.clock.now()
    if (about.kind === 'job') return explainJob(scheduler, about.name, { queue: this.opts.queue, now })
    if (about.kind === 'worker') return explainWorker(scheduler, about.name, now)
    if (about.kind !== 'pool' || about.name !== this.service) return undefined
    return { token: this.token, readyToPlaceAll: !scheduler.mayHaveUnknownRuns(now), ...computeServiceLoad(scheduler, now) }
  }

  /**
   * Empties workers; all others take work again.
   * @param vms - on which the workers to be emptied live
   * @returns VMs whose workers are empty, undefined before the records are read
   */
  withdraw (vms: readonly string[]): readonly string[] | undefined {
    if (this.parts === undefined) return undefined
    const empty = withdrawWorkers(this.parts.scheduler, vms)
    this.news.wake()
    return empty
  }

  private async takeOver (signal: AbortSignal): Promise<void> {
    const startedAt = this.opts.clock.now()
    const { records, service, guard } = this.opts
    while (!signal.aborted) {
      const [term, all] = await Promise.all([
        this.record.begin(),
        records.readAll(service)
      ])
      if (term.ok) {
        if (all.ok) return this.begin(term.value, all.value, startedAt)
      } else if (term.error.kind === 'conflict') {
        const leader = await this.opts.store.get(guard.key)
        if (leader.ok && leader.value?.createRevision !== this.token) this.lost.abort()
      }
      await delay(RETRY_MS, signal)
    }
  }

  private begin (term: TermRecord, all: ServiceRecords, startedAt: number): void {
    const { service, clock, wallClock, limits, queue, logger } = this.opts
    const earlierLeaseMs = Math.min(limits.longestLeaseMs, (term.leaseMs ?? limits.longestLeaseMs) * LEASE_SLACK)
    const scheduler = new Scheduler({ clock, wallClock, limits, queue, term: term.number, maxEarlierLeaseMs: earlierLeaseMs })
    const writer = new ProgressWriter(scheduler, this.opts, { onRecorded: () => this.onRecorded(), onFenced: () => this.lost.abort() })
    for (const [id, prior] of all.progress) writer.setPrior(id, prior)
    for (const doc of all.jobs) {
      const { id } = doc.value
      scheduler.table.addJob(doc.value, { acceptedThisTerm: doc.value.acceptedUnder === this.token, progress: all.progress.get(id)?.value })
      if (all.cancelled.has(id)) scheduler.table.cancel(id)
    }
    this.unknownRunsUntil = clock.now() + OVERLAP_MS + earlierLeaseMs
    scheduler.setWorkers(term.workers, { unknownRunsUntil: this.unknownRunsUntil })
    this.listWorkers(scheduler)
    const { store, records } = this.opts
    const feed = new RequestFeed({ service, store, records, onJob: job => this.push(job), onCancelled: id => this.cancel(id) }, all.revision)
    this.parts = { scheduler, writer, feed }
    logger.info({ service, token: this.token, term: term.number, jobs: all.jobs.length, tookMs: Math.round(clock.now() - startedAt) }, 'term begun')
  }

  private async decide (signal: AbortSignal): Promise<void> {
    const parts = this.parts
    if (parts === undefined) return
    while (!signal.aborted) {
      this.listWorkers(parts.scheduler)
      this.openSessions(parts.scheduler, signal)
      parts.scheduler.tick()
      for (const run of parts.scheduler.placeReadyTasks()) this.send(run, signal, async session => await session.start(run, run.task.step.permits.permitFor(run.worker, this.opts.clock.now()) ?? '', signal))
      for (const run of parts.scheduler.collectDueStops()) this.send(run, signal, async session => await session.stop(run, signal))
      for (const question of parts.scheduler.collectPermitRequests()) this.askPermits(parts.scheduler, question, signal).catch(() => {})
      parts.writer.wake()
      await this.news.sleep(parts.scheduler.table.nextDueInMs(STEP_MS), signal)
      await delay(Math.max(GAP_MS, GAP_MS_PER_WORKER * parts.scheduler.workers.size), signal)
    }
  }

  private async askPermits (scheduler: Scheduler, question: PermitRequest, signal: AbortSignal): Promise<void> {
    const { permitClient: permits } = this.opts
    if (permits === undefined) return
    const ids = question.workers.map(worker => worker.registration.id)
    const answer = await withTimeout(PERMIT_TIMEOUT_MS, signal, async inner => await permits.requestPermits(question.name, ids, inner))
    if (!answer.ok) this.opts.logger.info({ step: question.name, workers: ids.length, error: answer.error }, 'no permits')
    scheduler.handlePermitResponse(question, answer.ok ? answer.value : undefined)
    this.news.wake()
  }

  private listWorkers (scheduler: Scheduler): void {
    const registered = this.opts.registeredWorkers()
    if (registered === undefined || registered === this.listed) return
    this.listed = registered
    scheduler.setWorkers(registered, { unknownRunsUntil: this.unknownRunsUntil })
  }

  /** A worker gets no lease before the term's record names it: a later leader must know whom to ask. */
  private openSessions (scheduler: Scheduler, signal: AbortSignal): void {
    for (const worker of this.sessions.keys()) {
      if (worker.ended || scheduler.workers.get(worker.registration.id) !== worker) this.sessions.delete(worker)
    }
    for (const worker of scheduler.workers.values()) {
      if (worker.ended || this.sessions.has(worker)) continue
      if (this.record.names(worker.registration)) this.openSession(worker, scheduler, signal)
      else this.record.wake()
    }
  }

  private openSession (worker: TrackedWorker, scheduler: Scheduler, signal: AbortSignal): void {
    const session = new WorkerSession(worker, scheduler, this.opts, {
      onNews: () => this.news.wake(),
      onFenced: () => this.onFenced(),
      lookUp: async jobs => await this.lookUp(jobs)
    })
    this.sessions.set(worker, session)
    session.run(signal).catch(error => this.opts.logger.error({ err: error, worker: worker.registration.id }, 'session failed'))
  }

  /** What ran on a VM that was moved or switched off is found out from the list of VMs, not by waiting for leases to end. */
  private async findLostLives (scheduler: Scheduler, signal: AbortSignal): Promise<void> {
    const lives = new LostWorkerDetector(scheduler, this.opts.clock)
    await this.repeat(LOST_LIVES_MS, signal, async () => {
      if (!lives.needsVmList()) return
      const askedAt = this.opts.clock.now()
      const vms = await this.opts.vms(signal)
      if (vms === undefined) return
      const over = lives.applyVmList(vms, askedAt)
      for (const worker of over) this.opts.logger.info({ worker: worker.registration.id, vm: worker.registration.vm }, 'worker is gone')
      if (over.length > 0) this.news.wake()
    })
  }

  private send (run: Run, signal: AbortSignal, order: (session: WorkerSession) => Promise<void>): void {
    const session = this.sessions.get(run.worker)
    if (session === undefined) return
    order(session).catch(error => {
      if (!signal.aborted) this.opts.logger.error({ err: error, task: run.task.name }, 'order failed')
    })
  }

  private async lookUp (jobs: readonly string[]): Promise<void> {
    const { records, service } = this.opts
    for (const id of jobs) {
      const doc = await records.job(service, id)
      if (!doc.ok) return
      if (doc.value === undefined) this.parts?.scheduler.table.markNotStored(id)
      else this.push(doc.value.value)
    }
  }

  private onRecorded (): void {
    for (const session of this.sessions.values()) session.noteRecorded()
  }

  private onFenced (): void {
    if (this.lost.signal.aborted) return
    this.opts.logger.warn({ service: this.service, token: this.token }, 'a newer leader was met')
    this.lost.abort()
  }

  private async repeat (periodMs: number, signal: AbortSignal, step: () => Promise<void>): Promise<void> {
    while (await delay(periodMs, signal)) await step()
  }
}
