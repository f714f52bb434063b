import { delay, Wakeup, type Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { EntryLease, Leadership, Members } from '@wisteriaslip/peers.membership'
import type { Store } from '@wisteriaslip/store.client'

/** Interval while this entry is not registered or a resource has no leader. */
const ELECTION_INTERVAL_MS = 150
/** Longest wait between steps otherwise; a change of members or leaders ends it early. */
const STABLE_ELECTION_INTERVAL_MS = 1_000
/** Lets entries that start together discover each other, so that the first one does not acquire every resource, in milliseconds. */
export const INITIAL_ELECTION_DELAY_MS = 800

/** Options of {@link Election}. */
export interface ElectionOpts {
  readonly members: Members
  readonly lease: EntryLease
  readonly leadership: Leadership
  readonly store: Store
  /** @returns names of all resources that need a leader */
  readonly resources: () => string[]
  /** Called after each election step. */
  readonly onStep: () => void
  readonly clock: Clock
  readonly logger: Logger
}

/** Keeps this entry registered as a member and takes part in leader elections. */
export class Election {
  private readonly opts: ElectionOpts
  private readonly wakeup = new Wakeup()
  private registeredLeaseId: string | undefined
  private registeredAt = Number.POSITIVE_INFINITY

  constructor (opts: ElectionOpts) {
    this.opts = opts
  }

  /** Runs the next step early because members or leaders have changed. */
  wake (): void {
    this.wakeup.wake()
  }

  /** Runs election steps until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.step()
      } catch (error) {
        this.opts.logger.error({ err: error }, 'election step failed')
      }
      if (this.isStable()) await this.wakeup.sleep(STABLE_ELECTION_INTERVAL_MS, signal)
      else await delay(ELECTION_INTERVAL_MS, signal)
    }
  }

  /** Registers this entry under its current lease, unless it is registered already. */
  async register (): Promise<void> {
    const { lease, members, store, clock, logger } = this.opts
    const leaseId = lease.validLeaseId()
    if (leaseId === undefined || this.registeredLeaseId === leaseId) return
    const registered = await members.register(store, leaseId)
    if (!registered.ok) return
    this.registeredLeaseId = leaseId
    this.registeredAt = clock.now()
    logger.info({ leaseId }, 'registered')
  }

  private async step (): Promise<void> {
    const { leadership, resources, clock, onStep } = this.opts
    await this.register()
    const initialDelayPassed = clock.now() - this.registeredAt >= INITIAL_ELECTION_DELAY_MS
    if (initialDelayPassed && this.isMember()) await leadership.step(resources())
    onStep()
  }

  private isMember (): boolean {
    return this.registeredLeaseId !== undefined && this.registeredLeaseId === this.opts.lease.validLeaseId()
  }

  private isStable (): boolean {
    return this.isMember() && this.opts.resources().every(resource => this.opts.leadership.leaderOf(resource) !== undefined)
  }
}
