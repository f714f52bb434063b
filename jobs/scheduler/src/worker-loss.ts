import type { WorkerRegistration } from '@wisteriaslip/jobs.model'
import type { Run } from './run.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** Why the runs of a worker were lost. */
export const lossCauses = {
  /** Its incarnation has ended, and nobody had planned that. */
  crashed: 'crashed',
  /** It was being drained, or its VM was moved or maintained. */
  planned: 'planned',
  /** It does not respond and its lease has expired: it may have crashed, or be disconnected. */
  leaseExpired: 'lease-expired'
} as const

/** Why the runs of a worker were lost. */
export type LossCause = typeof lossCauses[keyof typeof lossCauses]

/** A run that was lost with its worker. */
export interface LostRun {
  readonly task: string
  readonly attempt: number
  readonly phase: Run['phase']
  /** How long the run had certainly been in progress, on the worker's clock, in milliseconds. */
  readonly survivedMs: number
  /** Whether the worker has responded since its start would have crashed it. */
  readonly outlivedStart: boolean
  readonly isolation: Run['isolation']
  /** Crashes of workers that the task has been part of and that no other task has caused. */
  readonly crashes: number
}

/** What a leader knows of a worker that no longer responds. */
export interface WorkerSilence {
  /** Age of its last response in milliseconds; undefined if it has never responded in this term. */
  readonly lastResponseAgeMs: number | undefined
  /** For how long its leases have certainly expired, on its clock, in milliseconds; negative while they may hold. */
  readonly leaseExpiredForMs: number | undefined
}

/** Runs that were lost with a worker. */
export interface WorkerLoss extends WorkerSilence {
  readonly worker: WorkerRegistration
  readonly cause: LossCause
  readonly runs: readonly LostRun[]
}

/**
 * @param run - a run
 * @returns how long it had been in progress at its worker's last response, on the worker's clock, in milliseconds; 0 while its
 * start is not confirmed
 */
export function survivedMs (run: Run): number {
  if (run.startedWorkerClockMs === undefined) return 0
  return Math.max(0, run.worker.lastClockMs() - run.startedWorkerClockMs)
}

/**
 * @param worker - a worker
 * @param now - time of the injected clock
 * @returns the ages of what is known of it
 */
export function describeSilence (worker: TrackedWorker, now: number): WorkerSilence {
  return {
    lastResponseAgeMs: worker.lastResponseAt === undefined ? undefined : Math.round(now - worker.lastResponseAt),
    leaseExpiredForMs: worker.leaseExpiredForMs(now)
  }
}

/**
 * @param run - a run that was lost
 * @returns what the log says about it
 */
export function toLostRun (run: Run): LostRun {
  return { task: run.task.name, attempt: run.attempt, phase: run.phase, survivedMs: Math.round(survivedMs(run)), outlivedStart: run.outlivedStart, isolation: run.isolation, crashes: run.task.crashes.length }
}
