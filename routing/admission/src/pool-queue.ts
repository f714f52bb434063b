import type { Clock } from '@wisteriaslip/core.result'
import type { ClassDoc } from '@wisteriaslip/config.documents'
import type { Demand } from '@wisteriaslip/routing.slots'
import { ClassQueue, type Waiting } from './class-queue.ts'
import { FloorCredits } from './floor-credits.ts'
import { ServiceTimes } from './service-times.ts'

/** Most entries of the demand list; what is left over is summed up under the last tenant of each class. */
const MAX_DEMANDS = 48
const SWEEP_MS = 50
const RETRY_AFTER_CAP_MS = 30_000

/** Why a request was refused. None of them ran. */
export type Refusal =
  | { readonly kind: 'deadline', readonly code: 'DEADLINE_PASSED', readonly retryAfterMs: number }
  | { readonly kind: 'too-long', readonly code: 'WAIT_TOO_LONG', readonly retryAfterMs: number }
  | { readonly kind: 'queue-full', readonly code: 'QUEUE_FULL', readonly retryAfterMs: number }
  | { readonly kind: 'cancelled', readonly code: 'CALLER_GONE', readonly retryAfterMs: number }

/** A slot for the request, or a refusal. */
export type Admission<S> =
  | { readonly ok: true, readonly slot: S, done (): void }
  | { readonly ok: false, readonly refusal: Refusal }

/** A request that asks for a slot. */
export interface QueueRequest {
  readonly class: string
  readonly tenant: string
  /** When its caller stops waiting, by the queue's clock. */
  readonly deadlineAt: number
  /** Size of what is held in memory for it. */
  readonly bytes: number
  readonly signal: AbortSignal
}

/** Options of a pool's queue. */
export interface PoolQueueOpts<S> {
  readonly clock: Clock
  readonly classes: () => ReadonlyMap<string, Pick<ClassDoc, 'name' | 'rank' | 'floor'>>
  readonly quota: (tenant: string) => number
  /** Takes a free slot. */
  readonly acquire: () => S | undefined
  /** Slots held now, by which floors and waiting times are reckoned. */
  readonly slotsHeld: () => number
  readonly maxQueuedBytes: number
  /** Told when requests are left waiting for lack of a slot. */
  readonly onStarved: () => void
}

interface Entry<S> extends Waiting {
  readonly request: QueueRequest
  settle (admission: Admission<S>): void
}

/** Queue of one pool inside an entry. */
export class PoolQueue<S extends { release (): void }> {
  private readonly opts: PoolQueueOpts<S>
  private readonly queues = new Map<string, ClassQueue<Entry<S>>>()
  private readonly running = new Map<string, Map<string, number>>()
  private readonly times = new ServiceTimes()
  private readonly credits: FloorCredits
  private bytes = 0
  private sweptAt: number

  constructor (opts: PoolQueueOpts<S>) {
    this.opts = opts
    this.credits = new FloorCredits(opts.clock, this.times)
    this.sweptAt = opts.clock.now()
  }

  /**
   * Waits for a slot. The caller must call `done` on an admission when the work has ended.
   * @param request - what asks
   * @returns the slot, or why none can be had in time
   */
  async admit (request: QueueRequest): Promise<Admission<S>> {
    const refusal = this.refuseAtOnce(request)
    if (refusal !== undefined) return { ok: false, refusal }
    return await new Promise(resolve => this.enqueue(request, resolve))
  }

  /** Hands out slots to waiting requests as long as there are any, and refuses those whose deadline has passed. */
  dispatch (): void {
    this.earnCredits()
    this.sweep()
    while (this.waiting() > 0) {
      const slot = this.opts.acquire()
      if (slot === undefined) {
        this.opts.onStarved()
        return
      }
      if (!this.serve(slot)) {
        slot.release()
        return
      }
    }
  }

  /** @returns how many requests wait */
  waiting (): number {
    let count = 0
    for (const queue of this.queues.values()) count += queue.size()
    return count
  }

  /**
   * @param maxRank - classes up to this rank count
   * @returns how many of them wait
   */
  waitingUpToRank (maxRank: number): number {
    let count = 0
    for (const [name, queue] of this.queues) {
      if (this.rank(name) <= maxRank) count += queue.size()
    }
    return count
  }

  /** @returns work running and waiting, by class and tenant */
  demand (): Demand[] {
    const out: Demand[] = []
    const names = new Set([...this.queues.keys(), ...this.running.keys()])
    for (const name of names) {
      const queue = this.queues.get(name)
      const tenants = new Set([...(queue?.tenants() ?? []), ...(this.running.get(name)?.keys() ?? [])])
      for (const tenant of tenants) {
        const count = (queue?.sizeOf(tenant) ?? 0) + this.runningOf(name, tenant)
        if (count > 0) out.push({ class: name, tenant, count })
      }
    }
    return out.length <= MAX_DEMANDS ? out : sumUp(out)
  }

  private refuseAtOnce (request: QueueRequest): Refusal | undefined {
    const now = this.opts.clock.now()
    const estimate = this.times.estimate(request.class)
    if (request.deadlineAt <= now) return { kind: 'deadline', code: 'DEADLINE_PASSED', retryAfterMs: estimate }
    if (this.bytes + request.bytes > this.opts.maxQueuedBytes) return { kind: 'queue-full', code: 'QUEUE_FULL', retryAfterMs: this.expectedWait(request) }
    const wait = this.expectedWait(request)
    if (now + wait > request.deadlineAt) return { kind: 'too-long', code: 'WAIT_TOO_LONG', retryAfterMs: Math.min(wait, RETRY_AFTER_CAP_MS) }
    return undefined
  }

