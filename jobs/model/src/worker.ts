import type { Result } from '@wisteriaslip/core.result'
import type { Resources } from './job.ts'

/** A worker as the registry lists it. */
export interface WorkerRegistration {
  readonly id: string
  /** Unix milliseconds of its start; with the id it tells one life from the next. */
  readonly born: number
  readonly service: string
  readonly host: string
  readonly port: number
  readonly zone: string
  readonly vm: string
  readonly draining: boolean
  readonly capacity: Resources
  readonly labels: readonly string[]
  readonly rack: string
}

/** How a run ended. */
export const runOutcomes = { done: 'done', failed: 'failed', stopped: 'stopped', lapsed: 'lapsed', broken: 'broken', alone: 'alone' } as const

/** How a run ended. */
export type RunOutcome = keyof typeof runOutcomes

/** A run that a worker lists. */
export interface ActiveRun {
  readonly task: string
  readonly attempt: number
  readonly checkpoint: string
  readonly percent: number
  /** Tail response time in milliseconds where it serves, else processor use in thousandths of a core. */
  readonly load: number
}

/** An end that a worker lists. */
export interface EndedRun {
  /** Number of the end in this life of the worker. */
  readonly seq: number
  readonly task: string
  readonly attempt: number
  readonly how: RunOutcome
  readonly checkpoint: string
}

/** A worker's answer to a look. */
export interface WorkerReport {
  readonly clockMs: number
  readonly born: number | undefined
  readonly running: readonly ActiveRun[]
  readonly ended: readonly EndedRun[]
}

/** Errors of a call on a worker. */
export type WorkerError =
  /** No usable answer: the order may have been carried out, or may still be. */
  | { readonly kind: 'unknown', readonly message: string }
  /** Another life answered. */
  | { readonly kind: 'other-life', readonly message: string }
  /** Refused; nothing was done. */
  | { readonly kind: 'refused', readonly reason: 'fence' | 'old' | 'late' | 'room' | 'permit' | 'unhealthy' | 'invalid', readonly clockMs?: number | undefined }

/** A start. */
export interface StartCommand {
  readonly task: string
  readonly attempt: number
  readonly payload: string
  /** End of the lease on the worker's clock, in milliseconds. */
  readonly leaseUntilMs: number
  readonly checkpoint: string
  readonly permit: string
}

/** A worker's address, the life that is meant, and the caller's fencing token. */
export interface WorkerEndpoint {
  readonly id: string
  readonly host: string
  readonly port: number
  readonly token: number
}

/** Calls on workers. Each is one try. */
export interface WorkerClient {
  /** @returns the worker's clock in milliseconds */
  start (target: WorkerEndpoint, order: StartCommand, signal: AbortSignal): Promise<Result<number, WorkerError>>
  stop (target: WorkerEndpoint, order: { task: string, attempt: number }, signal: AbortSignal): Promise<Result<number, WorkerError>>
  /** Renews the lease if a time is given, forgets ends up to `seenSeq`, and waits up to `waitMs` for an end. */
  poll (target: WorkerEndpoint, opts: { leaseUntilMs?: number | undefined, seenSeq: number, waitMs: number }, signal: AbortSignal): Promise<Result<WorkerReport, WorkerError>>
  setSpeed (target: WorkerEndpoint, order: { task: string, attempt: number, percent: number }, signal: AbortSignal): Promise<Result<number, WorkerError>>
  /** Lets go of the connections to a worker. */
  closeConnections (target: { host: string, port: number }): void
}

/** Asks which workers a queue's policy allows to run a step. */
export interface PermitClient {
  /** @returns permits by worker, valid for `validMs` */
  requestPermits (step: string, workers: readonly string[], signal: AbortSignal): Promise<Result<{ permits: ReadonlyMap<string, string>, validMs: number }, { kind: 'busy' | 'unknown', message: string }>>
}
