import { delay, type Clock } from '@wisteriaslip/core.result'
import type { EntryLease, Leadership } from '@wisteriaslip/peers.membership'
import type { PeerSync } from './peer-sync.ts'

/** A confirmation by the store that is older than this is overdue: renewals of the entry's lease fail. */
const OVERDUE_MS = 900
const CHECK_INTERVAL_MS = 200

/** Options of {@link LeadershipConfirmation}. */
export interface LeadershipConfirmationOpts {
  readonly lease: EntryLease
  readonly leadership: Leadership
  readonly peerSync: PeerSync
  /** @returns whether this entry leads anything */
  readonly isLeader: () => boolean
  readonly clock: Clock
}

/**
 * Confirms the leadership of this entry: by the renewals of its lease and, while these fail, by all members that run: none of them
 * knows of another leader. So an entry that is cut off is not confirmed, nor one of several that are cut off together, and a store
 * that nobody reaches stops no leader.
 */
export class LeadershipConfirmation {
  private readonly opts: LeadershipConfirmationOpts

  constructor (opts: LeadershipConfirmationOpts) {
    this.opts = opts
  }

  /**
   * @param resource - name of a resource
   * @param token - fencing token under which this entry leads it
   * @returns latest time of the injected clock at which it was confirmed, negative infinity if the leadership has ended
   */
  confirmedAt (resource: string, token: number): number {
    const { leadership, peerSync, clock } = this.opts
    const byStore = leadership.confirmedAt(resource, token)
    const hasEnded = byStore === Number.NEGATIVE_INFINITY
    return hasEnded || clock.now() - byStore <= OVERDUE_MS ? byStore : Math.max(byStore, peerSync.allSyncedAt())
  }

  /** Asks the members whenever renewals are overdue while this entry leads something, until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    const { peerSync, isLeader } = this.opts
    while (await delay(CHECK_INTERVAL_MS, signal)) {
      if (isLeader() && this.isOverdue()) await peerSync.syncWithPeers(peerSync.membersThatMayRun(), signal)
    }
  }

  private isOverdue (): boolean {
    const renewed = this.opts.lease.confirmation()
    return renewed !== undefined && this.opts.clock.now() - renewed.at > OVERDUE_MS
  }
}
