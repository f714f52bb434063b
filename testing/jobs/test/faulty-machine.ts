import type { EndedRun, WorkerRegistration } from '@wisteriaslip/jobs.model'

/** How an entry is cut from a machine: no command arrives; its connections are reset; commands arrive and replies are lost. */
export type Cut = 'silent' | 'reset' | 'one-way'

/** Connection of an entry with the workers. */
export interface Link {
  /** Nothing passes once it is down. */
  up: boolean
  /** @returns how the entry is cut from a machine, undefined if it is not */
  readonly cutFrom?: (vm: string) => Cut | undefined
  /** @returns by how much a message is late, in milliseconds */
  readonly latenessMs?: () => number
  /** @returns how long after its sender gave up a call a reply to it is still taken, in milliseconds */
  readonly lateReplyMs?: () => number
}

/** One incarnation of a worker. It holds and knows nothing of the one before it. */
export class Incarnation {
  readonly registration: WorkerRegistration
  readonly bornAt: number
  readonly runs = new Map<string, { attempt: number, startedAt: number, cpu: number }>()
  readonly blockedAttempts = new Map<string, number>()
  readonly waitingPolls = new Set<(crashed?: true) => void>()
  ended: EndedRun[] = []
  token = 0
  leaseUntilMs = 0
  seq = 0
  alive = true

  constructor (registration: WorkerRegistration, bornAt: number) {
    this.registration = registration
    this.bornAt = bornAt
  }

  /** @returns capacity that its runs leave, in thousandths of a core */
  freeCpu (): number {
    return [...this.runs.values()].reduce((free, run) => free - run.cpu, this.registration.capacity.cpu)
  }
}

/** A VM that has one worker after the other. */
export interface Machine {
  readonly vm: string
  readonly clockRate: number
  incarnation: Incarnation | undefined
  /** Nothing reaches it, and nothing that it says arrives. */
  dark: boolean
  listedAs: 'up' | 'down' | 'absent'
  /** What its address does without a worker. */
  refusesConnections: boolean
}
