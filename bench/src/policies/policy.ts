/** A request of the bench. */
export interface BenchRequest {
  readonly entry: number
  readonly class: string
  readonly tenant: string
  readonly serviceMs: number
  readonly deadlineMs: number
  /** Told when it starts at an executor. */
  readonly onStart: () => void
  /** Told when it ended, or was refused. */
  readonly onEnd: (ran: boolean) => void
}

/** A way of sharing the slots of all executors between all entries. */
export interface SlotPolicy {
  readonly name: string
  /** Takes a request at its entry. */
  submit (request: BenchRequest): void
  /** @returns bytes of control messages so far, all entries together */
  controlBytes (): number
}

/** Sizes of the bench, as in the brief. */
export const sizes = {
  entries: 7,
  executors: 8,
  slots: 8,
  oneWayMs: 1.4,
  /** Request line, headers and status line of one call, both ways. */
  callOverheadBytes: 420
} as const
