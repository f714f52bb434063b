import type { Account, Job, Resources } from '@wisteriaslip/jobs.model'
import { UNKNOWN_ACCOUNT_WAIT_MS, type LimitFigures, type Run, type StartLimiter, type TrackedStep } from '@wisteriaslip/jobs.scheduler'
import type { Clock } from '@wisteriaslip/core.result'
import { AccountUse } from './account-use.ts'
import { givenToOthers } from './parts.ts'
import type { QuotaBook } from './quota-book.ts'
import { each, hasRoomFor, isSame, limitsOf, minus, nothing, plus, times } from './resources.ts'

/** A turn that is not used for as long goes to the next service. */
const UNUSED_TURN_MS = 1_000

/** Options of {@link QuotaLimiter}. */
export interface QuotaLimiterOpts {
  readonly service: string
  readonly clock: Clock
  /** @returns the account in the newest configuration, undefined if it has none of this name */
  readonly account: (name: string) => Account | undefined
  readonly book: QuotaBook
  /** Called when a record is needed, or a part was too small. */
  readonly onNeed: (account: string) => void
}

interface AccountState {
  readonly use: AccountUse
  /** The account has steps whose processor time does not count against the capacity of workers. */
  hasBackfill: boolean
  /** Its turn is over: a task was started since the part was last written, or the turn passed unused. */
  progressed: boolean
  /** Since when a task has waited although the part is enough for the largest that has room, by the injected clock; undefined if none does. */
  claimedSince: number | undefined
  /** When the account was first looked for in vain, by the injected clock. */
  missingSince: number | undefined
  /** What was computed from this quota and state of the book. */
  cached: { readonly quota: Resources, readonly limits: Resources | undefined, readonly bookChanges: number, readonly usable: Resources, readonly confirmed: Resources } | undefined
}

/** The quota that applies to an account: `none` if nothing is limited, `unknown` while it may yet turn out to have one. */
export type QuotaInForce = { readonly quota: Resources, readonly limits: Resources } | 'none' | 'unknown'

/** Lets a service start what is within its parts of the accounts' quotas. */
export class QuotaLimiter implements StartLimiter {
  private readonly opts: QuotaLimiterOpts
  private readonly states = new Map<string, AccountState>()
  /** What runs that the term does not know may take; infinite until the first pass has computed it. */
  private unknown: Resources = each(() => Infinity)
  private hasUnknown = true

  constructor (opts: QuotaLimiterOpts) {
    this.opts = opts
  }

  beginPass (unknown: () => Resources): void {
    if (this.states.size === 0) return
    this.unknown = unknown()
    this.hasUnknown = !isSame(this.unknown, nothing)
  }

  mayAdd (step: TrackedStep, runs: number): boolean {
    const name = step.job.job.account
    if (name === undefined) return true
    const state = this.stateOf(name)
    const usable = this.usableOf(name, state, { isLasting: step.spec.lasting })
    if (usable === 'none') return true
    const demand = runs === 1 ? step.spec.demand : times(step.spec.demand, runs)
    const fits = usable !== 'unknown' && (runs === 0 ? hasRoomFor(this.inUseOf(state), step.spec.demand, plus(usable, step.spec.demand)) : hasRoomFor(this.inUseOf(state), demand, usable))
    if (!fits) this.opts.onNeed(name)
    return fits
  }

  noteJob (job: Job): void {
    if (job.account === undefined || !job.steps.some(({ backfill }) => backfill)) return
    this.stateOf(job.account).hasBackfill = true
  }

  noteRun (run: Run): void {
    const name = run.task.step.job.job.account
    if (name === undefined) return
    const state = this.stateOf(name)
    state.use.add(run)
    if (run.phase !== 'sending') return
    state.progressed = true
    state.claimedSince = undefined
  }

  forgetRun (run: Run): void {
    const name = run.task.step.job.job.account
    if (name !== undefined) this.states.get(name)?.use.remove(run)
  }

  countWaiting (): (step: TrackedStep) => number {
    const left = new Map<string, Resources>()
    return step => {
      const name = step.job.job.account
      const { demand } = step.spec
      if (name === undefined || step.waiting === 0) return step.waiting
      const room = left.get(name) ?? this.growthOf(name)
      const places = Math.floor(Math.min(...(['cpu', 'memMb', 'accelerators'] as const).map(dimension => demand[dimension] === 0 ? Infinity : room[dimension] / demand[dimension])))
      const counted = step.spec.gang && places < step.waiting ? 0 : Math.min(step.waiting, places)
      left.set(name, counted === 0 ? room : minus(room, times(demand, counted)))
      return counted
    }
  }

  mayGrow (job: Job): boolean {
    if (job.account === undefined) return true
    const room = this.growthOf(job.account)
    return job.steps.some(({ demand }) => hasRoomFor(nothing, demand, room))
  }

