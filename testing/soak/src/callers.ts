import { delay } from '@wisteriaslip/core.result'
import { request } from 'undici'
import { ports } from './addresses.ts'
import { STATUS_KEPT_MS, type EntryProcess } from './entry-process.ts'
import type { RunLog, Size } from './run-log.ts'
import type { TaskPlan } from './worker.ts'

const CALL_TIMEOUT_MS = 3_000
const RETRY_MS = 200
const MAX_TRIES = 8
const ID_DIGITS = 16
const ENDED_STATES = ['completed', 'failed', 'cancelled']
/** A job need not be known at every entry before, in milliseconds since its acceptance. */
const VISIBLE_MS = 3_000

/** A job as its caller knows it. */
export interface SubmittedJob {
  readonly id: string
  readonly plan: TaskPlan
  readonly tasks: number
  /** Service that its queue had when the job was submitted. */
  readonly service: string
  /** Name of its queue; the one of the service by default. */
  readonly queue?: string
  /** Client account that it counts for. */
  readonly account?: Account
  accepted: boolean
  /** Time of the run log. */
  acceptedAt?: number
  cancelSentAt?: number
  /** Every try was refused, so that the job must never run. */
  refused: boolean
  cancelled: boolean
  /** State that was shown last: `none` if no such job is known, undefined without an answer. */
  state: string | undefined
  /** When the request that was answered with this state was sent, by the run log. */
  askedAt?: number
}

/** Mean time between two jobs, and kinds of jobs. */
export interface Traffic {
  readonly everyMs: number
  /** Chooses the next job. */
  readonly next: (random: () => number) => JobSpec
}

/** A job of tasks that run alike. */
export interface JobSpec {
  readonly plan: TaskPlan
  readonly tasks: number
  /** How many of the tasks may be away for planned work; none by default. */
  readonly mayMiss?: number
  /** Service of its queue; by default one that is drawn. */
  readonly service?: string
  /** Name of its queue; by default that of the service. */
  readonly queue?: string
}

/** A client account. Its quota holds for all that it runs at a time. */
export interface Account { readonly name: string, readonly key: string, readonly quota: Size }

/** A queue that callers use. */
export interface Queue {
  readonly name: string
  /** Service that the queue has now. */
  service: string
  readonly path: string
  /** The only account that uses it; none if anyone may. */
  readonly account?: Account
}

/** Host name of all queues. */
export const QUEUE_HOST = 'jobs.example'

/** Callers that submit jobs at any entry, try again as the protocol says, and query states. */
export class Callers {
  readonly jobs: SubmittedJob[] = []
  private readonly entries: readonly EntryProcess[]
  private readonly queues: readonly Queue[]
  private readonly log: RunLog
  private readonly random: () => number

  /**
   * @param site - entries to call, queues, and the log whose clock counts
   * @param random - decides about jobs, queues and entries
   */
  constructor ({ entries, queues, log }: { entries: readonly EntryProcess[], queues: readonly Queue[], log: RunLog }, random: () => number) {
    this.entries = entries
    this.queues = queues
    this.log = log
    this.random = random
  }

  /** Submits jobs until the signal aborts, and waits for the last responses. */
  async run (traffic: Traffic, signal: AbortSignal): Promise<void> {
    const submissions: Array<Promise<void>> = []
    while (await delay(traffic.everyMs * 2 * this.random(), signal)) submissions.push(this.submit(traffic.next(this.random)))
    await Promise.all(submissions)
  }

