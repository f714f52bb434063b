import { randomUUID } from 'node:crypto'
import { backoff, err, ok, delay, systemClock, withTimeout, type Clock, type Result } from '@wisteriaslip/core.result'
import type { Metrics } from '@wisteriaslip/core.metrics'
import { Breaker } from './breaker.ts'
import { CallBudget } from './budget.ts'
import { decodeEnvelope, encodeEnvelope, REMEMBERED_WRITES } from './envelope.ts'
import { fromDriver, type DriverError, type StoreError } from './errors.ts'
import type { Change, Driver, DriverTxn, Guard, RangeOpts, RawKeyValue, Store, Versioned, WatchBatch } from './types.ts'

const CALL_TIMEOUT_MS = 800
const TRIES = 4
const RETRY_BASE_MS = 40
const RETRY_CAP_MS = 400

/** Options of the store client. */
export interface StoreClientOpts {
  readonly readsPerSecond: number
  readonly writesPerSecond: number
  readonly metrics: Metrics
  readonly clock?: Clock
  readonly callTimeoutMs?: number
}

type Kind = 'read' | 'write' | 'lease' | 'watch'

/** Store over a driver. A call that is late counts as failed; what a late write did is found out by its write id. */
export class StoreClient implements Store {
  private readonly driver: Driver
  private readonly opts: StoreClientOpts
  private readonly breaker: Breaker
  private readonly reads: CallBudget
  private readonly writes: CallBudget

  constructor (driver: Driver, opts: StoreClientOpts) {
    const clock = opts.clock ?? systemClock
    this.driver = driver
    this.opts = opts
    this.breaker = new Breaker(clock)
    this.reads = new CallBudget(opts.readsPerSecond, clock)
    this.writes = new CallBudget(opts.writesPerSecond, clock)
  }

  available (): boolean {
    return this.breaker.closed()
  }

  async get (key: string, opts: { signal?: AbortSignal } = {}): Promise<Result<Versioned | undefined, StoreError>> {
    const range = await this.read(key, opts)
    if (!range.ok) return range
    const kv = range.value.kvs[0]
    return kv === undefined ? ok(undefined) : decodeOne(kv)
  }

  async list (prefix: string, opts: { minModRevision?: number, signal?: AbortSignal } = {}): Promise<Result<{ revision: number, count: number, docs: Versioned[] }, StoreError>> {
    const range = await this.read(prefix, { ...opts, prefix: true })
    if (!range.ok) return range
    const docs: Versioned[] = []
    for (const kv of range.value.kvs) {
      const doc = decodeEnvelope(kv)
      if (doc !== undefined) docs.push(doc)
    }
    return ok({ revision: range.value.revision, count: range.value.count, docs })
  }

  async update (changes: readonly Change[], opts: { guards?: readonly Guard[], signal?: AbortSignal } = {}): Promise<Result<number, StoreError>> {
    const writeId = randomUUID()
    const txn = toTxn(changes, opts.guards ?? [], writeId)
    let lost = false
    let last: StoreError = unavailable('not tried', false)
    for (let attempt = 0; attempt < TRIES; attempt++) {
      if (attempt > 0 && !await this.rest(attempt, opts.signal)) break
      const tried = await this.call('write', opts.signal, signal => this.driver.txn(txn, signal))
      if (tried.ok && tried.value.succeeded) return ok(tried.value.revision)
      if (tried.ok) return lost ? await this.resolve(changes, writeId, opts.signal) : err(conflict())
      last = tried.error
      if (last.kind !== 'unavailable') return err(last)
      lost = lost || last.maybeApplied
    }
    return err(lost ? unavailable('no answer to a write', true) : last)
  }

  async grantLease (ttlMs: number, signal: AbortSignal): Promise<Result<string, StoreError>> {
    return await this.call('lease', signal, inner => this.driver.grantLease(ttlMs, inner))
  }

  async keepAlive (leaseId: string, signal: AbortSignal): Promise<Result<void, StoreError>> {
    return await this.call('lease', signal, inner => this.driver.keepAlive(leaseId, inner))
  }

  async revokeLease (leaseId: string, signal: AbortSignal): Promise<Result<void, StoreError>> {
    return await this.call('lease', signal, inner => this.driver.revokeLease(leaseId, inner))
  }

  async watch (prefix: string, fromRevision: number, onBatch: (batch: WatchBatch) => void, signal: AbortSignal): Promise<StoreError> {
    if (!this.breaker.enter()) return unavailable('breaker open', false)
    this.opts.metrics.count('store_calls_total', { kind: 'watch' })
    const ended = await this.driver.watch(prefix, fromRevision, onBatch, signal)
    return fromDriver(ended, { write: false })
  }

