import { randomUUID } from 'node:crypto'
import { backoff, err, ok, delay, systemClock, withTimeout, type Clock, type Result } from '@wisteriaslip/core.result'
import type { Metrics } from '@wisteriaslip/core.metrics'
import { CircuitBreaker } from './breaker.ts'
import { CallBudget } from './call-budget.ts'
import { decodeEnvelope, encodeEnvelope, MAX_WRITE_IDS } from './envelope.ts'
import { toStoreError, type DriverError, type StoreError } from './errors.ts'
import type { CallOpts, Change, DocumentList, Driver, DriverTxn, Guard, RangeOpts, RawKeyValue, Store, Versioned, WatchBatch } from './types.ts'

const CALL_TIMEOUT_MS = 800
const MAX_ATTEMPTS = 4
const RETRY_BASE_DELAY_MS = 40
const RETRY_MAX_DELAY_MS = 400

/** Options of {@link StoreClient}. */
export interface StoreClientOpts {
  /** Budget of reads, in calls per second. */
  readonly readsPerSecond: number
  /** Budget of writes, in calls per second. */
  readonly writesPerSecond: number
  readonly metrics: Metrics
  readonly clock?: Clock
  /** Makes the ids of writes; random UUIDs by default. */
  readonly newId?: () => string
  /** Timeout of one attempt, in milliseconds; for reads, without a part of the response. */
  readonly callTimeoutMs?: number
}

type CallKind = 'read' | 'write' | 'lease' | 'watch'

/**
 * Store client on top of a driver. A call that exceeds its timeout counts as failed. The outcome of a write whose reply
 * was lost is determined from the write ids that are stored with each value. Leases are renewed even while the circuit
 * breaker is open: a lease that is not renewed in time takes everything with it that the entry leads.
 */
export class StoreClient implements Store {
  private readonly driver: Driver
  private readonly opts: StoreClientOpts
  private readonly breaker: CircuitBreaker
  private readonly reads: CallBudget
  private readonly writes: CallBudget
  private readonly newId: () => string

  constructor (driver: Driver, opts: StoreClientOpts) {
    const clock = opts.clock ?? systemClock
    this.driver = driver
    this.opts = opts
    this.breaker = new CircuitBreaker(clock)
    this.reads = new CallBudget(opts.readsPerSecond, clock)
    this.writes = new CallBudget(opts.writesPerSecond, clock)
    this.newId = opts.newId ?? randomUUID
  }

  available (): boolean {
    return this.breaker.isClosed()
  }

  async get (key: string, opts: CallOpts = {}): Promise<Result<Versioned | undefined, StoreError>> {
    const range = await this.read(key, opts)
    if (!range.ok) return range
    const kv = range.value.kvs[0]
    return kv === undefined ? ok(undefined) : decodeOne(kv)
  }

  async list (prefix: string, opts: { minModRevision?: number, signal?: AbortSignal } = {}): Promise<Result<DocumentList, StoreError>> {
    const range = await this.read(prefix, { ...opts, prefix: true })
    if (!range.ok) return range
    const docs: Versioned[] = []
    const undecodable: string[] = []
    for (const kv of range.value.kvs) {
      const doc = decodeEnvelope(kv)
      if (doc === undefined) undecodable.push(kv.key)
      else docs.push(doc)
    }
    return ok({ revision: range.value.revision, count: range.value.count, docs, undecodable })
  }

