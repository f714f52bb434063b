import type { Task } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** Phases of a run as known to the leader. */
export const runPhases = {
  /** The start command has been sent and its response is pending. */
  sending: 'sending',
  /** The outcome of the start is unknown: the run may be in progress, start later, or never start. */
  unsettled: 'unsettled',
  running: 'running'
} as const

/** One start of a task on a worker, tracked until it has certainly ended. */
export interface Run {
  readonly task: Task
  readonly worker: TrackedWorker
  readonly attempt: number
  phase: keyof typeof runPhases
  /** When the start was sent or the run was first reported, by the injected clock. */
  readonly startedAt: number
  /**
   * When the call that started it has ended, with a response or without one, by the injected clock; undefined while it is
   * pending. An incarnation that begins later never gets the command.
   */
  startCallEndedAt: number | undefined
  /** The same start at the next incarnation under the worker's id, if it was carried over. */
  carriedTo: Run | undefined
  /**
   * The run has certainly begun in this incarnation of the worker: a report has listed it, or the start was confirmed with
   * this incarnation's clock. Another incarnation under the same id may have executed a start that was confirmed otherwise.
   */
  begunHere: boolean
  /** The start was sent on a connection of this incarnation of the worker, so that no other one can execute it. */
  sentHere: boolean
  /**
   * The worker has responded to a poll that was sent once the run would have settled, or was reported by a worker that had it from
   * an earlier leader: the start has not crashed it, unless the command is executed later.
   */
  outlivedStart: boolean
  /** Polls that are sent after this time list the run if it is in progress. */
  confirmedAt: number | undefined
  /** Reason for stopping the run; undefined while it is not to be stopped. */
  stopReason: string | undefined
  stopSentAt: number | undefined
  /** A poll that is sent after this time and does not list the run proves that it never runs again. */
  stopAcknowledgedAt: number | undefined
  percent: number
  /** Start of the run on the worker's clock; the local clock only shows when the leader learned of it. */
  startedWorkerClockMs: number | undefined
  /**
   * An earlier leader may have stopped the run: a worker lists it as before until it has ended. False once a report still lists it
   * after such a stop would have been carried out, and for runs that this leader has started.
   */
  mayBeStopping: boolean
  /** When `percent` last increased, on the worker's clock. */
  progressedWorkerClockMs: number
  load: number
  /** The run has been found slow, and has counted against its worker. */
  foundSlow: boolean
  /**
   * The task may crash its worker: a crash counts as a trial of it until the run has settled (`start`), or until it has lasted
   * for much longer than those before (`whole`). Undefined for other runs.
   */
  isolation: 'start' | 'whole' | undefined
  /** Speed last set for the run, in percent of full speed; NaN when it is not known. */
  speedPercent: number
}

/**
 * @param task - a task
 * @param worker - the worker on which it is started, or that has reported it
 * @param opts - attempt number, and time of the injected clock
 * @returns a run whose start is about to be sent
 */
export function createRun (task: Task, worker: TrackedWorker, opts: { attempt: number, now: number }): Run {
  return {
    task,
    worker,
    attempt: opts.attempt,
    phase: 'sending',
    startedAt: opts.now,
    startCallEndedAt: undefined,
    carriedTo: undefined,
    begunHere: false,
    sentHere: false,
    outlivedStart: false,
    confirmedAt: undefined,
    stopReason: undefined,
    stopSentAt: undefined,
    stopAcknowledgedAt: undefined,
    percent: 0,
    startedWorkerClockMs: undefined,
    mayBeStopping: false,
    progressedWorkerClockMs: 0,
    load: 0,
    foundSlow: false,
    isolation: undefined,
    speedPercent: 100
  }
}

/**
 * @param run - a run on an incarnation that has ended
 * @param worker - the next incarnation under the same id
 * @returns the run as it may be in progress there, or begin there late
 */
export function carriedOver (run: Run, worker: TrackedWorker): Run {
  return {
    ...run,
    worker,
    begunHere: false,
    outlivedStart: true,
    stopSentAt: undefined,
    stopAcknowledgedAt: undefined,
    percent: 0,
    startedWorkerClockMs: undefined,
    progressedWorkerClockMs: 0,
    isolation: undefined,
    speedPercent: Number.NaN
  }
}
