import type { JobRequest } from '@wisteriaslip/jobs.model'
import { plainStep } from '@wisteriaslip/testing.jobs'
import type { WatchedJob } from './lost-watch.ts'
import type { TaskDemand } from './worker-runs.ts'

/** What the tasks of a job need, and how long a run takes: infinite for long-running ones. */
export interface JobSpec {
  readonly service: string
  readonly tasks: number
  readonly cpu: number
  readonly runMs: number
  /** Little by default. */
  readonly memMb?: number
  /** Most tasks of it on one worker; no limit by default. */
  readonly perWorker?: number
}

const LITTLE_MEMORY_MB = 100
const LIKE_NUMBER = 99

/** Services of a simulated site, each with one queue of its name. */
export const services = ['alpha', 'beta'] as const

/** Jobs by id: many small long-running tasks, few large ones, and short tasks. */
const JOBS: Readonly<Record<string, JobSpec>> = {
  'alpha-many': { service: 'alpha', tasks: 10, cpu: 1_000, runMs: Infinity },
  'alpha-several': { service: 'alpha', tasks: 4, cpu: 2_500, runMs: Infinity },
  'alpha-short': { service: 'alpha', tasks: 12, cpu: 500, runMs: 700 },
  'alpha-large': { service: 'alpha', tasks: 2, cpu: 4_750, runMs: Infinity },
  'beta-many': { service: 'beta', tasks: 8, cpu: 1_000, runMs: Infinity },
  'beta-several': { service: 'beta', tasks: 3, cpu: 2_500, runMs: Infinity },
  'beta-large': { service: 'beta', tasks: 1, cpu: 4_750, runMs: Infinity },
  'beta-single': { service: 'beta', tasks: 1, cpu: 500, runMs: Infinity }
}

/** Ids of all jobs. */
export const jobIds: readonly string[] = Object.keys(JOBS)

/**
 * @param task - name of a task
 * @returns what it needs
 */
export function demandOf (task: string): TaskDemand {
  return specOf(task.slice(0, task.indexOf('.')))
}

/**
 * @param id - id of a job
 * @param acceptedAt - virtual time in milliseconds
 * @returns the job as its caller knows it
 */
export function watchedJob (id: string, acceptedAt: number): WatchedJob {
  const { service, tasks, cpu, memMb, perWorker, runMs } = specOf(id)
  return { id, service, tasks, cpu, memMb: memMb ?? LITTLE_MEMORY_MB, perWorker: perWorker ?? 0, lasting: runMs === Infinity, acceptedAt }
}

/**
 * @param id - id of a job
 * @param acceptedAt - Unix time in milliseconds
 * @param features - what the site has
 * @returns the job as its caller submits it
 */
export function jobRequest (id: string, acceptedAt: number, { quotaCpu, needsPermit }: SiteFeatures = {}): JobRequest {
  const { service, tasks, cpu, memMb = LITTLE_MEMORY_MB, perWorker = 0, runMs } = specOf(id)
  const isLasting = runMs === Infinity
  const step = plainStep({ tasks, demand: { cpu, memMb, accelerators: 0 }, estimateMs: isLasting ? 1_000 : runMs, lasting: isLasting, mayMiss: 1, perWorker })
  return { id, queue: service, address: service, service, payload: '', steps: [step], acceptedAt, attempts: 3, ...quotaCpu === undefined ? {} : { account: ACCOUNT }, ...needsPermit === undefined ? {} : { needsPermit } }
}

/** What a site has beyond services and queues. */
export interface SiteFeatures {
  /** All jobs belong to a client account, which may have this much running at once, in thousandths of a core. */
  readonly quotaCpu?: number
  /** Each start needs a permit. */
  readonly needsPermit?: boolean
  /** Each service has one more queue, so that it keeps one when that of its name moves. */
  readonly extraQueues?: boolean
}

/** Client account of all jobs of a site that has accounts. */
export const ACCOUNT = 'team'

/**
 * @param features - what the site has
 * @param moved - queues that no longer belong to the service of their name, with the service that they belong to
 * @returns the operators' configuration, as text; its version is the number of queues that have moved, and one
 */
export function siteConfig ({ quotaCpu, needsPermit, extraQueues = false }: SiteFeatures = {}, moved: ReadonlyMap<string, string> = new Map()): string {
  const queues = services.map(name => ({ name, service: moved.get(name) ?? name }))
  const extra = extraQueues ? services.map(service => ({ name: `${service}-extra`, service })) : []
  return JSON.stringify({
    version: moved.size + 1,
    services: [...services.map(name => ({ name })), { name: 'spare', standby: true }],
    queues: [...queues, ...extra],
    ...quotaCpu === undefined ? {} : { accounts: [{ name: ACCOUNT, quota: { cpu: quotaCpu } }] },
    ...needsPermit === undefined ? {} : { needsPermit }
  })
}

/**
 * @param spec - what the tasks of a job need
 * @param number - tells it from other jobs of the same kind
 * @returns its id, which says what it needs
 */
export function jobId ({ service, tasks, cpu, runMs, memMb, perWorker }: JobSpec, number: number): string {
  return `${service}-${tasks}-${cpu}-${runMs === Infinity ? 0 : runMs}-${number}-${memMb ?? LITTLE_MEMORY_MB}-${perWorker ?? 0}`
}

/**
 * @param id - id of a job
 * @returns id of another job that needs the same
 */
export function likeJob (id: string): string {
  return jobId(specOf(id), LIKE_NUMBER)
}

function specOf (id: string): JobSpec {
  const spec = JOBS[id]
  if (spec !== undefined) return spec
  const [service = '', tasks, cpu, runMs, , memMb, perWorker] = id.split('-')
  if (perWorker === undefined) throw new Error(`no job ${id}`)
  return { service, tasks: Number(tasks), cpu: Number(cpu), runMs: runMs === '0' ? Infinity : Number(runMs), memMb: Number(memMb), perWorker: Number(perWorker) }
}
