import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { Driver, DriverError, DriverTxn, RawKeyValue, WatchBatch } from '@wisteriaslip/store.client'
import type { VirtualProcess } from '@wisteriaslip/testing.jobs'
import { MemoryItems } from '@wisteriaslip/testing.stand-ins'
import type { Draw } from './draw.ts'
import { callFromEntry } from './entry-call.ts'
import type { EntryLink, LinkCut } from './entry-link.ts'
import { VirtualLeases } from './virtual-leases.ts'

/** How long a message is under way, in milliseconds. */
const NETWORK_MS = { least: 1, spread: 3 }
/** A poll of a watch is answered after this long without a change; its caller gives it up a little later. */
const POLL_WAIT_MS = 1_000
const POLL_TIMEOUT_MS = 1_700
const BATCH_WINDOW_MS = 20
/** When a call without a response is carried out, if it is. */
const LATE_CALL_MS = { least: 500, spread: 4_500 }
const HISTORY_MS = 20_000

const lost = (message: string): DriverError => ({ kind: 'lost', message })
const overloaded: DriverError = { kind: 'refused', code: 'overloaded', message: 'busy' }
const unknownLease: DriverError = { kind: 'refused', code: 'lease-not-found', message: 'no such lease' }
const compacted: DriverError = { kind: 'refused', code: 'compacted', message: 'history is forgotten' }

/** What the store does while it is down: nothing, refuse all calls, or reset their connections. */
export type StoreOutage = 'silent' | 'busy' | 'reset'

/** Faults of a {@link VirtualStore}; they are looked at whenever a call arrives. */
export interface StoreFaults {
  down: StoreOutage | undefined
  /** Ids of the entries whose calls are refused. */
  readonly refusedEntries: Set<string>
  /** Each answer is late by up to this, in milliseconds. */
  slowMs: number
  /** Of each hundred transactions, this many are carried out without an answer. */
  unansweredPercent: number
  /** Of each hundred transactions, this many are carried out late, without an answer. */
  latePercent: number
  /** Changes become visible to watches this late at most, in milliseconds. */
  watchLagMs: number
}

interface WaitingPoll {
  readonly prefix: string
  readonly answer: () => void
  readonly reset: () => void
}

type Respond<T> = (response: Result<T, DriverError>) => void

/** A key-value store in memory with leases and watches, on a virtual clock. */
export class VirtualStore {
  readonly faults: StoreFaults = { down: undefined, refusedEntries: new Set(), slowMs: 0, unansweredPercent: 0, latePercent: 0, watchLagMs: 0 }
  private readonly process: VirtualProcess
  private readonly draw: Draw
  private readonly items = new MemoryItems()
  private readonly leases: VirtualLeases
  private readonly polls = new Set<WaitingPoll>()
  /** Times of the changes that are not forgotten. */
  private readonly commits: Array<{ readonly revision: number, readonly at: number }> = []
  /** Entries by the leases that they hold. */
  private readonly holders = new Map<string, string>()

  /**
   * @param process - gives the time
   * @param draw - decides about delays and faults
   */
  constructor (process: VirtualProcess, draw: Draw) {
    this.process = process
    this.draw = draw
    this.leases = new VirtualLeases(process, keys => this.remove(keys))
    this.items.onCommit = batch => this.publish(batch)
  }

  /**
   * Ends an outage, or begins one.
   * @param down - what the store does meanwhile; undefined if it is up
   * @param opts - whether leases expire while it is down, rather than pause
   */
  setDown (down: StoreOutage | undefined, opts: { leasesExpire?: boolean } = {}): void {
    this.faults.down = down
    this.leases.setPaused(down !== undefined && opts.leasesExpire !== true)
    if (down === 'reset') for (const poll of [...this.polls]) poll.reset()
  }

  /** Forgets all history. */
  compact (): void {
    this.items.compact(this.items.currentRevision())
  }

