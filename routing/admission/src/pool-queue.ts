import type { Clock } from '@wisteriaslip/core.result'
import type { ClassDoc } from '@wisteriaslip/config.documents'
import type { Demand } from '@wisteriaslip/routing.slots'
import { ClassQueue, type QueueItem } from './class-queue.ts'
import { FloorCredits } from './floor-credits.ts'
import { ServiceTimes } from './service-times.ts'

/**
 * Number of the largest items kept in the demand list. The others are added to the largest item of the same class, or to
 * one more item if none of that class was kept.
 */
const MAX_DEMAND_ITEMS = 48
/** Minimum time between two scans for requests whose deadline has passed. */
const DEADLINE_SCAN_INTERVAL_MS = 50
const MAX_RETRY_AFTER_MS = 30_000

/** Why a request was refused. A refused request has not run. */
export type Refusal =
  | { readonly kind: 'deadline', readonly code: 'DEADLINE_PASSED', readonly retryAfterMs: number }
  | { readonly kind: 'too-long', readonly code: 'WAIT_TOO_LONG', readonly retryAfterMs: number }
  | { readonly kind: 'queue-full', readonly code: 'QUEUE_FULL', readonly retryAfterMs: number }
  | { readonly kind: 'cancelled', readonly code: 'CALLER_GONE', readonly retryAfterMs: number }

/** The slot for an admitted request, or a refusal. */
export type Admission<S> =
  | { readonly ok: true, readonly slot: S, done (): void }
  | { readonly ok: false, readonly refusal: Refusal }

/** A request for a slot. */
export interface QueueRequest {
  readonly class: string
  readonly tenant: string
  /** When the caller stops waiting, in milliseconds by the queue's clock. */
  readonly deadlineAt: number
  /** Memory used by the request while it waits. */
  readonly bytes: number
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal
}

/** Options of a pool's queue. */
export interface PoolQueueOpts<S> {
  readonly clock: Clock
  readonly classes: () => ReadonlyMap<string, Pick<ClassDoc, 'name' | 'rank' | 'floor'>>
  readonly quota: (tenant: string) => number
  /** Acquires a free slot, or returns undefined if there is none. */
  readonly acquire: () => S | undefined
  /** Number of slots held now, from which guaranteed shares and expected waiting times are computed. */
  readonly slotsHeld: () => number
  readonly maxQueuedBytes: number
  /** Called when requests keep waiting because no slot is free. */
  readonly onStarved: () => void
}

interface Waiter<S> extends QueueItem {
  readonly request: QueueRequest
  settle (admission: Admission<S>): void
}

/** Queue of the requests of one pool at an entry. */
export class PoolQueue<S extends { release (): void }> {
  private readonly opts: PoolQueueOpts<S>
  private readonly queues = new Map<string, ClassQueue<Waiter<S>>>()
  private readonly running = new Map<string, Map<string, number>>()
  private readonly serviceTimes = new ServiceTimes()
  private readonly credits: FloorCredits
  private queuedBytes = 0
  private lastScanAt: number

  constructor (opts: PoolQueueOpts<S>) {
    this.opts = opts
    this.credits = new FloorCredits(opts.clock, this.serviceTimes)
    this.lastScanAt = opts.clock.now()
  }

  /**
   * Waits for a slot. If the request is admitted, `done` must be called when it has ended.
   * @param request - the request
   * @returns the slot, or the reason why the request is refused
   */
  async admit (request: QueueRequest): Promise<Admission<S>> {
    const refusal = this.checkRefusal(request)
    if (refusal !== undefined) return { ok: false, refusal }
    return await new Promise(resolve => this.enqueue(request, resolve))
  }

  /** Refuses requests whose deadline has passed, and assigns free slots to waiting requests. */
  dispatch (): void {
    this.accrueCredits()
    this.expireWaiting()
    while (this.waiting() > 0) {
      const slot = this.opts.acquire()
      if (slot === undefined) {
        this.opts.onStarved()
        return
      }
      if (!this.assignSlot(slot)) {
        slot.release()
        return
      }
    }
  }

