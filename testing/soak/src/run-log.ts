import { FaultRecord } from './fault-record.ts'

/** Outcomes of runs; `left`: the worker left as planned, or its VM was moved or maintained. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'crashed' | 'left'

/** Size of a task, or room of a worker. */
export interface Size { readonly cpu: number, readonly memMb: number }

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
  /** The worker's lease has lapsed after the end, and before `notedAt` if it was noted at all. */
  lapsedBeforeNoted?: boolean
}

/** One incarnation of a worker, in milliseconds since the log began. */
export interface WorkerLife {
  readonly worker: string
  readonly born: number
  readonly service: string
  readonly capacity: Size
  readonly startedAt: number
  /** When it announced that it would leave. */
  drainingAt?: number
  endedAt?: number
}

/** A term of a leader by the store's records, in milliseconds since the log began. */
export interface TermRecord {
  /** What it leads. */
  readonly resource: string
  readonly token: number
  readonly startedAt: number
}

/** Everything that the workers of a site have run, who led them, and what disturbed it. */
export class RunLog {
  readonly runs: RunRecord[] = []
  readonly lives: WorkerLife[] = []
  readonly terms: TermRecord[] = []
  readonly faults = new FaultRecord(() => this.now())
  /** Unix time of the beginning in milliseconds; the logs of entries tell this time. */
  readonly beganAt = Date.now()
  private readonly began = performance.now()

  /** @returns milliseconds since the log began */
  now (): number {
    return performance.now() - this.began
  }
}
