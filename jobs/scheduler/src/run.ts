import type { Task } from './tracked-job.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** Phases of a run as the leader sees it. */
export const runPhases = {
  /** The start is on its way. */
  sending: 'sending',
  /** The start got no answer: it may run now, later, or never. */
  unsettled: 'unsettled',
  running: 'running'
} as const

/** One start of a task on a worker, until it surely runs no more. */
export interface Run {
  readonly task: Task
  readonly worker: TrackedWorker
  readonly attempt: number
  phase: keyof typeof runPhases
  /** When the start was sent or first listed, by the injected clock. */
  readonly startedAt: number
  /** From here on a look that was sent later shows the run if it exists. */
  confirmedAt: number | undefined
  /** Why it is to be stopped; undefined while it is not. */
  stopReason: string | undefined
  stopSentAt: number | undefined
  /** A look that was sent later than this, and does not show the run, proves that it never runs again. */
  stopAcknowledgedAt: number | undefined
  percent: number
  /** When it began, on the worker's clock: our own tells when we heard of it. */
  startedWorkerClockMs: number | undefined
  /** When `percent` last grew, on the worker's clock. */
  progressedWorkerClockMs: number
  load: number
  /** Share of its speed that it was last told to work at. */
  speedPercent: number
}