  /** Time until the tenant's share of the slots has worked off what it already has waiting in this class. */
  private expectedWait (request: QueueRequest): number {
    const queue = this.queues.get(request.class)
    const ahead = queue?.sizeOf(request.tenant) ?? 0
    if (ahead === 0) return 0
    const rivals = new Set([...(queue?.tenants() ?? []), request.tenant])
    const weights = [...rivals].reduce((sum, tenant) => sum + this.opts.quota(tenant), 0)
    const share = this.opts.quota(request.tenant) / weights
    const slots = Math.max(1, this.opts.slotsHeld())
    return ahead * this.times.estimate(request.class) / (slots * share)
  }

  private enqueue (request: QueueRequest, resolve: (admission: Admission<S>) => void): void {
    const entry: Entry<S> = {
      request,
      tenant: request.tenant,
      deadlineAt: request.deadlineAt,
      bytes: request.bytes,
      settle: admission => {
        this.bytes -= request.bytes
        request.signal.removeEventListener('abort', onAbort)
        resolve(admission)
      }
    }
    const onAbort = (): void => {
      if (this.queue(request.class).remove(entry)) entry.settle(refused('cancelled', 'CALLER_GONE', 0))
    }
    this.bytes += request.bytes
    request.signal.addEventListener('abort', onAbort, { once: true })
    this.queue(request.class).push(entry)
    this.dispatch()
  }

  private serve (slot: S): boolean {
    const name = this.nextClass()
    if (name === undefined) return false
    const estimate = this.times.estimate(name)
    const entry = this.queue(name).shift(estimate)
    if (entry === undefined) return false
    this.credits.spend(name, estimate)
    this.addRunning(name, entry.tenant, 1)
    const startedAt = this.opts.clock.now()
    let ended = false
    const done = (): void => {
      if (ended) return
      ended = true
      this.finish(name, entry.tenant, this.opts.clock.now() - startedAt, estimate)
      slot.release()
    }
    entry.settle({ ok: true, slot, done })
    return true
  }

  private finish (name: string, tenant: string, tookMs: number, estimate: number): void {
    this.addRunning(name, tenant, -1)
    this.times.record(name, tookMs)
    this.queue(name).correct(tenant, tookMs - estimate)
    this.credits.spend(name, tookMs - estimate)
  }

  /** A class that is owed floor time goes first, else the most urgent one. */
  private nextClass (): string | undefined {
    let urgent: string | undefined
    let owed: string | undefined
    for (const [name, queue] of this.queues) {
      if (queue.size() === 0) continue
      if (urgent === undefined || this.rank(name) < this.rank(urgent)) urgent = name
      const credit = this.credits.of(name)
      if (credit > 0 && (owed === undefined || this.rank(name) < this.rank(owed))) owed = name
    }
    return owed ?? urgent
  }

  private earnCredits (): void {
    const classes = [...this.opts.classes().values()].map(({ name, floor }) => ({ name, floor, waits: (this.queues.get(name)?.size() ?? 0) > 0 }))
    this.credits.earn(classes, this.opts.slotsHeld())
  }

  private sweep (): void {
    const now = this.opts.clock.now()
    if (now - this.sweptAt < SWEEP_MS) return
    this.sweptAt = now
    for (const [name, queue] of this.queues) {
      for (let head = queue.expired(now); head !== undefined; head = queue.expired(now)) {
        queue.remove(head)
        head.settle(refused('deadline', 'DEADLINE_PASSED', this.times.estimate(name)))
      }
    }
  }

  private queue (name: string): ClassQueue<Entry<S>> {
    const known = this.queues.get(name)
    if (known !== undefined) return known
    const queue = new ClassQueue<Entry<S>>(this.opts.quota)
    this.queues.set(name, queue)
    return queue
  }

  private rank (name: string): number {
    return this.opts.classes().get(name)?.rank ?? Number.MAX_SAFE_INTEGER
  }

  private runningOf (name: string, tenant: string): number {
    return this.running.get(name)?.get(tenant) ?? 0
  }

  private addRunning (name: string, tenant: string, change: number): void {
    const tenants = this.running.get(name) ?? new Map<string, number>()
    this.running.set(name, tenants)
    const count = (tenants.get(tenant) ?? 0) + change
    if (count > 0) tenants.set(tenant, count)
    else tenants.delete(tenant)
  }
}

function refused<S> (kind: 'deadline' | 'cancelled', code: 'DEADLINE_PASSED' | 'CALLER_GONE', retryAfterMs: number): Admission<S> {
  return { ok: false, refusal: { kind, code, retryAfterMs } as Refusal }
}

function sumUp (demands: readonly Demand[]): Demand[] {
  const ordered = [...demands].sort((a, b) => b.count - a.count)
  const kept = ordered.slice(0, MAX_DEMANDS)
  for (const extra of ordered.slice(MAX_DEMANDS)) {
    const index = kept.findIndex(each => each.class === extra.class)
    const into = kept[index]
    if (into === undefined) kept.push(extra)
    else kept[index] = { ...into, count: into.count + extra.count }
  }
  return kept
}