  /** After a lost reply a failed comparison may be our own earlier try: the write id tells. */
  private async resolve (changes: readonly Change[], writeId: string, signal: AbortSignal | undefined): Promise<Result<number, StoreError>> {
    const written = changes.find(change => change.value !== undefined)
    if (written === undefined) return err(unavailable('cannot tell whether the delete took effect', true))
    const now = await this.get(written.key, { signal })
    if (!now.ok) return err(unavailable('cannot tell whether the write took effect', true))
    if (now.value?.writeIds.includes(writeId) === true) return ok(now.value.modRevision)
    if (now.value === undefined || !coversSince(now.value, written.prior)) return err(unavailable('cannot tell whether the write took effect', true))
    return err(conflict())
  }

  private async read (key: string, opts: RangeOpts) {
    let last: StoreError = unavailable('not tried', false)
    for (let attempt = 0; attempt < TRIES; attempt++) {
      if (attempt > 0 && !await this.rest(attempt, opts.signal)) break
      const tried = await this.call('read', opts.signal, signal => this.driver.range(key, { ...opts, signal }))
      if (tried.ok) return tried
      last = tried.error
      if (last.kind !== 'unavailable') break
    }
    return err(last)
  }

  private async rest (attempt: number, signal: AbortSignal | undefined): Promise<boolean> {
    if (!this.breaker.closed()) return false
    const ms = backoff(attempt - 1, { baseMs: RETRY_BASE_MS, capMs: RETRY_CAP_MS })
    return await delay(ms, signal ?? new AbortController().signal)
  }

  private async call<T> (kind: Kind, signal: AbortSignal | undefined, run: (signal: AbortSignal) => Promise<Result<T, DriverError>>): Promise<Result<T, StoreError>> {
    if (!this.breaker.enter()) return err(unavailable('breaker open', false))
    if (!this.withinBudget(kind)) return err(overBudget(kind))
    this.opts.metrics.count('store_calls_total', { kind })
    const answer = await withTimeout(this.opts.callTimeoutMs ?? CALL_TIMEOUT_MS, signal, run)
    if (answer.ok) {
      this.breaker.succeeded()
      return answer
    }
    if (answer.error.kind === 'lost' || answer.error.code === 'overloaded') this.breaker.failed()
    this.opts.metrics.count('store_failures_total', { kind })
    return err(fromDriver(answer.error, { write: kind === 'write' }))
  }

  private withinBudget (kind: Kind): boolean {
    if (kind === 'read') return this.reads.take()
    if (kind === 'write') return this.writes.take()
    return true
  }
}

function toTxn (changes: readonly Change[], guards: readonly Guard[], writeId: string): DriverTxn {
  const seen = changes.map(change => ({ key: change.key, modRevision: change.prior?.modRevision ?? 0 }))
  const written = changes.filter(change => change.value !== undefined)
  return {
    guards: [...guards, ...seen],
    puts: written.map(change => ({
      key: change.key,
      value: encodeEnvelope(change.value, writeId, change.prior),
      ...(change.leaseId === undefined ? {} : { leaseId: change.leaseId })
    })),
    deletes: changes.filter(change => change.value === undefined).map(change => change.key)
  }
}

/** Whether the remembered write ids reach back to the version that the writer saw, so that a missing id proves no effect. */
function coversSince (now: Versioned, prior: Versioned | undefined): boolean {
  if (prior === undefined) return now.writeIds.length < REMEMBERED_WRITES
  const seen = prior.writeIds[0]
  return seen !== undefined && now.writeIds.includes(seen)
}

function decodeOne (kv: RawKeyValue): Result<Versioned, StoreError> {
  const doc = decodeEnvelope(kv)
  if (doc !== undefined) return ok(doc)
  return err({ kind: 'corrupt', code: 'STORE_CORRUPT', message: `value of ${kv.key} is not readable` })
}

function conflict (): StoreError {
  return { kind: 'conflict', code: 'STORE_CONFLICT', message: 'a key changed since it was read' }
}

function unavailable (message: string, maybeApplied: boolean): StoreError {
  return { kind: 'unavailable', code: 'STORE_UNAVAILABLE', maybeApplied, message }
}

function overBudget (kind: string): StoreError {
  return { kind: 'over-budget', code: 'STORE_OVER_BUDGET', message: `no ${kind} calls left in this second` }
}