  async update (changes: readonly Change[], opts: CallOpts & { guards?: readonly Guard[] } = {}): Promise<Result<number, StoreError>> {
    const writeId = this.newId()
    const txn = toTxn(changes, opts.guards ?? [], writeId)
    let replyLost = false
    let lastError: StoreError = unavailable('no attempt was made', false)
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (attempt > 0 && !await this.waitBeforeRetry(attempt, opts.signal)) break
      const response = await this.call('write', opts.signal, signal => this.driver.txn(txn, signal), opts)
      if (response.ok && response.value.succeeded) return ok(response.value.revision)
      if (response.ok) return replyLost ? await this.resolveLostWrite(changes, writeId, opts.signal) : err(conflict())
      lastError = response.error
      if (lastError.kind !== 'unavailable') break
      replyLost = replyLost || lastError.maybeApplied
    }
    return err(replyLost ? unavailable('no reply to a write; it may have been applied', true) : lastError)
  }

  async grantLease (ttlMs: number, signal: AbortSignal): Promise<Result<string, StoreError>> {
    return await this.call('lease', signal, inner => this.driver.grantLease(ttlMs, inner))
  }

  async keepAlive (leaseId: string, signal: AbortSignal): Promise<Result<void, StoreError>> {
    return await this.call('lease', signal, inner => this.driver.keepAlive(leaseId, inner), { evenWhileOpen: true })
  }

  async revokeLease (leaseId: string, signal: AbortSignal): Promise<Result<void, StoreError>> {
    return await this.call('lease', signal, inner => this.driver.revokeLease(leaseId, inner))
  }

  async watch (prefix: string, fromRevision: number, onBatch: (batch: WatchBatch) => void, signal: AbortSignal): Promise<StoreError> {
    if (!this.breaker.allowCall()) return unavailable('circuit breaker is open', false)
    this.opts.metrics.count('store_calls_total', { kind: 'watch' })
    const ended = await this.driver.watch(prefix, fromRevision, onBatch, signal)
    return toStoreError(ended, { write: false })
  }

  /**
   * After a lost reply, a failed guard may be caused by an earlier attempt of this same update that did take effect. The
   * write ids stored with the value tell the two cases apart.
   */
  private async resolveLostWrite (changes: readonly Change[], writeId: string, signal: AbortSignal | undefined): Promise<Result<number, StoreError>> {
    const written = changes.find(change => change.value !== undefined)
    if (written === undefined) return err(unavailable('cannot determine whether the delete took effect', true))
    const current = await this.get(written.key, { signal })
    if (!current.ok) return err(unavailable('cannot determine whether the write took effect', true))
    if (current.value?.writeIds.includes(writeId) === true) return ok(current.value.modRevision)
    if (current.value === undefined || !historyCovers(current.value, written.prior)) return err(unavailable('cannot determine whether the write took effect', true))
    return err(conflict())
  }

  private async read (key: string, { forCaller, ...opts }: RangeOpts & CallOpts) {
    let lastError: StoreError = unavailable('no attempt was made', false)
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (attempt > 0 && !await this.waitBeforeRetry(attempt, opts.signal)) break
      const response = await this.call('read', opts.signal, (signal, onProgress) => this.driver.range(key, { ...opts, signal, onProgress }), { forCaller })
      if (response.ok) return response
      lastError = response.error
      if (lastError.kind !== 'unavailable') break
    }
    return err(lastError)
  }

  private async waitBeforeRetry (attempt: number, signal: AbortSignal | undefined): Promise<boolean> {
    if (!this.breaker.isClosed()) return false
    const ms = backoff(attempt - 1, { baseMs: RETRY_BASE_DELAY_MS, capMs: RETRY_MAX_DELAY_MS })
    return await delay(ms, signal ?? new AbortController().signal)
  }

  private async call<T> (kind: CallKind, signal: AbortSignal | undefined, run: (signal: AbortSignal, onProgress: () => void) => Promise<Result<T, DriverError>>, opts: { evenWhileOpen?: boolean, forCaller?: boolean | undefined } = {}): Promise<Result<T, StoreError>> {
    if (opts.evenWhileOpen !== true && !this.breaker.allowCall()) return err(unavailable('circuit breaker is open', false))
    if (!this.takeFromBudget(kind, opts)) return err(overBudget(kind))
    this.opts.metrics.count('store_calls_total', { kind })
    const response = await withTimeout(this.opts.callTimeoutMs ?? CALL_TIMEOUT_MS, signal, run)
    if (response.ok) {
      this.breaker.succeeded()
      return response
    }
    if (response.error.kind === 'lost' || response.error.code === 'overloaded') this.breaker.failed()
    this.opts.metrics.count('store_failures_total', { kind })
    return err(toStoreError(response.error, { write: kind === 'write' }))
  }

  private takeFromBudget (kind: CallKind, opts: { forCaller?: boolean | undefined }): boolean {
    if (kind === 'read') return this.reads.tryTake(opts)
    if (kind === 'write') return this.writes.tryTake(opts)
    return true
  }
}

function toTxn (changes: readonly Change[], guards: readonly Guard[], writeId: string): DriverTxn {
  const priorGuards = changes.map(change => ({ key: change.key, modRevision: change.prior?.modRevision ?? 0 }))
  const written = changes.filter(change => change.value !== undefined)
  return {
    guards: [...guards, ...priorGuards],
    puts: written.map(change => ({
      key: change.key,
      value: encodeEnvelope(change.value, writeId, change.prior),
      ...(change.leaseId === undefined ? {} : { leaseId: change.leaseId })
    })),
    deletes: changes.filter(change => change.value === undefined).map(change => change.key)
  }
}

/** Whether the stored write ids reach back to `prior`, so that a missing write id proves that the write had no effect. */
function historyCovers (current: Versioned, prior: Versioned | undefined): boolean {
  if (prior === undefined) return current.writeIds.length < MAX_WRITE_IDS
  const priorWriteId = prior.writeIds[0]
  return priorWriteId !== undefined && current.writeIds.includes(priorWriteId)
}

function decodeOne (kv: RawKeyValue): Result<Versioned, StoreError> {
  const doc = decodeEnvelope(kv)
  if (doc !== undefined) return ok(doc)
  return err({ kind: 'corrupt', code: 'STORE_CORRUPT', message: `value of key ${kv.key} cannot be decoded` })
}

function conflict (): StoreError {
  return { kind: 'conflict', code: 'STORE_CONFLICT', message: 'a key was changed concurrently, or a guard no longer holds' }
}

function unavailable (message: string, maybeApplied: boolean): StoreError {
  return { kind: 'unavailable', code: 'STORE_UNAVAILABLE', maybeApplied, message }
}

function overBudget (kind: string): StoreError {
  return { kind: 'over-budget', code: 'STORE_OVER_BUDGET', message: `call budget for ${kind} calls is exhausted` }
}
