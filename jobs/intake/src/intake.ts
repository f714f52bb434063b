import { delay, type Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { Metrics } from '@wisteriaslip/core.metrics'
import { addressOf, isFinal, type Job, type JobRequest, type JobState, type Queue } from '@wisteriaslip/jobs.model'
import type { JobNotification, JobStateReply } from '@wisteriaslip/jobs.protocol'
import type { JobRecords } from '@wisteriaslip/jobs.store'
import { HiddenJobs } from './hidden-jobs.ts'
import { JobFinder, type JobPlace } from './job-finder.ts'
import { RecentJobs } from './recent-jobs.ts'

/** More attempts would add to the load of a leader that is too busy to reply; it also finds the request in the store. */
const MAX_NOTIFY_ATTEMPTS = 2
const NOTIFY_RETRY_MS = 500
/** A job may be stored between the look for it and the cancellation of its id. */
const MAX_CANCEL_ATTEMPTS = 2
/**
 * Maximum number of accepted jobs whose repeated submissions are answered without any call, and of jobs whose acceptance
 * has an unknown outcome.
 */
const MAX_REMEMBERED_JOBS = 5_000

/** Calls to the leader of a service. A call fails with false or undefined if no leader responds in time. */
export interface LeaderClient {
  /** @returns fencing token of the current leader as seen by this entry, 0 for none */
  token (service: string): number
  /** @returns whether the leader has the accepted job */
  push (service: string, push: JobNotification): Promise<boolean>
  /** @returns whether the leader has the cancellation */
  cancelled (service: string, id: string): Promise<boolean>
  /** @returns the leader's state of the job */
  state (service: string, id: string): Promise<JobStateReply | undefined>
  /** @returns number of accepted jobs of the queue that have not started, also of those that other services have */
  pending (queue: Queue): Promise<number | undefined>
}

/** Result of a job submission. */
export type SubmitResult =
  | { readonly kind: 'accepted' }
  /** Another job has this id: one of another client account, or one that was submitted to another queue of the service. */
  | { readonly kind: 'taken' }
  /** Not accepted: the job never runs because of this request. */
  | { readonly kind: 'refused', readonly retryAfterS: number }
  /** The outcome is unknown: the job may be accepted, now or later. */
  | { readonly kind: 'unknown' }

/** State of a job; `none` if there is no such job, `unavailable` if neither the leader nor the store responds. */
export type JobStateResult = JobState | 'none' | 'unavailable'

/** Options of {@link Intake}. */
export interface IntakeOpts {
  readonly records: JobRecords
  readonly leaderClient: LeaderClient
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly signal: AbortSignal
}

/** Accepts jobs, cancellations and status queries. Any entry does so for any queue. */
export class Intake {
  private readonly opts: IntakeOpts
  /** Accepted jobs that this entry knows of. */
  private readonly accepted = new RecentJobs<JobPlace>(MAX_REMEMBERED_JOBS)
  /** Jobs whose write got no response at this entry: it may still be applied. */
  private readonly uncertain = new RecentJobs<Pick<Job, 'account'>>(MAX_REMEMBERED_JOBS)
  private readonly hidden: HiddenJobs
  private readonly finder: JobFinder

  constructor (opts: IntakeOpts) {
    this.opts = opts
    this.hidden = new HiddenJobs(opts)
    this.finder = new JobFinder({ ...opts, places: this.accepted, hidden: this.hidden })
  }

  /**
   * Stores a job, then notifies the leader of its service.
   * @param req - validated request
   * @returns whether the job is accepted
   */
  async submit (req: JobRequest): Promise<SubmitResult> {
    const startedAt = this.opts.clock.now()
    const { address, id } = req
    const earlier = this.accepted.get(address, id)
    if (earlier !== undefined) return this.answerRepeat(req, earlier)
    const job = { ...req, acceptedUnder: this.opts.leaderClient.token(req.service) }
    const stored = await this.opts.records.accept(job)
    this.opts.metrics.observe('job_accept_us', { queue: job.queue }, this.opts.clock.now() - startedAt)
    this.opts.metrics.count('jobs_handed_in_total', { queue: job.queue, result: stored.kind })
    const knownAt = stored.kind === 'known' ? stored.entry.service : undefined
    this.opts.logger.info({ job: job.id, queue: job.queue, service: job.service, account: job.account, result: stored.kind, knownAt }, 'job submitted')
    if (stored.kind === 'unknown') this.uncertain.add(address, id, { account: job.account })
    if (stored.kind === 'unknown' || (stored.kind === 'not-stored' && this.uncertain.get(address, id) !== undefined)) return { kind: 'unknown' }
    if (stored.kind === 'not-stored') return { kind: 'refused', retryAfterS: 1 }
    this.uncertain.delete(address, id)
    if (stored.kind === 'taken') return { kind: 'taken' }
    if (stored.kind === 'cancelled') return { kind: 'refused', retryAfterS: Math.ceil(stored.retryAfterMs / 1_000) }
    if (stored.kind === 'known') return this.answerRepeat(req, stored.entry)
    this.accepted.add(address, id, { service: job.service, account: job.account })
    this.notifyInBackground(job.service, job.id, async () => await this.opts.leaderClient.push(job.service, { job }))
    return { kind: 'accepted' }
  }

  /** Answers the submission of a job that is stored already. */
  private answerRepeat (req: JobRequest, stored: JobPlace): SubmitResult {
    if (this.hidden.isHidden('submit', req.id, stored.account, req.account)) return { kind: 'taken' }
    this.accepted.add(req.address, req.id, { service: stored.service, account: stored.account })
    return { kind: 'accepted' }
  }

  /**
   * Cancels a job.
   * @param queue - queue that the job was submitted to
   * @param id - id of the job
   * @param account - client account that asks, undefined where any may: jobs of others look like none
   * @returns `cancelled` also if the job has already ended or its submission at this entry had an unknown outcome, `none` if there is no
   * such job, and none will be stored by a submission that is still under way, `unknown` if the cancellation may not be stored, or nobody can say whose job it is
   */
  async cancel (queue: Queue, id: string, account?: string): Promise<'cancelled' | 'none' | 'unknown'> {
    for (let tries = 0; tries < MAX_CANCEL_ATTEMPTS; tries++) {
      const found = await this.finder.find(queue, id, account)
      if (found.kind === 'found') return isFinal(found.state) ? 'cancelled' : await this.cancelAt(found.service, id, { queue: queue.name, state: found.state })
      if (found.kind === 'unavailable') return await this.cancelUnseen(queue, id, account)
      const answer = this.mayYetBeStored(queue, id, account) ? 'cancelled' : 'none'
      if (found.isSettled) return answer
      const stored = await this.opts.records.index.cancelId({ service: found.service, address: addressOf(queue), id, account })
      this.opts.logger.info({ job: id, queue: queue.name, account, stored: stored.ok }, 'id cancelled that no job has')
      if (stored.ok) return answer
      if (stored.error.kind !== 'conflict') return 'unknown'
    }
    return 'unknown'
  }

  /** Cancels a job whose state nobody tells, if this entry knows where it is and whose. */
  private async cancelUnseen (queue: Queue, id: string, account: string | undefined): Promise<'cancelled' | 'unknown'> {
    const place = this.accepted.get(addressOf(queue), id)
    const isOwn = place !== undefined && (account === undefined || place.account === account)
    return isOwn ? await this.cancelAt(place.service, id, { queue: queue.name }) : 'unknown'
  }

  private async cancelAt (service: string, id: string, logged: { readonly queue: string, readonly state?: JobState }): Promise<'cancelled' | 'unknown'> {
    const stored = await this.opts.records.cancel(service, id)
    this.opts.logger.info({ ...logged, job: id, service, stored: stored.ok }, 'job cancelled')
    if (!stored.ok) return 'unknown'
    await this.opts.leaderClient.cancelled(service, id) || this.notifyInBackground(service, id, async () => await this.opts.leaderClient.cancelled(service, id))
    return 'cancelled'
  }

  /**
   * @param queue - queue that the job was submitted to
   * @param id - id of the job
   * @param account - client account that asks, undefined where any may: jobs of others look like none
   * @returns state of the job from the leader, or from the store if the leader does not have it or does not respond
   */
  async state (queue: Queue, id: string, account?: string): Promise<JobStateResult> {
    const found = await this.finder.find(queue, id, account)
    return found.kind === 'found' ? found.state : found.kind
  }

  /**
   * @param queue - the queue
   * @returns number of accepted jobs that have not started, undefined if the leader is unavailable
   */
  async pending (queue: Queue): Promise<number | undefined> {
    return await this.opts.leaderClient.pending(queue)
  }

  private mayYetBeStored (queue: Queue, id: string, account: string | undefined): boolean {
    const uncertain = this.uncertain.get(addressOf(queue), id)
    return uncertain !== undefined && !this.hidden.isHidden('ask', id, uncertain.account, account)
  }

  /** Notifies the leader in the background. If that fails, the leader finds the request by its watch of the store. */
  private notifyInBackground (service: string, id: string, send: () => Promise<boolean>): void {
    const run = async (): Promise<void> => {
      for (let tries = 0; tries < MAX_NOTIFY_ATTEMPTS; tries++) {
        if (await send()) return
        if (!await delay(NOTIFY_RETRY_MS, this.opts.signal)) return
      }
      this.opts.logger.info({ service, job: id }, 'failed to notify leader, which will read the request from the store')
    }
    run().catch(error => this.opts.logger.error({ err: error, job: id }, 'failed to notify leader'))
  }
}
