/** Resources of a task or a worker. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpu: number
  readonly memMb: number
  readonly accelerators: number
}

/** One step of a job: a number of tasks with the same demand. */
export interface Step {
  readonly tasks: number
  readonly demand: Resources
  /** Rough estimate of a task's duration in milliseconds; often inaccurate. */
  readonly estimateMs: number
  /** Numbers of earlier steps whose tasks must all be done first. */
  readonly after: readonly number[]
  readonly checkpoints: boolean
  /** Gang: tasks run only all together; they are placed all at once, under one attempt number, or not at all. */
  readonly gang: boolean
  readonly oneRack: boolean
  /** Label that the worker must have; empty for none. */
  readonly label: string
  /** Rack that holds the data; empty for none. */
  readonly dataRack: string
  /** Maximum number of tasks of one occurrence per worker; 0 for no limit. */
  readonly perWorker: number
  /** Several runs of a task may execute in parallel. */
  readonly copies: boolean
  /** Long-running: tasks run until the job is cancelled and are restarted whatever their outcome. */
  readonly lasting: boolean
  /** As submitted; not used by the scheduler. */
  readonly image: string
  /** Tail latency objective of a long-running task in milliseconds; 0 for none. */
  readonly latencyTargetMs: number
  /** Uses idle CPU time only; its cpu demand does not count against a worker's capacity. */
  readonly backfill: boolean
  /** Maximum number of tasks of a long-running step that the system itself may make unavailable at once. */
  readonly mayMiss: number
}

/** Tasks that a job may have: a leader must bear it with all others. */
const MAX_TASKS_PER_JOB = 50_000

/**
 * @param steps - steps of a job
 * @returns why a job with these steps is not accepted, undefined if it is
 */
export function whyTooLarge (steps: ReadonlyArray<{ readonly tasks: number }>): string | undefined {
  const tasks = steps.reduce((sum, step) => sum + step.tasks, 0)
  return tasks > MAX_TASKS_PER_JOB ? `more than ${MAX_TASKS_PER_JOB} tasks` : undefined
}

/** Due times of the occurrences of a scheduled job. */
export interface Schedule {
  readonly times: number
  /** Unix milliseconds of the first occurrence. */
  readonly firstMs: number
  readonly everyMs: number
}

/** An accepted job. */
export interface Job {
  readonly id: string
  readonly queue: string
  readonly service: string
  readonly payload: string
  readonly steps: readonly Step[]
  readonly schedule?: Schedule | undefined
  /** Unix milliseconds. */
  readonly acceptedAt: number
  /**
   * Fencing token of the service's leader at acceptance, as far as the accepting entry knew it; 0 for none. Only that
   * leader or a later one is notified of the job.
   */
  readonly acceptedUnder: number
  /**
   * Attempts that the queue allowed at acceptance. They apply while the leader's configuration lacks the queue: a leader
   * may receive a job before the configuration that added its queue, and keeps jobs of removed queues. Undefined in
   * records of earlier versions.
   */
  readonly attempts?: number | undefined
  /**
   * Whether the queue needed permits at acceptance, and what a request took. As `attempts`, they apply while the leader's configuration
   * lacks the queue: workers go on asking for permits. Undefined for no, and in records of earlier versions.
   */
  readonly needsPermit?: boolean | undefined
  readonly permitCost?: PermitCost | undefined
  /** Name of the client account that submitted it; undefined in a queue without accounts, and in records of earlier versions. */
  readonly account?: string | undefined
  /** Address of the queue at acceptance, see {@link addressOf}; undefined in records of earlier versions. */
  readonly address?: string | undefined
}

/** A job as this version stores it. */
export type AddressedJob = Job & { readonly address: string }

/** A job as a caller submits it. */
export type JobRequest = Omit<AddressedJob, 'acceptedUnder'>

/** Job states that callers see. */
export const jobStates = { queued: 'queued', running: 'running', completed: 'completed', failed: 'failed', cancelled: 'cancelled' } as const

/** Job state that callers see. */
export type JobState = keyof typeof jobStates

