import type { Account, Resources } from '@wisteriaslip/jobs.model'
import { AccountUse, shareOfStep } from './account-use.ts'
import type { TrackedJob, TrackedStep } from './tracked-job.ts'
import { WeightMeter, type Arrival } from './weight-meter.ts'

/**
 * Accounts whose use differs by less than this part of what each would have, if all that wait shared the room by weight, are equals:
 * jobs are finished one after the other rather than all at a slow pace.
 */
const LEVEL_PART = 0.5
/**
 * Levels are no finer than a usual step is wide, so that the tasks of a step run together however many accounts wait; but a step
 * counts as no wider than this share of the room.
 */
const MOST_STEP_SHARE = 1 / 4
const LEAST_WEIGHT = 0.001

/** Looks up a client account by name; undefined when the configuration has none. */
export type AccountLookup = (name: string) => Account | undefined

/** Options that concern client accounts. */
export interface AccountSharesOpts {
  /** Looks up client accounts; undefined where there are none. */
  readonly account?: AccountLookup | undefined
  /** @returns Unix milliseconds */
  readonly wallClock: () => number
}

/** An account with steps that wait, in one pass. */
export interface Claim {
  readonly use: AccountUse
  /** Share of the room by which its level rises by one. */
  readonly levelShare: number
}

/**
 * What the client accounts of a service use of its room, and which of their jobs lie beyond their weights. Jobs without an
 * account count together as those of one more; those of an account that is no longer known, by its name; each with the mean weight of the
 * known accounts that wait.
 */
export class AccountShares {
  private readonly account: AccountLookup
  private readonly wallClock: () => number
  private readonly uses = new Map<string | undefined, AccountUse>()
  private readonly meters = new Map<string, WeightMeter>()
  private arrivals = new Map<string, Arrival[]>()
  private pass = 0
  private room: Resources = { cpu: 0, memMb: 0, accelerators: 0 }

  /** @param opts - `account`: looks up accounts; `wallClock`: returns Unix milliseconds */
  constructor (opts: { account: AccountLookup, wallClock: () => number }) {
    this.account = opts.account
    this.wallClock = opts.wallClock
  }

  /**
   * Takes up a job before its first run is known. Long-running and scheduled jobs, whose steps keep their place or become due by
   * themselves, do not count towards the account's jobs a second.
   * @param tracked - the job
   */
  addJob (tracked: TrackedJob): void {
    const { account, schedule, steps, acceptedAt, id } = tracked.job
    tracked.use = this.useOf(account)
    if (account === undefined || schedule !== undefined || steps.some(step => step.lasting)) return
    const arrival = { at: Math.min(acceptedAt, this.wallClock()), id, judge: (isBeyond: boolean) => { tracked.isBeyondWeight = isBeyond } }
    const waiting = this.arrivals.get(account)
    if (waiting === undefined) this.arrivals.set(account, [arrival])
    else waiting.push(arrival)
  }

  /** Finds out which of the jobs that were added lie beyond their account's weight. Those of an account that is not known don't. */
  judgeJobs (): void {
    for (const [name, arrivals] of this.arrivals) {
      const weight = this.account(name)?.weight
      if (weight === undefined) continue
      const meter = this.meters.get(name) ?? new WeightMeter()
      this.meters.set(name, meter)
      meter.add(arrivals, weight)
    }
    if (this.arrivals.size > 0) this.arrivals = new Map()
  }

  /** @returns whether jobs of known accounts were added */
  hasAccounts (): boolean {
    return this.meters.size > 0
  }

  /**
   * Begins a pass: judges the jobs that were added.
   * @param workers - workers that take starts in this pass; their whole capacity is the room
   */
  beginPass (workers: Iterable<{ readonly registration: { readonly capacity: Resources } }>): void {
    this.judgeJobs()
    const room = { cpu: 0, memMb: 0, accelerators: 0 }
    for (const { registration: { capacity } } of workers) {
      room.cpu += capacity.cpu
      room.memMb += capacity.memMb
      room.accelerators += capacity.accelerators
    }
    this.room = room
  }

  /**
   * @param steps - steps that wait
   * @returns the accounts whose steps they are; undefined if none of these is known, so that there is nothing to share
   */
  claims (steps: readonly TrackedStep[]): Map<AccountUse, Claim> | undefined {
    const uses = new Set<AccountUse>()
    let stepShares = 0
    this.pass += 1
    for (const { spec, job: { use } } of steps) {
      stepShares += Math.min(MOST_STEP_SHARE, shareOfStep(spec, this.room))
      if (use === undefined || use.seenInPass === this.pass) continue
      use.seenInPass = this.pass
      uses.add(use)
    }
    const weights = new Map([...uses].map(use => [use, this.knownWeight(use)]))
    const known = [...weights.values()].filter(weight => weight !== undefined)
    if (known.length === 0) return undefined
    const mean = sum(known) / known.length
    const usualStepShare = stepShares / steps.length
    const total = sum([...weights.values()].map(weight => weight ?? mean))
    return new Map([...weights].map(([use, weight]) => [use, { use, levelShare: Math.max(usualStepShare, LEVEL_PART * (weight ?? mean) / total) }]))
  }

  /**
   * @param claim - an account
   * @returns its use in whole levels: the account with the lowest comes next
   */
  levelOf ({ use, levelShare }: Claim): number {
    return Math.floor(use.share(this.room) / levelShare)
  }

  /**
   * @param claim - an account
   * @param step - a step of it
   * @returns number of tasks of the step that bring the account to its next level, at least 1
   */
  tasksToNextLevel (claim: Claim, step: TrackedStep): number {
    return claim.use.tasksUntil(step.spec, (this.levelOf(claim) + 1) * claim.levelShare, this.room)
  }

  /**
   * @param tracked - a job
   * @returns its account, whether it lies beyond the account's weight, and the account's share of the room
   */
  explain (tracked: TrackedJob): { account: string | undefined, weight: number | undefined, isBeyondWeight: boolean, share: number } | undefined {
    const { use } = tracked
    return use === undefined ? undefined : { account: use.name, weight: this.knownWeight(use), isBeyondWeight: tracked.isBeyondWeight, share: use.share(this.room) }
  }

  private knownWeight ({ name }: AccountUse): number | undefined {
    const weight = name === undefined ? undefined : this.account(name)?.weight
    return weight === undefined ? undefined : Math.max(LEAST_WEIGHT, weight)
  }

  private useOf (account: string | undefined): AccountUse {
    const use = this.uses.get(account) ?? new AccountUse(account)
    this.uses.set(account, use)
    return use
  }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