  /** @returns number of waiting requests */
  waiting (): number {
    let count = 0
    for (const queue of this.queues.values()) count += queue.size()
    return count
  }

  /**
   * @param maxRank - highest rank that is counted
   * @returns number of waiting requests in classes up to that rank
   */
  waitingUpToRank (maxRank: number): number {
    let count = 0
    for (const [name, queue] of this.queues) {
      if (this.rank(name) <= maxRank) count += queue.size()
    }
    return count
  }

  /** @returns number of running and waiting requests by class and client account */
  demand (): Demand[] {
    const out: Demand[] = []
    const classNames = new Set([...this.queues.keys(), ...this.running.keys()])
    for (const name of classNames) {
      const queue = this.queues.get(name)
      const accounts = new Set([...(queue?.waitingAccounts() ?? []), ...(this.running.get(name)?.keys() ?? [])])
      for (const tenant of accounts) {
        const count = (queue?.sizeOf(tenant) ?? 0) + this.runningCount(name, tenant)
        if (count > 0) out.push({ class: name, tenant, count })
      }
    }
    return out.length <= MAX_DEMAND_ITEMS ? out : mergeExcessDemand(out)
  }

  private checkRefusal (request: QueueRequest): Refusal | undefined {
    const now = this.opts.clock.now()
    const meanServiceMs = this.serviceTimes.estimate(request.class)
    if (request.deadlineAt <= now) return { kind: 'deadline', code: 'DEADLINE_PASSED', retryAfterMs: meanServiceMs }
    if (this.queuedBytes + request.bytes > this.opts.maxQueuedBytes) return { kind: 'queue-full', code: 'QUEUE_FULL', retryAfterMs: this.expectedWaitMs(request) }
    const waitMs = this.expectedWaitMs(request)
    if (now + waitMs > request.deadlineAt) return { kind: 'too-long', code: 'WAIT_TOO_LONG', retryAfterMs: Math.min(waitMs, MAX_RETRY_AFTER_MS) }
    return undefined
  }

  /** Expected time until the client account's share of the slots has served the requests that it already has waiting in this class. */
  private expectedWaitMs (request: QueueRequest): number {
    const queue = this.queues.get(request.class)
    const queuedAhead = queue?.sizeOf(request.tenant) ?? 0
    if (queuedAhead === 0) return 0
    const competingAccounts = new Set([...(queue?.waitingAccounts() ?? []), request.tenant])
    const totalQuota = [...competingAccounts].reduce((sum, tenant) => sum + this.opts.quota(tenant), 0)
    const share = this.opts.quota(request.tenant) / totalQuota
    const slots = Math.max(1, this.opts.slotsHeld())
    return queuedAhead * this.serviceTimes.estimate(request.class) / (slots * share)
  }

  private enqueue (request: QueueRequest, resolve: (admission: Admission<S>) => void): void {
    const waiter: Waiter<S> = {
      request,
      tenant: request.tenant,
      deadlineAt: request.deadlineAt,
      bytes: request.bytes,
      settle: admission => {
        this.queuedBytes -= request.bytes
        request.signal.removeEventListener('abort', onAbort)
        resolve(admission)
      }
    }
    const onAbort = (): void => {
      if (this.queue(request.class).remove(waiter)) waiter.settle(refusedAdmission('cancelled', 'CALLER_GONE', 0))
    }
    this.queuedBytes += request.bytes
    request.signal.addEventListener('abort', onAbort, { once: true })
    this.queue(request.class).push(waiter)
    this.dispatch()
  }

