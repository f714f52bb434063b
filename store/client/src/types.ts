import type { Result } from '@wisteriaslip/core.result'
import type { DriverError, StoreError } from './errors.ts'

/** A key-value pair as stored by the service, with its revisions. */
export interface RawKeyValue {
  readonly key: string
  readonly value: string
  readonly createRevision: number
  readonly modRevision: number
}

/** Precondition of a transaction on one key. Revision 0 means that the key must not exist. */
export interface Guard {
  readonly key: string
  readonly modRevision?: number
  readonly createRevision?: number
}

/** A transaction: all puts and deletes are applied if every guard holds, otherwise none. */
export interface DriverTxn {
  readonly guards: readonly Guard[]
  readonly puts: ReadonlyArray<{ readonly key: string, readonly value: string, readonly leaseId?: string }>
  readonly deletes: readonly string[]
}

/** Key-value pairs read at one revision. `count` is the number of keys in the range, including filtered ones. */
export interface KeyRange {
  readonly revision: number
  readonly count: number
  readonly kvs: readonly RawKeyValue[]
}

/** Options of a read. */
export interface RangeOpts {
  /** Treats the key as a prefix and reads all keys that start with it. */
  readonly prefix?: boolean
  /** Omits keys that were last modified before this revision. */
  readonly minModRevision?: number
  readonly signal?: AbortSignal
  /** Called whenever a part of the response arrives: a long response on a slow link is not an unresponsive store. */
  readonly onProgress?: () => void
}

/** Options of a watch. */
export interface WatchOpts {
  /** Changes within this time, in milliseconds, may be delivered in one batch. */
  readonly batchWindowMs?: number
}

/** Changes delivered by a watch, in order of revision. */
export interface WatchBatch {
  readonly revision: number
  readonly changed: readonly RawKeyValue[]
  readonly deleted: ReadonlyArray<{ readonly key: string, readonly modRevision: number }>
}

/** Adapter for the protocol of a key-value service. Each method makes a single attempt, without retries. */
export interface Driver {
  range (key: string, opts: RangeOpts): Promise<Result<KeyRange, DriverError>>
  txn (txn: DriverTxn, signal: AbortSignal): Promise<Result<{ succeeded: boolean, revision: number }, DriverError>>
  /** @returns the id of a lease that expires `ttlMs` milliseconds after its last keep-alive */
  grantLease (ttlMs: number, signal: AbortSignal): Promise<Result<string, DriverError>>
  keepAlive (leaseId: string, signal: AbortSignal): Promise<Result<void, DriverError>>
  revokeLease (leaseId: string, signal: AbortSignal): Promise<Result<void, DriverError>>
  /**
   * Watches all keys that start with the prefix, until the signal aborts or the stream ends.
   * @returns why the watch ended
   */
  watch (prefix: string, fromRevision: number, onBatch: (batch: WatchBatch) => void, signal: AbortSignal, opts?: WatchOpts): Promise<DriverError>
}

/** A document with its revisions and the ids of its latest writes, newest first. */
export interface Versioned<T = unknown> {
  readonly key: string
  readonly value: T
  readonly createRevision: number
  readonly modRevision: number
  readonly writeIds: readonly string[]
}

/** Change of one key in an update. `prior` is the version that the change is based on; undefined when there was none. */
export interface Change {
  readonly key: string
  readonly prior: Versioned | undefined
  /** The new document; undefined deletes the key. */
  readonly value: unknown
  readonly leaseId?: string
}

/** Options of a call of {@link Store}. */
export interface CallOpts {
  readonly signal?: AbortSignal | undefined
  /** The call is made for a caller's request: it leaves a part of the budget to the entry's own calls. */
  readonly forCaller?: boolean | undefined
}

/** Documents whose keys start with a prefix, read at one revision. */
export interface DocumentList {
  readonly revision: number
  /** Number of all keys with the prefix, whatever their values. */
  readonly count: number
  readonly docs: Versioned[]
  /** Listed keys whose values cannot be decoded. */
  readonly undecodable: string[]
}

/** The key-value service with retries, call budgets, a circuit breaker and resolution of lost replies. */
export interface Store {
  /** @returns the document, or undefined when the key is absent */
  get (key: string, opts?: CallOpts): Promise<Result<Versioned | undefined, StoreError>>
  /** @returns all documents whose keys start with the prefix, read at one revision */
  list (prefix: string, opts?: { minModRevision?: number, signal?: AbortSignal }): Promise<Result<DocumentList, StoreError>>
  /**
   * Applies all changes or none, if no key changed since its `prior` version and all guards hold.
   * @returns the revision of the write; a `conflict` error when a key or guard does not match
   */
  update (changes: readonly Change[], opts?: CallOpts & { guards?: readonly Guard[] }): Promise<Result<number, StoreError>>
  grantLease (ttlMs: number, signal: AbortSignal): Promise<Result<string, StoreError>>
  keepAlive (leaseId: string, signal: AbortSignal): Promise<Result<void, StoreError>>
  revokeLease (leaseId: string, signal: AbortSignal): Promise<Result<void, StoreError>>
  watch (prefix: string, fromRevision: number, onBatch: (batch: WatchBatch) => void, signal: AbortSignal): Promise<StoreError>
  /** @returns whether the circuit breaker is closed */
  available (): boolean
}
