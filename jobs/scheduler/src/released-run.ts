import type { Run } from './run.ts'

/** Why a run was released although its worker has not reported its end: each is taken for proof that it does not run. */
export const releaseCauses = {
  /** The start was refused, or certainly not sent. */
  refused: 'refused',
  /** Another incarnation responded to the start. */
  otherIncarnation: 'other-incarnation',
  /** A complete report no longer lists it. */
  notListed: 'not-listed',
  /** Its worker's incarnation has ended. */
  incarnationEnded: 'incarnation-ended',
  /** All leases of its worker have expired. */
  leaseExpired: 'lease-expired',
  /** Its VM was off after the call that started it. */
  vmOff: 'vm-off',
  /** Its VM has another worker, or is gone. */
  vmReplaced: 'vm-replaced'
} as const

/** Why a run was released although its worker has not reported its end. */
export type ReleaseCause = typeof releaseCauses[keyof typeof releaseCauses]

/** The latest run of a task that was released without a reported end. */
export interface ReleasedRun {
  readonly worker: string
  readonly attempt: number
  readonly phase: Run['phase']
  readonly cause: ReleaseCause
  /** When it was released, by the injected clock. */
  readonly at: number
  /** Age of the worker's last response then, in milliseconds; undefined if it had never responded. */
  readonly lastResponseAgeMs: number | undefined
}

/**
 * @param run - a run
 * @param cause - why it is released
 * @param now - time of the injected clock
 * @returns what is kept of it for the log of the task's next start
 */
export function toReleasedRun ({ worker, attempt, phase }: Run, cause: ReleaseCause, now: number): ReleasedRun {
  const lastResponseAgeMs = worker.lastResponseAt === undefined ? undefined : Math.round(now - worker.lastResponseAt)
  return { worker: worker.registration.id, attempt, phase, cause, at: now, lastResponseAgeMs }
}
