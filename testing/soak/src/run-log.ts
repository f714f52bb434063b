/** Outcomes of runs. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'crashed'

/** One run of a task as its worker saw it. All times are in milliseconds since the log began, by one steady clock. */
export interface RunRecord {
  readonly task: string
  readonly attempt: number
  readonly spec: string
  readonly worker: string
  /** Distinguishes incarnations of a worker. */
  readonly born: number
  /** Index of the entry whose proxy the start came through, and its fencing token. */
  readonly entry: number | undefined
  readonly token: number
  readonly startedAt: number
  endedAt?: number
  how?: RunEnd
  /** When `lastSeen` reached the end. */
  notedAt?: number
  /** Index of the entry that acknowledged the end, and its fencing token. */
  notedBy?: { readonly entry: number | undefined, readonly token: number }
  /** The worker's lease had lapsed between the end and `notedAt`. */
  notedAfterLapse?: boolean
}

/** Everything that the workers of a site have run. */
export class RunLog {
  readonly runs: RunRecord[] = []
  /** Unix time of the beginning in milliseconds; the logs of entries tell this time. */
  readonly beganAt = Date.now()
  private readonly began = performance.now()

  /** @returns milliseconds since the log began */
  now (): number {
    return performance.now() - this.began
  }
}