  private assignSlot (slot: S): boolean {
    const name = this.nextClass()
    if (name === undefined) return false
    const meanServiceMs = this.serviceTimes.estimate(name)
    const waiter = this.queue(name).shift(meanServiceMs)
    if (waiter === undefined) return false
    this.credits.charge(name, meanServiceMs)
    this.adjustRunning(name, waiter.tenant, 1)
    const startedAt = this.opts.clock.now()
    let ended = false
    const done = (): void => {
      if (ended) return
      ended = true
      this.recordCompletion(name, waiter.tenant, this.opts.clock.now() - startedAt, meanServiceMs)
      slot.release()
    }
    waiter.settle({ ok: true, slot, done })
    return true
  }

  private recordCompletion (name: string, tenant: string, tookMs: number, meanServiceMs: number): void {
    this.adjustRunning(name, tenant, -1)
    this.serviceTimes.record(name, tookMs)
    this.queue(name).correctCharge(tenant, tookMs - meanServiceMs)
    this.credits.charge(name, tookMs - meanServiceMs)
  }

  /** Selects the class to serve: the lowest rank among waiting classes with credit, or else the lowest rank of all waiting classes. */
  private nextClass (): string | undefined {
    let lowestRank: string | undefined
    let lowestRankWithCredit: string | undefined
    for (const [name, queue] of this.queues) {
      if (queue.size() === 0) continue
      if (lowestRank === undefined || this.rank(name) < this.rank(lowestRank)) lowestRank = name
      const creditMs = this.credits.creditMs(name)
      if (creditMs > 0 && (lowestRankWithCredit === undefined || this.rank(name) < this.rank(lowestRankWithCredit))) lowestRankWithCredit = name
    }
    return lowestRankWithCredit ?? lowestRank
  }

  private accrueCredits (): void {
    const classes = [...this.opts.classes().values()].map(({ name, floor }) => ({ name, floor, hasWaiting: (this.queues.get(name)?.size() ?? 0) > 0 }))
    this.credits.accrue(classes, this.opts.slotsHeld())
  }

  private expireWaiting (): void {
    const now = this.opts.clock.now()
    if (now - this.lastScanAt < DEADLINE_SCAN_INTERVAL_MS) return
    this.lastScanAt = now
    for (const [name, queue] of this.queues) {
      for (let expired = queue.findExpired(now); expired !== undefined; expired = queue.findExpired(now)) {
        queue.remove(expired)
        expired.settle(refusedAdmission('deadline', 'DEADLINE_PASSED', this.serviceTimes.estimate(name)))
      }
    }
  }

  private queue (name: string): ClassQueue<Waiter<S>> {
    const existing = this.queues.get(name)
    if (existing !== undefined) return existing
    const queue = new ClassQueue<Waiter<S>>(this.opts.quota)
    this.queues.set(name, queue)
    return queue
  }

  private rank (name: string): number {
    return this.opts.classes().get(name)?.rank ?? Number.MAX_SAFE_INTEGER
  }

  private runningCount (name: string, tenant: string): number {
    return this.running.get(name)?.get(tenant) ?? 0
  }

  private adjustRunning (name: string, tenant: string, change: number): void {
    const countByAccount = this.running.get(name) ?? new Map<string, number>()
    this.running.set(name, countByAccount)
    const count = (countByAccount.get(tenant) ?? 0) + change
    if (count > 0) countByAccount.set(tenant, count)
    else countByAccount.delete(tenant)
  }
}

function refusedAdmission<S> (kind: 'deadline' | 'cancelled', code: 'DEADLINE_PASSED' | 'CALLER_GONE', retryAfterMs: number): Admission<S> {
  return { ok: false, refusal: { kind, code, retryAfterMs } as Refusal }
}

function mergeExcessDemand (demands: readonly Demand[]): Demand[] {
  const byCount = [...demands].sort((a, b) => b.count - a.count)
  const kept = byCount.slice(0, MAX_DEMAND_ITEMS)
  for (const excess of byCount.slice(MAX_DEMAND_ITEMS)) {
    const index = kept.findIndex(each => each.class === excess.class)
    const sameClass = kept[index]
    if (sameClass === undefined) kept.push(excess)
    else kept[index] = { ...sameClass, count: sameClass.count + excess.count }
  }
  return kept
}
