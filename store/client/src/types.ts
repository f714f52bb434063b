import type { Result } from '@wisteriaslip/core.result'
import type { DriverError, StoreError } from './errors.ts'

/** A key as the service holds it. */
export interface RawKeyValue {
  readonly key: string
  readonly value: string
  readonly createRevision: number
  readonly modRevision: number
}

/** What must be true of a key for a transaction to take effect. Revision 0 means absent. */
export interface Guard {
  readonly key: string
  readonly modRevision?: number
  readonly createRevision?: number
}

/** One transaction of a driver. */
export interface DriverTxn {
  readonly guards: readonly Guard[]
  readonly puts: ReadonlyArray<{ readonly key: string, readonly value: string, readonly leaseId?: string }>
  readonly deletes: readonly string[]
}

/** Keys read at one revision. `count` counts all keys of the range, also those that a filter left out. */
export interface KeyRange {
  readonly revision: number
  readonly count: number
  readonly kvs: readonly RawKeyValue[]
}

/** Options of a read. */
export interface RangeOpts {
  /** Read all keys that start with the key. */
  readonly prefix?: boolean
  /** Leave out keys that have not changed since before this revision. */
  readonly minModRevision?: number
  readonly signal?: AbortSignal
}

/** Options of a watch. */
export interface WatchOpts {
  /** Changes within this time may be delivered together, in milliseconds. */
  readonly batchWindowMs?: number
}

/** Changes that a watch delivered, in order. */
export interface WatchBatch {
  readonly revision: number
  readonly changed: readonly RawKeyValue[]
  readonly deleted: ReadonlyArray<{ readonly key: string, readonly modRevision: number }>
}

/** What an adapter of a published protocol implements. Each call is one try, without retries. */
export interface Driver {
  range (key: string, opts: RangeOpts): Promise<Result<KeyRange, DriverError>>
  txn (txn: DriverTxn, signal: AbortSignal): Promise<Result<{ succeeded: boolean, revision: number }, DriverError>>
  /** @returns the id of a lease that lives `ttlMs` after its last keep-alive */
  grantLease (ttlMs: number, signal: AbortSignal): Promise<Result<string, DriverError>>
  keepAlive (leaseId: string, signal: AbortSignal): Promise<Result<void, DriverError>>
  revokeLease (leaseId: string, signal: AbortSignal): Promise<Result<void, DriverError>>
  /** Runs until the signal aborts or the stream ends. */
  watch (prefix: string, fromRevision: number, onBatch: (batch: WatchBatch) => void, signal: AbortSignal, opts?: WatchOpts): Promise<DriverError>
}

/** A document with its revisions and the ids of its latest writes. */
export interface Versioned<T = unknown> {
  readonly key: string
  readonly value: T
  readonly createRevision: number
  readonly modRevision: number
  readonly writeIds: readonly string[]
}

/** One key of an update. `prior` is the version that the writer saw; undefined means that it saw none. */
export interface Change {
  readonly key: string
  readonly prior: Versioned | undefined
  /** The new document; undefined deletes the key. */
  readonly value: unknown
  readonly leaseId?: string
}

/** The service with retries, budget, breaker and lost replies resolved. */
export interface Store {
  /** @returns the document, or undefined when the key is absent */
  get (key: string, opts?: { signal?: AbortSignal }): Promise<Result<Versioned | undefined, StoreError>>
  /** @returns all documents whose keys start with the prefix, at one revision */
  list (prefix: string, opts?: { minModRevision?: number, signal?: AbortSignal }): Promise<Result<{ revision: number, count: number, docs: Versioned[] }, StoreError>>
  /**
   * Writes all changes or none, by compare-and-swap.
   * @returns the revision of the write
   */
  update (changes: readonly Change[], opts?: { guards?: readonly Guard[], signal?: AbortSignal }): Promise<Result<number, StoreError>>
  grantLease (ttlMs: number, signal: AbortSignal): Promise<Result<string, StoreError>>
  keepAlive (leaseId: string, signal: AbortSignal): Promise<Result<void, StoreError>>
  revokeLease (leaseId: string, signal: AbortSignal): Promise<Result<void, StoreError>>
  watch (prefix: string, fromRevision: number, onBatch: (batch: WatchBatch) => void, signal: AbortSignal): Promise<StoreError>
  /** @returns whether the breaker lets calls through */
  available (): boolean
}