  whyNot (step: TrackedStep): LimitFigures | undefined {
    const name = step.job.job.account
    if (name === undefined || this.mayAdd(step, step.spec.gang ? step.tasks.length : 1)) return undefined
    const state = this.stateOf(name)
    const quota = this.quotaOf(name, state)
    if (quota === 'none') return undefined
    const elsewhere = givenToOthers(this.opts.book.entry(name)?.record, this.opts.service)
    return {
      account: name,
      quota: quota === 'unknown' ? undefined : quota.quota,
      isRead: this.opts.book.isRead,
      part: this.opts.book.given(name),
      inUse: state.use.total(),
      mayHaveMore: this.hasUnknown,
      elsewhere,
      neverFits: quota !== 'unknown' && !hasRoomFor(nothing, unitOf(step), quota.limits)
    }
  }

  /** @returns names of all accounts that have been met */
  accounts (): string[] {
    return [...this.states.keys()]
  }

  /**
   * @param name - name of an account
   * @returns the quota that applies to it
   */
  quota (name: string): QuotaInForce {
    return this.quotaOf(name, this.stateOf(name))
  }

  /**
   * @param name - name of an account
   * @returns `tracked`: what its tracked runs take; `most`: with the runs that the term does not know
   */
  use (name: string): { readonly tracked: Resources, readonly most: Resources } {
    const state = this.stateOf(name)
    return { tracked: state.use.total(), most: this.inUseOf(state) }
  }

  /**
   * @param name - name of an account
   * @returns whether a task of it was started since its part was last written, or its turn has passed unused
   */
  hasProgressed (name: string): boolean {
    return this.stateOf(name).progressed
  }

  /** @param name - name of an account whose part was written */
  forgetProgress (name: string): void {
    const state = this.stateOf(name)
    state.progressed = false
    state.claimedSince = undefined
  }

  /**
   * @param name - name of an account
   * @param isEnough - a task waits, and the part is enough for the largest
   */
  noteClaim (name: string, isEnough: boolean): void {
    const state = this.stateOf(name)
    const now = this.opts.clock.now()
    state.claimedSince = isEnough ? state.claimedSince ?? now : undefined
    if (now - (state.claimedSince ?? now) >= UNUSED_TURN_MS) state.progressed = true
  }

  private stateOf (name: string): AccountState {
    const known = this.states.get(name)
    if (known !== undefined) return known
    const state: AccountState = { use: new AccountUse(), hasBackfill: false, progressed: false, claimedSince: undefined, missingSince: undefined, cached: undefined }
    this.states.set(name, state)
    if (this.quotaOf(name, state) !== 'none') this.opts.onNeed(name)
    return state
  }

  /** What may be in progress at most: of what the term does not know, the account may have all. */
  private inUseOf (state: AccountState): Resources {
    const tracked = state.use.total()
    if (!this.hasUnknown) return tracked
    const most = plus(tracked, this.unknown)
    return state.hasBackfill ? { ...most, cpu: Infinity } : most
  }

  private quotaOf (name: string, state: AccountState): QuotaInForce {
    const { account, book, clock } = this.opts
    const configured = account(name)
    if (configured !== undefined) state.missingSince = undefined
    const quota = configured?.quota ?? book.entry(name)?.record?.quota
    if (quota !== undefined) {
      const limits = state.cached?.quota === quota ? state.cached.limits : limitsOf(quota)
      return limits === undefined ? 'none' : { quota, limits }
    }
    state.missingSince ??= clock.now()
    return book.isRead && clock.now() - state.missingSince >= UNKNOWN_ACCOUNT_WAIT_MS ? 'none' : 'unknown'
  }

  /** A long-running task that has ended, or is to be moved, does not give way to what others lack. */
  private usableOf (name: string, state: AccountState, { isLasting }: { isLasting: boolean }): Resources | 'none' | 'unknown' {
    const inForce = this.quotaOf(name, state)
    if (typeof inForce === 'string') return inForce
    const { book } = this.opts
    const { quota, limits } = inForce
    if (state.cached?.quota !== quota || state.cached.bookChanges !== book.changes) {
      state.cached = { quota, limits, bookChanges: book.changes, usable: book.usable(name, limits), confirmed: book.confirmed(name, limits) }
    }
    return isLasting ? state.cached.confirmed : state.cached.usable
  }

  /** What the account may still get here as long as the other services keep their parts. */
  private growthOf (name: string): Resources {
    const state = this.stateOf(name)
    const inForce = this.quotaOf(name, state)
    if (typeof inForce === 'string') return each(() => Infinity)
    const others = givenToOthers(this.opts.book.entry(name)?.record, this.opts.service)
    return minus(minus(inForce.limits, others), state.use.total())
  }
}

/** Returns what must be started at once: a gang as a whole. */
export function unitOf (step: TrackedStep): Resources {
  return step.spec.gang ? times(step.spec.demand, step.tasks.length) : step.spec.demand
}
