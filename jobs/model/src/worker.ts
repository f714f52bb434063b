import type { Result } from '@wisteriaslip/core.result'
import type { Resources } from './job.ts'

/** A worker's registration in the store. */
export interface WorkerRegistration {
  readonly id: string
  /** Unix milliseconds of the worker's start; together with the id it identifies the incarnation. {@link UNKNOWN_BORN} if it does not say. */
  readonly born: number
  /** Revision of the registration's latest change in the store; undefined if it is not known. */
  readonly revision?: number | undefined
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

/**
 * @param worker - a worker's registration
 * @returns a text that identifies the incarnation of the worker
 */
export function incarnationKey (worker: WorkerRegistration): string {
  return `${worker.id}/${worker.born}`
}

/** `born` of a registration that does not say when the worker started, so that it tells no incarnation from another. */
export const UNKNOWN_BORN = 0

/**
 * @param a - a registration
 * @param b - another one under the same id
 * @returns whether both may be of one incarnation
 */
export function mayBeSameIncarnation (a: WorkerRegistration, b: WorkerRegistration): boolean {
  return a.born === b.born || a.born === UNKNOWN_BORN || b.born === UNKNOWN_BORN
}

/**
 * @param a - a registration
 * @param b - another one under the same id
 * @returns a negative number if `a` was written before `b`, 0 if that is not known; one without a revision was written before one with
 */
export function compareRevisions (a: WorkerRegistration, b: WorkerRegistration): number {
  return (a.revision ?? 0) - (b.revision ?? 0)
}

/** Outcomes of a run. */
export const runOutcomes = { done: 'done', failed: 'failed', stopped: 'stopped', lapsed: 'lapsed', broken: 'broken', alone: 'alone' } as const

/** Outcome of a run. */
export type RunOutcome = keyof typeof runOutcomes

/** A run in progress, as its worker reports it. */
export interface ActiveRun {
  readonly task: string
  readonly attempt: number
  readonly checkpoint: string
  readonly percent: number
  /** Tail latency in milliseconds for a serving task, otherwise CPU use in thousandths of a core. */
  readonly load: number
}

/** An ended run, whatever its outcome, as its worker reports it; comments call it a completion. */
export interface EndedRun {
  /** Sequence number of the completion within this incarnation of the worker. */
  readonly seq: number
  readonly task: string
  readonly attempt: number
  readonly how: RunOutcome
  readonly checkpoint: string
}

/** A worker's response to a poll. */
export interface WorkerReport {
  readonly clockMs: number
  readonly born: number | undefined
  readonly running: readonly ActiveRun[]
  /** Completions that are not acknowledged, the earliest first. */
  readonly ended: readonly EndedRun[]
  /** There may be more completions than are listed: a run that is in neither list may have ended. */
  readonly moreEnded: boolean
}

/** Errors of a call to a worker. */
export type WorkerError =
  /** No usable response: the command may have been executed, or may still be executed later. */
  | { readonly kind: 'unknown', readonly message: string }
  /** Another incarnation of the worker responded. */
  | { readonly kind: 'other-life', readonly message: string }
  /** The worker rejected the command and did nothing, or the command was certainly not sent (`not-sent`). */
  | { readonly kind: 'refused', readonly reason: 'fence' | 'old' | 'late' | 'room' | 'permit' | 'unhealthy' | 'invalid' | 'not-sent', readonly clockMs?: number | undefined }

/** Command to start a run. */
export interface StartCommand {
  readonly task: string
  readonly attempt: number
  readonly payload: string
  /** Expiry of the lease on the worker's clock, in milliseconds. */
  readonly leaseUntilMs: number
  readonly checkpoint: string
  readonly permit: string
}

/** Id and address of the worker incarnation that a command is meant for, with the caller's fencing token. */
export interface WorkerEndpoint {
  readonly id: string
  readonly host: string
  readonly port: number
  readonly token: number
}

/** What a worker is told and asked. */
export interface WorkerCalls {
  /**
   * Starts a run.
   * @returns reading of the worker's clock in milliseconds
   */
  start (command: StartCommand, signal: AbortSignal): Promise<Result<number, WorkerError>>
  /**
   * Stops a run.
   * @returns reading of the worker's clock in milliseconds
   */
  stop (command: { task: string, attempt: number }, signal: AbortSignal): Promise<Result<number, WorkerError>>
  /**
   * Long-polls a worker: renews its lease if `leaseUntilMs` is given, lets it discard completions up to `seenSeq`, and
   * waits up to `waitMs` milliseconds for a run to end.
   */
  poll (opts: { leaseUntilMs?: number | undefined, seenSeq: number, waitMs: number }, signal: AbortSignal): Promise<Result<WorkerReport, WorkerError>>
  /**
   * Sets the speed of a run, in percent of full speed.
   * @returns reading of the worker's clock in milliseconds
   */
  setSpeed (command: { task: string, attempt: number, percent: number }, signal: AbortSignal): Promise<Result<number, WorkerError>>
}

/** The same calls, each with the worker that it is meant for. */
export type AddressedWorkerCalls = { [Name in keyof WorkerCalls]: (endpoint: WorkerEndpoint, ...args: Parameters<WorkerCalls[Name]>) => ReturnType<WorkerCalls[Name]> }

/**
 * One connection to a worker, opened by the first call and never again: all calls reach the incarnation that has accepted it, or
 * none. Which one that is only a response tells. Calls are sent in turn and not retried. A call that is aborted
 * once it has been sent ends the channel.
 */
export interface WorkerChannel extends WorkerCalls {
  readonly endpoint: WorkerEndpoint
  /** Aborts once the connection has ended, or could not be opened; later calls are not sent. */
  readonly ended: AbortSignal
  /** Ends the connection, with the calls in progress. */
  close (): void
}

/** Client for workers. */
export interface WorkerClient {
  /**
   * @param endpoint - the worker, and the caller's fencing token
   * @returns a channel to whichever incarnation accepts the connection
   */
  connect (endpoint: WorkerEndpoint): WorkerChannel
}

/** Permits by worker id, valid for `validMs` milliseconds. */
export interface Permits {
  readonly permits: ReadonlyMap<string, string>
  readonly validMs: number
}

/** Error of a request for permits; `busy`: the service has too many requests of this entry to handle. */
export interface PermitError {
  readonly kind: 'busy' | 'unknown'
  readonly message: string
}

/** Client for permits: on which workers the policy of a queue allows a step to run. */
export interface PermitClient {
  /**
   * @param step - name of the step, as `job.occurrence.step`
   * @param workers - ids of the workers
   * @param opts - `timeoutMs`: how long the service may take once the request is sent, in milliseconds; `urgent`: it goes before others
   * that wait; `signal` aborts the request
   * @returns the permits, or why there are none
   */
  requestPermits (step: string, workers: readonly string[], opts: { readonly timeoutMs: number, readonly urgent?: boolean | undefined, readonly signal: AbortSignal }): Promise<Result<Permits, PermitError>>
}
