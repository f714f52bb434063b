import { delay, Wakeup, type Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { EntryLease, Leadership, Members } from '@wisteriaslip/peers.membership'
import type { Store } from '@wisteriaslip/store.client'

/** While something has no leader, or this entry is not a member yet; else a change of members or leaders ends the wait. */
const PERIOD_MS = 150
const CALM_PERIOD_MS = 1_000
/** Entries that start together first learn of each other, so that not the quickest takes all. */
const SETTLE_MS = 800

/** Options of {@link Election}. */
export interface ElectionOpts {
  readonly members: Members
  readonly lease: EntryLease
  readonly leadership: Leadership
  readonly store: Store
  /** @returns names of all that needs a leader */
  readonly resources: () => string[]
  /** Told after each step. */
  readonly onStep: () => void
  readonly clock: Clock
  readonly logger: Logger
}

/** Keeps this entry registered as a member, and takes part in the election of leaders. */
export class Election {
  private readonly opts: ElectionOpts
  private readonly news = new Wakeup()
  private registeredUnder: string | undefined
  private registeredAt = Number.POSITIVE_INFINITY

  constructor (opts: ElectionOpts) {
    this.opts = opts
  }

  /** Tells that members or leaders have changed. */
  wake (): void {
    this.news.wake()
  }

  /** Runs until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.step()
      } catch (error) {
        this.opts.logger.error({ err: error }, 'election failed')
      }
      if (this.isCalm()) await this.news.sleep(CALM_PERIOD_MS, signal)
      else await delay(PERIOD_MS, signal)
    }
  }

  /** Registers this entry under its present lease, unless that is done. */
  async register (): Promise<void> {
    const { lease, members, store, clock, logger } = this.opts
    const leaseId = lease.current()
    if (leaseId === undefined || this.registeredUnder === leaseId) return
    const registered = await members.register(store, leaseId)
    if (!registered.ok) return
    this.registeredUnder = leaseId
    this.registeredAt = clock.now()
    logger.info({ leaseId }, 'registered')
  }

  private async step (): Promise<void> {
    const { leadership, resources, clock, onStep } = this.opts
    await this.register()
    const settled = clock.now() - this.registeredAt >= SETTLE_MS
    if (settled && this.isMember()) await leadership.step(resources())
    onStep()
  }

  private isMember (): boolean {
    return this.registeredUnder !== undefined && this.registeredUnder === this.opts.lease.current()
  }

  private isCalm (): boolean {
    return this.isMember() && this.opts.resources().every(resource => this.opts.leadership.leaderOf(resource) !== undefined)
  }
}
