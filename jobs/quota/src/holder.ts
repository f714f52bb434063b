import { delay, linkAbort, Wakeup, type Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { Metrics } from '@wisteriaslip/core.metrics'
import type { Account, Resources } from '@wisteriaslip/jobs.model'
import type { Scheduler, StartLimiter } from '@wisteriaslip/jobs.scheduler'
import { splitChanges, toVersioned, type Change, type Guard, type Store, type StoreError, type WatchBatch } from '@wisteriaslip/store.client'
import { DueAccounts } from './due-accounts.ts'
import { QuotaLimiter } from './limiter.ts'
import { collectWaiting, type WaitingWork } from './needs.ts'
import { planPart, withPart, type Need, type Part, type QuotaRecord } from './parts.ts'
import { QuotaBook } from './quota-book.ts'
import { hasRoomFor, isSame, isWithin, least, most, nothing, plus } from './resources.ts'
import { UseMetrics } from './use-metrics.ts'
import { WriteOrder } from './write-order.ts'

/** Interval at which parts are looked at although no task was refused. */
const CHECK_INTERVAL_MS = 250
/** Demand that comes together goes into one write. */
const MIN_GAP_MS = 30
/** Writes that a service may send in a row after a pause. */
const MAX_WRITES_IN_A_ROW = 8
/** Writes of a service per second in the long run. */
const WRITES_PER_S = 8
/** What an account has not used for as long goes back. */
const IDLE_MS = 10_000
/** Pause before a failed read or watch is repeated; interval of reads while the watch fails. */
const READ_RETRY_MS = 200
/** A watch that has shown nothing for as long may be dead. */
const PROBE_MS = 2_000
/** A step that conflicts reads what has changed and tries again at once, this often. */
const MAX_RETRIES = 3

/** Options of {@link QuotaHolder}. */
export interface QuotaHolderOpts {
  readonly service: string
  readonly token: number
  /** Store condition that is true while this entry leads the service in this term. */
  readonly guard: Guard
  readonly store: Store
  /** Key prefix of the records. */
  readonly prefix: string
  /** @returns the account in the newest configuration, undefined if it has none of this name */
  readonly account: (name: string) => Account | undefined
  /** @returns whether an account in the newest configuration has a quota */
  readonly hasQuotas: () => boolean
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  /** Called when more tasks may be started. */
  readonly onChange: () => void
}

interface PartChange {
  readonly account: string
  readonly from: Resources
  readonly part: Part
  readonly isStarved: boolean
  readonly change: Change & { readonly value: QuotaRecord }
}

/**
 * Holds a service's parts of the accounts' quotas: raises them where tasks wait, notes demand that it can't meet, and gives back what
 * others lack, under the revision of each record and only while this entry leads the service. Reads and writes nothing while
 * no account has a quota.
 */
export class QuotaHolder {
  readonly book: QuotaBook
  private readonly limits: QuotaLimiter
  private readonly opts: QuotaHolderOpts
  private readonly wakeup = new Wakeup()
  private readonly useMetrics: UseMetrics
  private readonly order: WriteOrder
  private readonly due = new DueAccounts(CHECK_INTERVAL_MS)
  private readonly busyAt = new Map<string, number>()
  private isNeeded = false
  private readRevision = 0
  private mustRead = true
  /** Time of the last read or batch of the watch, by the injected clock. */
  private heardAt: number
  /** When the watch ended, until it shows something again. */
  private watchFailedAt: number | undefined
  private batches = 0
  private endWatch = (): void => {}
  private changesPerWrite = Infinity
  private writesLeft = MAX_WRITES_IN_A_ROW
  private writesCountedAt: number
  private failure: string | undefined
  private isStoreAway = false

  constructor (opts: QuotaHolderOpts) {
    this.opts = opts
    this.writesCountedAt = opts.clock.now()
    this.heardAt = opts.clock.now()
    this.book = new QuotaBook(opts.service, opts.prefix)
    this.order = new WriteOrder(opts.service)
    this.limits = new QuotaLimiter({ service: opts.service, clock: opts.clock, account: opts.account, book: this.book, onNeed: account => this.noteNeed(account) })
    this.useMetrics = new UseMetrics(opts, account => ({ use: this.limits.use(account).tracked, part: this.book.given(account) }))
  }

  /** Says which tasks may be started. */
  get limiter (): StartLimiter {
    return this.limits
  }

  /**
   * Reads, watches and changes the parts until the signal aborts.
   * @param scheduler - scheduler of the term
   * @param signal - ends the term
   */
  async run (scheduler: Scheduler, signal: AbortSignal): Promise<void> {
    try {
      while (!this.isNeeded && !this.opts.hasQuotas() && await this.wakeup.sleep(CHECK_INTERVAL_MS, signal));
      if (!signal.aborted) await Promise.all([this.changeParts(scheduler, signal), this.watch(signal)])
    } finally {
      this.useMetrics.end()
    }
  }

  /**
   * Reads the records if they must be read, and writes the parts that should change.
   * @param scheduler - scheduler of the term
   * @param signal - ends the term
   */
  async step (scheduler: Scheduler, signal?: AbortSignal): Promise<void> {
    if (this.mustRead && !await this.readAll(signal)) return
    // Determined anew for each write: what is in use may have changed during the one before.
    for (let isMoreLeft = true, retries = 0; isMoreLeft && this.mayWrite();) {
      const all = this.collectChanges(scheduler)
      const changes = splitChanges(all, { commonGuards: 1 })[0]?.slice(0, this.changesPerWrite)
      if (changes === undefined) return
      this.writesLeft -= 1
      const outcome = await this.write(changes, signal)
      if (outcome === 'conflict') retries += 1
      isMoreLeft = outcome === 'conflict' ? retries <= MAX_RETRIES && await this.readChanges(signal) !== undefined : outcome === 'written' && all.length > changes.length
    }
  }

  private noteNeed (account: string): void {
    this.due.mark(account)
    this.isNeeded = true
    this.wakeup.wake()
  }

  private async changeParts (scheduler: Scheduler, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.mustRead && this.isReadDue()) await this.probe(signal)
      await this.step(scheduler, signal)
      if (this.mustRead) await delay(READ_RETRY_MS, signal)
      else if (await delay(MIN_GAP_MS, signal)) await this.wakeup.sleep(CHECK_INTERVAL_MS, signal)
    }
  }

  private async watch (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.mustRead) await this.watchOnce(signal)
      await delay(READ_RETRY_MS, signal)
    }
  }

  private async watchOnce (signal: AbortSignal): Promise<void> {
    const { store, prefix, clock } = this.opts
    const link = linkAbort(signal)
    this.endWatch = () => link.abort()
    const ended = await store.watch(prefix, this.readRevision + 1, batch => this.applyBatch(batch), link.signal)
    link.release()
    if (ended.kind === 'compacted') this.mustRead = true
    this.watchFailedAt = clock.now()
    this.wakeup.wake()
  }

  private applyBatch (batch: WatchBatch): void {
    const { raises } = this.book
    this.heardAt = this.opts.clock.now()
    this.watchFailedAt = undefined
    this.batches += 1
    this.readRevision = Math.max(this.readRevision, batch.revision)
    for (const kv of batch.changed) if (this.book.apply(kv)) this.logUnreadable(kv.key)
    for (const { key, modRevision } of batch.deleted) this.book.applyRemoval(key, modRevision)
    this.noteChange({ isRaised: this.book.raises > raises })
  }

  /** Without a watch, as the store may be reached through peers only, changes are read often; with a silent one now and then. */
  private isReadDue (): boolean {
    return this.opts.clock.now() - this.heardAt >= (this.isWatchFailing() ? READ_RETRY_MS : PROBE_MS)
  }

  private isWatchFailing (): boolean {
    return this.watchFailedAt !== undefined && this.opts.clock.now() - this.watchFailedAt < PROBE_MS
  }

  /** Reads what the watch has not shown, and opens another one if it has missed something. */
  private async probe (signal: AbortSignal): Promise<void> {
    const { batches } = this
    const found = await this.readChanges(signal) ?? 0
    if (found > 0 && !this.isWatchFailing() && this.batches === batches) this.endWatch()
  }

  /** Reads all records. */
  private async readAll (signal: AbortSignal | undefined): Promise<boolean> {
    const { store, prefix } = this.opts
    const all = await store.list(prefix, signal === undefined ? {} : { signal })
    this.noteOutcome(all.ok ? undefined : all.error)
    if (!all.ok) return false
    const { docs, undecodable, revision } = all.value
    const found = new Set([...docs.map(doc => doc.key), ...undecodable])
    for (const doc of docs) if (this.book.applyDoc(doc)) this.logUnreadable(doc.key)
    for (const key of undecodable) if (this.book.apply({ key, value: '', createRevision: 0, modRevision: revision })) this.logUnreadable(key)
    for (const account of this.book.accounts()) if (!found.has(this.book.key(account))) this.book.applyRemoval(this.book.key(account), revision)
    this.readRevision = revision
    this.heardAt = this.opts.clock.now()
    this.book.isRead = true
    this.mustRead = false
    this.noteChange({ isRaised: true })
    return true
  }

  /** Wakes the holder; the scheduler only if the service may use more. */
  private noteChange ({ isRaised }: { isRaised: boolean }): void {
    this.wakeup.wake()
    if (isRaised) this.opts.onChange()
  }

  private collectChanges (scheduler: Scheduler): PartChange[] {
    const now = this.opts.clock.now()
    const state = (account: string) => ({ revision: this.book.entry(account)?.revision ?? 0, use: this.limits.use(account).tracked })
    for (const account of this.book.takeChanged()) this.due.mark(account)
    const accounts = this.due.take(() => new Set([...this.limits.accounts(), ...this.book.accounts()]), now, state)
    if (accounts.length === 0) return []
    const waiting = collectWaiting(scheduler, this.limits, now)
    const changes: PartChange[] = []
    for (const account of accounts) {
      const change = this.nextChange(account, waiting.get(account), now)
      if (change !== undefined) changes.push(change)
      this.due.noteLook(account, { isDue: change !== undefined, isWaiting: waiting.has(account), state: state(account) })
    }
    return this.order.sort(changes)
  }

  private nextChange (account: string, waiting: WaitingWork | undefined, now: number): PartChange | undefined {
    const inForce = this.limits.quota(account)
    const entry = this.book.entry(account)
    if (typeof inForce === 'string' || entry?.unreadable === true) {
      this.book.hold(account, undefined)
      return undefined
    }
    const { quota, limits } = inForce
    const from = this.book.given(account)
    this.useMetrics.observe(account)
    const need = this.needOf(account, from, { waiting, now })
    const known = entry?.record?.parts[this.opts.service]
    const plan = planPart(entry?.record, this.opts.service, { limits, need })
    this.book.hold(account, this.isStoreAway || isWithin(from, plan.target) ? undefined : plan.target)
    const part = plan.part ?? (this.book.isLowering(account) ? known ?? { given: nothing } : undefined)
    if (part === undefined) return undefined
    const value = withPart(entry?.record, this.opts.service, { part, quota })
    return { account, from, part, isStarved: waiting !== undefined && isSame(this.limits.use(account).tracked, nothing), change: { key: this.book.key(account), prior: entry?.version, value } }
  }

  /** The part is not lowered below what may be in progress or is to go on, and not raised for runs that the term only cannot rule out. */
  private needOf (account: string, given: Resources, { waiting, now }: { waiting: WaitingWork | undefined, now: number }): Need {
    const { tracked, most: upTo } = this.limits.use(account)
    const inUse = most(tracked, least(given, upTo))
    const kept = least(given, plus(inUse, waiting?.returning ?? nothing))
    const atOnce = waiting?.atOnce ?? nothing
    this.limits.noteClaim(account, !isSame(atOnce, nothing) && hasRoomFor(inUse, atOnce, given))
    if (waiting !== undefined || !isSame(upTo, nothing) || !this.busyAt.has(account)) this.busyAt.set(account, now)
    return {
      inUse: most(inUse, kept),
      total: plus(inUse, waiting?.demand ?? nothing),
      totalWithoutRoom: plus(inUse, waiting?.all ?? nothing),
      atOnce,
      smallest: waiting?.smallest ?? nothing,
      idle: now - (this.busyAt.get(account) ?? now) >= IDLE_MS,
      progressed: this.limits.hasProgressed(account)
    }
  }

  /** Whether the service has not written too often of late. */
  private mayWrite (): boolean {
    const now = this.opts.clock.now()
    this.writesLeft = Math.min(MAX_WRITES_IN_A_ROW, this.writesLeft + (now - this.writesCountedAt) / 1_000 * WRITES_PER_S)
    this.writesCountedAt = now
    return this.writesLeft >= 1
  }

  /**
   * Writes parts, after what the entry must write. One that is lowered is kept to from the moment of sending, also if there is no response.
   */
  private async write (changes: readonly PartChange[], signal: AbortSignal | undefined): Promise<'written' | 'conflict' | 'failed'> {
    const { store, guard } = this.opts
    const isLower = ({ from, part }: PartChange): boolean => !isWithin(from, part.given)
    const lowerings = changes.filter(isLower).map(({ account, part }) => ({ account, given: part.given, before: this.book.lowering(account) }))
    for (const { account, given } of lowerings) this.book.lower(account, given)
    const written = await store.update(changes.map(({ change }) => change), { guards: [guard], signal, forCaller: true })
    this.noteOutcome(written.ok ? undefined : written.error)
    if (written.ok) {
      for (const { change } of changes) this.book.applyDoc(toVersioned(change, written.value))
      for (const { account } of changes) this.limits.forgetProgress(account)
      for (const { account } of changes) this.order.noteWrite(account, this.opts.clock.now())
      this.changesPerWrite *= 2
      this.log(changes)
      this.noteChange({ isRaised: true })
      return 'written'
    }
    this.changesPerWrite = Math.max(1, Math.floor(Math.min(changes.length, this.changesPerWrite) / 2))
    const maybeApplied = written.error.kind === 'unavailable' && written.error.maybeApplied
    if (!maybeApplied) for (const { account, before } of lowerings) this.book.restoreLowering(account, before)
    if (maybeApplied) this.mustRead = true
    // One that others change all the time does not hold up the rest.
    if (changes.length === 1) for (const { account } of changes) this.order.noteWrite(account, this.opts.clock.now())
    this.wakeup.wake()
    return written.error.kind === 'conflict' ? 'conflict' : 'failed'
  }

  /**
   * Reads what the watch may not have shown yet.
   * @returns how many records have changed, undefined if all must be read
   */
  private async readChanges (signal: AbortSignal | undefined): Promise<number | undefined> {
    const { store, prefix } = this.opts
    const found = await store.list(prefix, { minModRevision: this.readRevision + 1, ...(signal === undefined ? {} : { signal }) })
    this.noteOutcome(found.ok ? undefined : found.error)
    if (!found.ok || found.value.undecodable.length > 0) this.mustRead = true
    this.heardAt = this.opts.clock.now()
    if (!found.ok) return undefined
    const { docs, count, revision } = found.value
    const { raises } = this.book
    for (const doc of docs) if (this.book.applyDoc(doc)) this.logUnreadable(doc.key)
    // Removals are not listed.
    if (this.book.stored() > count) this.mustRead = true
    this.readRevision = Math.max(this.readRevision, revision)
    this.noteChange({ isRaised: this.book.raises > raises })
    return this.mustRead ? undefined : docs.length
  }

  /** One line for each write, of 15 parts at most. */
  private log (changes: readonly PartChange[]): void {
    const { service, token, logger, metrics } = this.opts
    metrics.count('quota_writes_total', { service })
    const parts = changes.map(({ account, from, part: { given, wants } }) => ({ account, from, to: given, ...(wants === undefined ? {} : { wants: wants.total }) }))
    logger.info({ service, token, parts }, 'parts of quotas changed')
  }

  private logUnreadable (key: string): void {
    this.opts.logger.error({ service: this.opts.service, key }, 'record of a quota cannot be read: its part stays as it is, and nobody changes it')
  }

  /** Logs when writes and reads begin to fail, and when they succeed again. Conflicts are none. */
  private noteOutcome (error: StoreError | undefined): void {
    const { service, token, logger, metrics } = this.opts
    if (error !== undefined) metrics.count('quota_failures_total', { service, code: error.code })
    const code = error?.kind === 'conflict' ? undefined : error?.code
    if (code === this.failure) return
    if (code === undefined) logger.info({ service, token }, 'parts of quotas can be changed again')
    else logger.warn({ service, token, code }, 'parts of quotas cannot be changed: tasks start within those that are confirmed')
    this.failure = code
    this.isStoreAway = error?.kind === 'unavailable'
    // What is left to others could not be given back.
    if (this.isStoreAway && this.book.releaseHolds()) this.opts.onChange()
  }
}