  /**
   * Ends leases of entries at once, with their keys.
   * @param entry - id of the entry, undefined for all entries
   */
  revokeLeases (entry?: string): void {
    for (const [lease, holder] of [...this.holders]) if (entry === undefined || holder === entry) this.endLease(lease)
  }

  /**
   * Writes a key for somebody else than an entry.
   * @param key - key to write
   * @param value - its value
   * @param leaseMs - the key vanishes unless it is written again within this time; undefined if it stays
   * @returns whether the store has accepted it
   */
  put (key: string, value: string, leaseMs?: number): boolean {
    if (this.faults.down !== undefined) return false
    const leaseId = leaseMs === undefined ? undefined : `of ${key}`
    if (leaseId !== undefined && !this.leases.keep(leaseId)) this.leases.grant(leaseMs ?? 0, leaseId)
    return this.apply({ guards: [], puts: [{ key, value, ...leaseId === undefined ? {} : { leaseId } }], deletes: [] }).ok
  }

  /**
   * Deletes a key for somebody else than an entry.
   * @param key - key to delete
   * @returns whether the store has accepted it
   */
  delete (key: string): boolean {
    if (this.faults.down !== undefined) return false
    this.remove([key])
    return true
  }

  /**
   * @param key - key to read
   * @returns its value, undefined if it does not exist
   */
  get (key: string): string | undefined {
    return this.items.range(key, {}).kvs[0]?.value
  }

  /**
   * @param prefix - prefix of the keys to read
   * @returns the pairs as they are now
   */
  list (prefix: string): readonly RawKeyValue[] {
    return this.items.range(prefix, { prefix: true }).kvs
  }

  /**
   * @param link - connections of an entry
   * @returns the store as that entry reaches it
   */
  driver (link: EntryLink): Driver {
    return {
      range: async (key, opts) => await this.call(link, opts.signal, respond => respond(ok(this.items.range(key, opts)))),
      txn: async (txn, signal) => await this.call(link, signal, respond => this.handleTxn(txn, respond)),
      grantLease: async (ttlMs, signal) => await this.call(link, signal, respond => {
        const lease = this.leases.grant(ttlMs)
        this.holders.set(lease, link.entry)
        respond(ok(lease))
      }),
      keepAlive: async (leaseId, signal) => await this.call(link, signal, respond => respond(this.leases.keep(leaseId) ? ok(undefined) : err(unknownLease))),
      revokeLease: async (leaseId, signal) => await this.call(link, signal, respond => respond(this.endLease(leaseId) ? ok(undefined) : err(unknownLease))),
      watch: async (prefix, fromRevision, onBatch, signal, opts) => await this.watch(link, { prefix, fromRevision, windowMs: opts?.batchWindowMs ?? BATCH_WINDOW_MS }, onBatch, signal)
    }
  }

  private handleTxn (txn: DriverTxn, respond: Respond<{ succeeded: boolean, revision: number }>): void {
    const fate = this.draw(100)
    if (fate < this.faults.latePercent) {
      this.process.outsideAfter(LATE_CALL_MS.least + this.draw(LATE_CALL_MS.spread), () => { if (this.faults.down === undefined) this.apply(txn) })
      return
    }
    const applied = this.apply(txn)
    if (fate >= this.faults.latePercent + this.faults.unansweredPercent) respond(applied)
  }

  private apply (txn: DriverTxn): Result<{ succeeded: boolean, revision: number }, DriverError> {
    if (txn.puts.some(({ leaseId }) => leaseId !== undefined && !this.leases.has(leaseId))) return err(unknownLease)
    const applied = this.items.apply(txn)
    if (!applied.ok || !applied.value.succeeded) return applied
    for (const { key, leaseId } of txn.puts) this.leases.attach(key, leaseId)
    for (const key of txn.deletes) this.leases.attach(key, undefined)
    return applied
  }

  private remove (keys: readonly string[]): void {
    if (keys.some(key => this.get(key) !== undefined)) this.apply({ guards: [], puts: [], deletes: keys })
  }

