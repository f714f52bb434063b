/** Resources of a task or a worker. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpu: number
  readonly memMb: number
  readonly accelerators: number
}

/** One step of a job: tasks of the same shape. */
export interface Step {
  readonly tasks: number
  readonly demand: Resources
  /** Rough estimate of a task's duration in milliseconds; often far off. */
  readonly estimateMs: number
  /** Earlier steps, by number, whose tasks must all be done first. */
  readonly after: readonly number[]
  readonly checkpoints: boolean
  /** The tasks run only all together. */
  readonly gang: boolean
  readonly oneRack: boolean
  /** Label that a worker must have; empty for none. */
  readonly label: string
  /** Rack where the data lies; empty for none. */
  readonly dataRack: string
  /** Most tasks of one occurrence on one worker; 0 for no limit. */
  readonly perWorker: number
  /** Copies of a task may run in parallel. */
  readonly copies: boolean
  /** The tasks run until the job is cancelled and are started again however they end. */
  readonly lasting: boolean
  readonly image: string
  /** Tail response time that a lasting task has to keep, in milliseconds; 0 for none. */
  readonly latencyTargetMs: number
  /** Uses the processor time that others leave; its cpu does not count against a worker's room. */
  readonly backfill: boolean
  /** Tasks of a lasting step that may be away at once through the system's own actions. */
  readonly mayMiss: number
}

/** When the occurrences of a scheduled job are due. */
export interface Schedule {
  readonly times: number
  /** Unix milliseconds of the first one. */
  readonly firstMs: number
  readonly everyMs: number
}

/** A job as it was accepted. */
export interface Job {
  readonly id: string
  readonly queue: string
  readonly service: string
  readonly payload: string
  readonly steps: readonly Step[]
  readonly schedule?: Schedule | undefined
  /** Unix milliseconds. */
  readonly acceptedAt: number
  /** Fencing token of the service's leader as the accepting entry knew it; 0 for none. Only that leader or a later one is told. */
  readonly acceptedUnder: number
}

/** A job as a caller hands it in. */
export type JobRequest = Omit<Job, 'acceptedUnder'>

/** States of a job that callers see. */
export const jobStates = { queued: 'queued', running: 'running', completed: 'completed', failed: 'failed', cancelled: 'cancelled' } as const

/** State of a job that callers see. */
export type JobState = keyof typeof jobStates

/**
 * @param state - of a job
 * @returns whether it never changes again
 */
export function isFinal (state: JobState): boolean {
  return state === 'completed' || state === 'failed' || state === 'cancelled'
}

/** A queue: jobs of one kind that run on the workers of one service. */
export interface Queue {
  readonly name: string
  readonly host: string
  readonly pathPrefix: string
  readonly service: string
  /** 0 comes first. */
  readonly priority: number
  /** Runs of a task that may fail before its job fails. */
  readonly attempts: number
  /** A job is on time within this multiple of its longest chain of work, plus `objectiveMs`. */
  readonly stretch: number
  readonly objectiveMs: number
  readonly timeoutMs: number
  /** Tells whether starts need a permit of the advice service. */
  readonly needsPermit: boolean
}

/** A service: a pool of workers. */
export interface Service {
  readonly name: string
  /** Workers refuse what does not fit. */
  readonly guardsCapacity: boolean
  /** VMs of this pool are switched off until they are moved to another. */
  readonly standby: boolean
}

/** The operators' configuration as jobs need it. */
export interface JobConfig {
  readonly version: number
  readonly queues: readonly Queue[]
  readonly services: readonly Service[]
  readonly maxBodyBytes: number
}

/** Name of a task: job, occurrence, step and index. */
export interface TaskName {
  readonly job: string
  readonly occurrence: number
  readonly step: number
  readonly index: number
}

/**
 * @param text - a task's name
 * @returns its parts, undefined when it is none
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
