import type { EndedRun, WorkerRegistration } from '@wisteriaslip/jobs.model'
import type { LinkCut } from './entry-link.ts'

/** Connection of an entry with the workers. */
export interface WorkerLink {
  /** Nothing passes once it is down. */
  up: boolean
  /** Hands a response to the process of the entry; that is the only one by default. */
  readonly deliver?: (callback: () => void) => void
  /** @returns how the entry is cut from a machine, undefined if it is not */
  readonly cutFrom?: (vm: string) => LinkCut | undefined
  /** @returns by how much a message is late, in milliseconds */
  readonly latenessMs?: () => number
  /** @returns how long after its sender gave up a call a reply to it is still taken, in milliseconds */
  readonly lateReplyMs?: () => number
}

/** One incarnation of a worker. It holds and knows nothing of the one before it. */
export class Incarnation {
  readonly registration: WorkerRegistration
  readonly bornAt: number
  readonly clockRate: number
  readonly runs = new Map<string, { attempt: number, startedAt: number, cpu: number, memMb?: number }>()
  readonly blockedAttempts = new Map<string, number>()
  readonly waitingPolls = new Set<() => void>()
  /** The connections that it has accepted and that are open: each resets one. */
  readonly connections = new Set<() => void>()
  ended: EndedRun[] = []
  token = 0
  leaseUntilMs = 0
  seq = 0
  alive = true

  /**
   * @param registration - identity and capacity
   * @param bornAt - virtual time of its start
   * @param clockRate - pace of its clock, as a share of the right one
   */
  constructor (registration: WorkerRegistration, bornAt: number, clockRate: number) {
    this.registration = registration
    this.bornAt = bornAt
    this.clockRate = clockRate
  }

  /** @returns capacity that its runs leave, in thousandths of a core */
  freeCpu (): number {
    return [...this.runs.values()].reduce((free, run) => free - run.cpu, this.registration.capacity.cpu)
  }

  /** @returns memory that its runs leave, in MB */
  freeMemMb (): number {
    return [...this.runs.values()].reduce((free, run) => free - (run.memMb ?? 0), this.registration.capacity.memMb)
  }
}

/** A VM that has one worker after the other. */
export interface WorkerMachine {
  readonly vm: string
  readonly clockRate: number
  incarnation: Incarnation | undefined
  /** Nothing reaches it, and nothing that it says arrives. */
  dark: boolean
  /** It carries orders out, and answers none. */
  mute: boolean
  /** What its worker does when it no longer hangs; undefined while it does not hang. */
  postponed: Array<() => void> | undefined
  listedAs: 'up' | 'down' | 'absent'
  /** What its address does without a worker. */
  refusesConnections: boolean
}