  private endLease (leaseId: string): boolean {
    this.holders.delete(leaseId)
    return this.leases.end(leaseId)
  }

  /** Lets waiting polls of the changed keys be answered. */
  private publish ({ revision, changed, deleted }: WatchBatch): void {
    this.commits.push({ revision, at: this.process.now() })
    while (this.commits[0] !== undefined && this.commits[0].at < this.process.now() - HISTORY_MS) this.items.compact(this.commits.shift()?.revision ?? 0)
    const concerned = [...this.polls].filter(({ prefix }) => [...changed, ...deleted].some(({ key }) => key.startsWith(prefix)))
    if (this.faults.watchLagMs === 0) for (const poll of concerned) poll.answer()
    else for (const poll of concerned) this.process.outsideAfter(this.draw(this.faults.watchLagMs), poll.answer)
  }

  private async watch (link: EntryLink, { prefix, fromRevision, windowMs }: { prefix: string, fromRevision: number, windowMs: number }, onBatch: (batch: WatchBatch) => void, signal: AbortSignal): Promise<DriverError> {
    let after = fromRevision - 1
    while (!signal.aborted) {
      const page = await this.call<WatchBatch>(link, signal, (respond, onReset) => this.poll(prefix, after, respond, onReset), POLL_TIMEOUT_MS)
      if (!page.ok) return page.error
      after = Math.max(after, page.value.revision)
      onBatch(page.value)
      if (page.value.changed.length + page.value.deleted.length > 0) await this.pause(link, windowMs)
    }
    return lost('ended')
  }

  private poll (prefix: string, after: number, respond: Respond<WatchBatch>, reset: () => void): void {
    const answer = (): void => {
      if (!this.polls.delete(poll)) return
      const batches = this.items.changesFrom(prefix, after + 1)
      if (batches === undefined) return respond(err(compacted))
      respond(ok({ revision: this.items.currentRevision(), changed: latest(batches.flatMap(({ changed }) => changed)), deleted: batches.flatMap(({ deleted }) => deleted) }))
    }
    const poll: WaitingPoll = { prefix, answer, reset: () => { if (this.polls.delete(poll)) reset() } }
    this.polls.add(poll)
    const changes = this.items.changesFrom(prefix, after + 1)
    if (changes === undefined || (changes.length > 0 && this.faults.watchLagMs === 0)) answer()
    else this.process.outsideAfter(changes.length > 0 ? this.draw(this.faults.watchLagMs) : POLL_WAIT_MS, answer)
  }

  private async pause (link: EntryLink, ms: number): Promise<void> {
    await new Promise<void>(resolve => this.process.outsideAfter(ms, () => link.deliver(resolve)))
  }

  private async call<T> (link: EntryLink, signal: AbortSignal | undefined, carryOut: (respond: Respond<T>, reset: () => void) => void, timeoutMs?: number): Promise<Result<T, DriverError>> {
    const { process, faults } = this
    const cut = (): LinkCut | undefined => faults.down === 'reset' || faults.down === 'silent' ? faults.down : link.storeCut
    return await callFromEntry<Result<T, DriverError>>({ process, link, signal, timeoutMs, cut, delayMs: () => this.drawDelay(link), lost: message => err(lost(message)) }, (respond, reset) => {
      if (faults.down === 'busy' || faults.refusedEntries.has(link.entry)) respond(err(overloaded))
      else carryOut(response => process.outsideAfter(this.draw(faults.slowMs + 1), () => respond(response)), reset)
    })
  }

  private drawDelay (link: EntryLink): number {
    return NETWORK_MS.least + this.draw(NETWORK_MS.spread) + this.draw(link.maxLatenessMs + 1)
  }
}

/** @returns the latest of the pairs of each key */
function latest<T extends { readonly key: string }> (pairs: readonly T[]): T[] {
  return [...new Map(pairs.map(pair => [pair.key, pair])).values()]
}