/**
 * @param state - job state
 * @returns whether the state is final
 */
export function isFinal (state: JobState): boolean {
  return state === 'completed' || state === 'failed' || state === 'cancelled'
}

/** Time that the permit service takes for a request. */
export interface PermitCost {
  readonly decisionMs: number
  /** For each worker that the request names. */
  readonly perWorkerMs: number
}

/** A queue of jobs of one kind, which run on the workers of one service. */
export interface Queue {
  readonly name: string
  readonly host: string
  readonly pathPrefix: string
  readonly service: string
  /** Lower values are scheduled first; 0 is the highest priority. */
  readonly priority: number
  /** Number of failed runs of a task at which its job fails. */
  readonly attempts: number
  /** Time objective of a job: this multiple of its critical path, plus `objectiveMs`. */
  readonly stretch: number
  readonly objectiveMs: number
  /** From the operators' configuration; not used by the scheduler. */
  readonly timeoutMs: number
  /** Whether each start needs a permit from the permit service. */
  readonly needsPermit: boolean
  /** What a request for permits takes; undefined if the configuration does not tell, and from entries of earlier versions. */
  readonly permitCost?: PermitCost | undefined
  /** Calls need no key of a client account; undefined is false. */
  readonly public?: boolean | undefined
}

/**
 * The address of a queue and the id of a job identify the job for callers: they keep both when the operators give the queue to
 * another service or rename it.
 * @param queue - a queue
 * @returns host and path prefix of the queue, its name where it has neither
 */
export function addressOf ({ name, host, pathPrefix }: Pick<Queue, 'name' | 'host' | 'pathPrefix'>): string {
  return host + pathPrefix === '' ? name : host + pathPrefix
}

/**
 * @param job - where a job was submitted
 * @param queue - name and address of a queue
 * @returns whether the job may be one of the queue, which may have had another name or another address since; a record of an earlier
 * version does not tell the address
 */
export function isOfQueue (job: Pick<Job, 'queue' | 'address'>, queue: { readonly queue: string, readonly address: string }): boolean {
  return job.address === undefined || job.address === queue.address || job.queue === queue.queue
}

/** A client account: a team of callers. */
export interface Account {
  readonly name: string
  /** SHA-256 digests of its keys, in hex; the keys themselves are no part of the model. */
  readonly keyDigests: readonly string[]
  /** Share when there is less room than work, and number of jobs a second that it is entitled to. */
  readonly weight: number
  /** What it may have running on all workers of all services together; 0 for no limit. */
  readonly quota: Resources
}

/** A service: one pool of workers. */
export interface Service {
  readonly name: string
  /** Workers reject runs that exceed their free capacity. */
  readonly guardsCapacity: boolean
  /** VMs of this pool are powered off until they are moved to another pool. */
  readonly standby: boolean
}

/** The part of the operators' configuration that concerns jobs. */
export interface JobConfig {
  readonly version: number
  readonly queues: readonly Queue[]
  readonly services: readonly Service[]
  readonly maxBodyBytes: number
  /** Client accounts; undefined in a deployment without any, where calls need no key. */
  readonly accounts?: readonly Account[] | undefined
  /** How many accounts, or keys of accounts, are left out as they cannot be read; undefined for none. */
  readonly unreadableAccounts?: number | undefined
}

/** Parts of a task name: job, occurrence, step and index. */
export interface TaskName {
  readonly job: string
  readonly occurrence: number
  readonly step: number
  readonly index: number
}

/**
 * Parses `job.occurrence.step.index`.
 * @param text - name of a task
 * @returns the parts of the name, undefined when the text is not a task name
 */
export function parseTaskName (text: string): TaskName | undefined {
  const parts = text.split('.')
  const [job, ...numbers] = parts
  const [occurrence, step, index] = numbers.map(Number)
  if (job === undefined || parts.length !== 4) return undefined
  if (occurrence === undefined || step === undefined || index === undefined) return undefined
  if (![occurrence, step, index].every(number => Number.isInteger(number) && number >= 0)) return undefined
  return { job, occurrence, step, index }
}