  /** Submits one job, at other entries too until one tells what became of it. */
  async submit ({ plan, tasks, mayMiss = 0, service = this.drawService(), queue }: JobSpec): Promise<void> {
    const id = Array.from({ length: ID_DIGITS }, () => Math.floor(this.random() * 16).toString(16)).join('')
    const named = this.queues.find(({ name }) => name === queue)
    const where = named === undefined ? { service } : { service: named.service, queue: named.name, ...(named.account === undefined ? {} : { account: named.account }) }
    const job: SubmittedJob = { id, plan, tasks, ...where, accepted: false, refused: true, cancelled: false, state: undefined }
    this.jobs.push(job)
    const { cpu, memMb, runMs } = plan
    const body = { spec: JSON.stringify(plan), steps: [{ count: tasks, cpu, memMb, estimateMs: runMs, ...(runMs === 0 ? { longRunning: true, mayMiss } : {}) }] }
    for (let tries = 0; tries < MAX_TRIES && !job.accepted; tries++) {
      const status = (await this.call('POST', job, body))?.status
      job.accepted = status !== undefined && status < 300
      if (job.accepted) job.acceptedAt = this.log.now()
      if (status === 429 || status === 503) {
        if (job.refused) return
      } else job.refused = false
      if (!job.accepted) await new Promise(resolve => setTimeout(resolve, RETRY_MS))
    }
  }

  /** Queries the state of a job, and keeps it. That a job is not known is kept for good, once it must be. */
  async query (job: SubmittedJob): Promise<void> {
    if (job.state === 'none') return
    const sentAt = this.log.now()
    const response = await this.call('GET', job)
    if (response?.status === 200) Object.assign(job, { state: String(response.body.state), askedAt: sentAt })
    else if (response?.status === 410 && sentAt - (job.acceptedAt ?? Infinity) > VISIBLE_MS) job.state = 'none'
  }

  /**
   * Asks for an accepted job at the end, unless it was asked for until now and never had an answer: an earlier answer does not count for one that is missing now.
   * One that was shown as ended must be so for as long as it has to be kept.
   * @param job - its state becomes undefined without an answer in several tries, and names both states if it is no longer shown as ended
   */
  async ask (job: SubmittedJob): Promise<void> {
    const earlier = job.state
    const hasEnded = earlier !== undefined && ENDED_STATES.includes(earlier)
    const hadNoAnswer = earlier === undefined && job.plan.runMs > 0
    if (earlier === 'none' || hadNoAnswer || (hasEnded && this.log.now() - (job.acceptedAt ?? 0) > STATUS_KEPT_MS)) return
    job.state = undefined
    for (let tries = 0; tries < MAX_TRIES && job.state === undefined; tries++) {
      if (tries > 0) await new Promise(resolve => setTimeout(resolve, RETRY_MS))
      await this.query(job)
    }
    if (hasEnded && job.state !== earlier) job.state = `${earlier}, then ${job.state ?? 'without an answer'}`
  }

  /** Cancels a job. */
  async cancel (job: SubmittedJob): Promise<void> {
    job.cancelSentAt = this.log.now()
    for (let tries = 0; tries < MAX_TRIES && !job.cancelled; tries++) {
      const status = (await this.call('DELETE', job))?.status ?? 504
      job.cancelled = status < 300 || status === 410
    }
  }

  private drawService (): string {
    return this.queues[Math.floor(this.random() * this.queues.length)]?.service ?? ''
  }

  private async call (method: 'GET' | 'POST' | 'DELETE', { id, service, queue, account }: SubmittedJob, body?: unknown): Promise<{ status: number, body: Record<string, unknown> } | undefined> {
    const entry = this.entries[Math.floor(this.random() * this.entries.length)]
    const path = this.queues.find(each => queue === undefined ? each.service === service : each.name === queue)?.path ?? '/'
    try {
      const response = await request(`http://${entry?.ip ?? ''}:${ports.callers}${path}${id}`, {
        method,
        headers: { host: QUEUE_HOST, 'content-type': 'application/json', 'wisteriaslip-deadline-ms': String(CALL_TIMEOUT_MS), ...(account === undefined ? {} : { authorization: `Bearer ${account.key}` }) },
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        ...(body === undefined ? {} : { body: JSON.stringify(body) })
      })
      return { status: response.statusCode, body: await response.body.json() as Record<string, unknown> }
    } catch {
      return undefined
    }
  }
}
