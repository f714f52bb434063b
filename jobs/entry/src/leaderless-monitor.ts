import { delay, type Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { serviceHolds } from '@wisteriaslip/jobs.scheduler'
import type { Leadership, Members } from '@wisteriaslip/peers.membership'
import { serviceResource } from './resources.ts'

/** A service without a leader at work is logged after this time, then each time it has passed again. */
const LOG_INTERVAL_MS = 5_000
const CHECK_INTERVAL_MS = 500

/** What a service lacks for a leader at work, as one entry sees it: codes of {@link serviceHolds}. */
export const missingParts = {
  /** No entry is recorded as its leader. */
  leader: 'NO_LEADER',
  /** The entry that is recorded is no member, or has restarted since. */
  member: 'LEADER_IS_NO_MEMBER',
  /** This entry is recorded, and has not begun the term. */
  term: 'TERM_NOT_BEGUN',
  /** This entry is recorded, and an earlier term of it has not ended yet. */
  earlierTerm: 'EARLIER_TERM_ENDING',
  /** The term has not read its records, or not written its own. */
  records: 'RECORDS_NOT_READ',
  /** The term has ended, and the leadership is not given up yet. */
  release: 'TERM_ENDED'
} as const satisfies Record<string, keyof typeof serviceHolds>

/** One of {@link missingParts}. */
export type MissingPart = typeof missingParts[keyof typeof missingParts]

/** The terms of this entry, by resource. */
export interface OwnTerms {
  /** @returns the running term of a resource */
  get (resource: string): { readonly token: number, hasRecords (): boolean } | undefined
  /** @returns token of the last term that was started for a resource */
  lastToken (resource: string): number | undefined
}

/** Options of {@link LeaderlessMonitor}. */
export interface LeaderlessMonitorOpts {
  /** @returns names of the services that need a leader */
  readonly services: () => readonly string[]
  readonly leadership: Pick<Leadership, 'leaderOf' | 'recordedToken'>
  readonly members: Pick<Members, 'all'>
  readonly terms: OwnTerms
  /** @returns whether this entry reaches the store: what it sees is old otherwise */
  readonly hasStoreAccess: () => boolean
  readonly clock: Clock
  readonly logger: Logger
}

interface Gap {
  readonly since: number
  loggedAt: number | undefined
}

/**
 * Logs services that have no leader at work for long: such a service starts nothing, and has no leader to say so. What another
 * entry's term lacks is for that entry to log.
 */
export class LeaderlessMonitor {
  private readonly opts: LeaderlessMonitorOpts
  private readonly gaps = new Map<string, Gap>()

  /** @param opts - what this entry sees of the services */
  constructor (opts: LeaderlessMonitorOpts) {
    this.opts = opts
  }

  /**
   * Checks the services until the signal aborts.
   * @param signal - ends the checks
   */
  async run (signal: AbortSignal): Promise<void> {
    while (await delay(CHECK_INTERVAL_MS, signal)) this.observe()
  }

  /** Checks the services once. */
  observe (): void {
    const services = new Set(this.opts.services())
    for (const service of this.gaps.keys()) if (!services.has(service)) this.gaps.delete(service)
    for (const service of services) this.check(service)
  }

  private check (service: string): void {
    const { clock, logger, leadership, hasStoreAccess } = this.opts
    const now = clock.now()
    const resource = serviceResource(service)
    const missing = this.missingPartOf(resource)
    const gap = this.gaps.get(service)
    const leader = leadership.leaderOf(resource)
    const fields = { service, leader: leader?.record.id, token: leader?.token, forMs: Math.round(now - (gap?.since ?? now)) }
    if (missing === undefined) {
      this.gaps.delete(service)
      if (gap?.loggedAt !== undefined) logger.info(fields, 'a leader is at work again')
    } else if (gap === undefined) {
      this.gaps.set(service, { since: now, loggedAt: undefined })
    } else if (now - (gap.loggedAt ?? gap.since) >= LOG_INTERVAL_MS) {
      gap.loggedAt = now
      logger.warn({ ...fields, missing, storeReached: hasStoreAccess() }, 'no leader is at work for the service')
    }
  }

  private missingPartOf (resource: string): MissingPart | undefined {
    const { leadership, members, terms } = this.opts
    const leader = leadership.leaderOf(resource)
    if (leader === undefined) return missingParts.leader
    const token = leadership.recordedToken(resource)
    if (token === undefined) {
      const { id, incarnation } = leader.record
      return members.all().some(member => member.id === id && member.incarnation === incarnation) ? undefined : missingParts.member
    }
    const term = terms.get(resource)
    if (term === undefined) return terms.lastToken(resource) === token ? missingParts.release : missingParts.term
    if (term.token !== token) return missingParts.earlierTerm
    return term.hasRecords() ? undefined : missingParts.records
  }
}
