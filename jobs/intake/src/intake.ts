import { delay, type Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { Metrics } from '@wisteriaslip/core.metrics'
import { isFinal, type Job, type JobRequest, type JobState, type Queue } from '@wisteriaslip/jobs.model'
import type { JobNotification, JobStateReply } from '@wisteriaslip/jobs.protocol'
import type { JobRecords } from '@wisteriaslip/jobs.store'

const PUSH_TRIES = 6
const PUSH_RETRY_MS = 150
/** A job whose record this entry has just written needs no question to anybody for a repeat of it. */
const REMEMBERED_JOBS = 5_000

/** Asks the leader of a service; undefined when there is none, or it does not answer in time. */
export interface LeaderClient {
  /** @returns fencing token of the leader as known here, 0 for none */
  token (service: string): number
  push (service: string, push: JobNotification): Promise<boolean>
  cancelled (service: string, id: string): Promise<boolean>
  state (service: string, id: string): Promise<JobStateReply | undefined>
  pending (service: string, queue: string): Promise<number | undefined>
}

/** How a hand-in ended. */
export type SubmitResult =
  | { readonly kind: 'accepted' }
  /** Not accepted; it never runs from this request. */
  | { readonly kind: 'refused', readonly retryAfterS: number }
  /** Nobody knows yet whether it is accepted. */
  | { readonly kind: 'unknown' }

/** What a question about a job gave; `unavailable` when neither leader nor store can be asked. */
export type JobStateResult = JobState | 'none' | 'unavailable'

/** Options of {@link Intake}. */
export interface IntakeOpts {
  readonly records: JobRecords
  readonly leaders: LeaderClient
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly signal: AbortSignal
}

/** Takes jobs, cancellations and questions, at any entry for any queue. */
export class Intake {
  private readonly opts: IntakeOpts
  private readonly accepted = new Map<string, string>()
  /** Jobs of which a write got no answer here: it may still take effect. */
  private readonly uncertain = new Set<string>()

  constructor (opts: IntakeOpts) {
    this.opts = opts
  }

  /**
   * Stores a job, then tells the leader of its service.
   * @param req - checked
   * @returns whether it is accepted
   */
  async submit (req: JobRequest): Promise<SubmitResult> {
    const startedAt = this.opts.clock.now()
    if (this.accepted.get(req.id) === req.service) return { kind: 'accepted' }
    const job: Job = { ...req, acceptedUnder: this.opts.leaders.token(req.service) }
    const stored = await this.opts.records.accept(job)
    this.opts.metrics.observe('job_accept_us', { queue: job.queue }, this.opts.clock.now() - startedAt)
    this.opts.metrics.count('jobs_handed_in_total', { queue: job.queue, result: stored.kind })
    this.opts.logger.info({ job: job.id, queue: job.queue, service: job.service, result: stored.kind }, 'job handed in')
    if (stored.kind === 'unknown') this.noteUncertain(job.id)
    if (stored.kind === 'unknown' || (stored.kind === 'not-stored' && this.uncertain.has(job.id))) return { kind: 'unknown' }
    if (stored.kind === 'not-stored') return { kind: 'refused', retryAfterS: 1 }
    this.uncertain.delete(job.id)
    this.remember(job)
    if (stored.kind === 'stored') this.tell(job.service, job.id, async () => await this.opts.leaders.push(job.service, { job }))
    return { kind: 'accepted' }
  }

  /**
   * Cancels a job.
   * @param queue - that it was handed in to
   * @param id - of the job
   * @returns `none` when there is no such job, `unknown` when the cancellation may not be stored
   */
  async cancel (queue: Queue, id: string): Promise<'cancelled' | 'none' | 'unknown'> {
    const state = await this.state(queue, id)
    if (state === 'none') return 'none'
    if (state !== 'unavailable' && isFinal(state)) return 'cancelled'
    const stored = await this.opts.records.cancel(queue.service, id)
    this.opts.logger.info({ job: id, queue: queue.name, state, stored: stored.ok }, 'job cancelled')
    if (!stored.ok) return 'unknown'
    await this.opts.leaders.cancelled(queue.service, id) || this.tell(queue.service, id, async () => await this.opts.leaders.cancelled(queue.service, id))
    return 'cancelled'
  }

  /**
   * @param queue - that the job was handed in to
   * @param id - of the job
   * @returns its state: the leader's word, else what the store holds
   */
  async state (queue: Queue, id: string): Promise<JobStateResult> {
    const told = await this.opts.leaders.state(queue.service, id)
    if (told?.kind === 'known') return told.state
    const stored = await this.opts.records.state(queue.service, id)
    if (!stored.ok) return 'unavailable'
    return stored.value ?? 'none'
  }

  /**
   * @param queue - a queue
   * @returns accepted jobs that have not begun, undefined when the leader cannot be asked
   */
  async pending (queue: Queue): Promise<number | undefined> {
    return await this.opts.leaders.pending(queue.service, queue.name)
  }

  private noteUncertain (id: string): void {
    this.uncertain.add(id)
    const oldest = this.uncertain.values().next()
    if (this.uncertain.size > REMEMBERED_JOBS && oldest.done !== true) this.uncertain.delete(oldest.value)
  }

  private remember (job: Job): void {
    this.accepted.set(job.id, job.service)
    const oldest = this.accepted.keys().next()
    if (this.accepted.size > REMEMBERED_JOBS && oldest.done !== true) this.accepted.delete(oldest.value)
  }

  /** Tells the leader in the background; what does not reach it comes to it by the store's watch. */
  private tell (service: string, id: string, send: () => Promise<boolean>): void {
    const run = async (): Promise<void> => {
      for (let tries = 0; tries < PUSH_TRIES; tries++) {
        if (await send()) return
        if (!await delay(PUSH_RETRY_MS, this.opts.signal)) return
      }
      this.opts.logger.info({ service, job: id }, 'leader not told; it reads the store')
    }
    run().catch(error => this.opts.logger.error({ err: error, job: id }, 'leader not told'))
  }
}
