/** A simulated request; `serviceMs` is its execution time. */
export interface BenchRequest {
  /** Index of the entry that receives the request. */
  readonly entry: number
  readonly class: string
  readonly tenant: string
  readonly serviceMs: number
  readonly deadlineMs: number
  /** Called when an executor starts the request. */
  readonly onStart: () => void
  /** Called when the request has run, or with false when it was refused. */
  readonly onEnd: (ran: boolean) => void
}

/** Policy for sharing the slots of all executors among all entries. */
export interface SlotPolicy {
  readonly name: string
  /** Submits a request to its entry. */
  submit (request: BenchRequest): void
  /** @returns bytes of control messages sent so far, summed over all entries */
  controlBytes (): number
}

/** Size of the simulated pool, as in the requirements; `slots` is per executor. */
export const simulationParams = {
  entries: 7,
  executors: 8,
  slots: 8,
  oneWayMs: 1.4,
  /** Request line, status line and headers of one call, in both directions. */
  callOverheadBytes: 420
} as const
