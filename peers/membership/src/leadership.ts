import type { Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { Mirror } from '@wisteriaslip/store.mirror'
import { splitChanges, type Change, type Guard, type Store } from '@wisteriaslip/store.client'
import { rankCandidates, surplusLeaderships, type Candidate } from './candidates.ts'
import type { StoreKeys } from './store-keys.ts'
import type { EntryLease } from './lease.ts'
import type { Member, Members } from './members.ts'
import { isLeaderRecord } from './record-schema.ts'

/** A member waits this long for each better-ranked member before it acquires a vacant resource, in milliseconds. */
export const TAKEOVER_DELAY_PER_RANK_MS = 1_000
const REBALANCE_INTERVAL_MS = 5_000
const MAX_RELEASES_PER_REBALANCE = 8
/** Leadership is released to a member only after the member has been present for this long. */
const MIN_MEMBER_AGE_MS = 20_000

/** Leader of a resource. The create revision of the record's key is the fencing token. */
export interface LeaderRecord {
  readonly id: string
  readonly incarnation: string
}

/** A record that cannot be read names no entry, but its resource is not vacant. */
const UNKNOWN_LEADER: LeaderRecord = { id: '', incarnation: '' }

/** Options of {@link Leadership}. */
export interface LeadershipOpts {
  readonly store: Store
  readonly mirror: Mirror
  readonly members: Members
  readonly lease: EntryLease
  readonly keys: StoreKeys
  readonly clock: Clock
  readonly logger: Logger
  /** @returns whether a resource that this entry leads may go to another one now, to balance them; if absent, each may */
  readonly mayRelease?: (resource: string) => boolean
}

/** Acquires and releases leadership of resources. Each leadership is a key under the entry's lease. */
export class Leadership {
  private readonly opts: LeadershipOpts
  private readonly vacantSince = new Map<string, number>()
  /** Since when this entry has seen each member, by id, as the same process. */
  private readonly presentSince = new Map<string, { readonly incarnation: string, readonly at: number }>()
  private lastRebalanceAt = 0
  /**
   * Leaderships that this entry has begun to remove, as the latest token of each resource: another entry may have the resource before
   * the mirror shows that. Resources that are acquired in one write have the same token.
   */
  private readonly removedTokens = new Map<string, number>()

  constructor (opts: LeadershipOpts) {
    this.opts = opts
  }

  /**
   * @param resource - name of a resource
   * @returns its leader and the fencing token; undefined while it has no leader
   */
  leaderOf (resource: string): { record: LeaderRecord, token: number } | undefined {
    const doc = this.opts.mirror.get(this.opts.keys.leaders + resource)
    if (doc === undefined) return undefined
    return { record: isLeaderRecord(doc.value) ? doc.value : UNKNOWN_LEADER, token: doc.createRevision }
  }

  /**
   * @param resource - name of a resource
   * @returns the fencing token if the mirror records this entry as the leader, even if its lease may have expired
   */
  recordedToken (resource: string): number | undefined {
    const leader = this.leaderOf(resource)
    const self = this.opts.members.self
    if (leader?.record.id !== self.id || leader.record.incarnation !== self.incarnation) return undefined
    return leader.token
  }

  /**
   * @param resource - name of a resource
   * @returns the fencing token while this entry is recorded as the leader under its present lease, has not begun to release
   * that, and the lease is certainly valid by the local clock
   */
  token (resource: string): number | undefined {
    const leaseId = this.opts.lease.validLeaseId()
    const token = this.recordedToken(resource)
    if (leaseId === undefined || token === undefined) return undefined
    return this.isHeldUnder(leaseId, resource, token) ? token : undefined
  }

  /**
   * @param resource - name of a resource
   * @param token - fencing token under which this entry leads it
   * @returns latest time of the injected clock at which the store certainly recorded that; negative infinity if that record
   * has ended with an earlier lease of this entry
   */
  confirmedAt (resource: string, token: number): number {
    const lease = this.opts.lease.confirmation()
    const isHeld = lease !== undefined && this.recordedToken(resource) === token && this.isHeldUnder(lease.leaseId, resource, token)
    return isHeld ? lease.at : Number.NEGATIVE_INFINITY
  }

  /**
   * @param resource - name of a resource
   * @param token - fencing token of the writer
   * @returns guard that every write to the resource's state must carry
   */
  guard (resource: string, token: number): Guard {
    return { key: this.opts.keys.leaders + resource, createRevision: token }
  }

  /**
   * One step of the election: acquires vacant resources for which this entry is due, and releases a few if other members
   * lead fewer.
   * @param resources - names of all resources that need a leader
   */
  async step (resources: readonly string[]): Promise<void> {
    const leaseId = this.opts.lease.validLeaseId()
    const members = this.opts.members.all()
    if (leaseId === undefined || !members.some(({ id }) => id === this.opts.members.self.id)) return
    this.trackMembers(members)
    for (const resource of resources) await this.repeatRemoval(resource)
    for (const due of splitChanges(this.dueResources(resources))) await this.acquire(due, leaseId)
    await this.rebalance(resources)
  }

  /** Returns the vacant resources that this entry may acquire now, given its rank. */
  private dueResources (resources: readonly string[]): string[] {
    const now = this.opts.clock.now()
    const vacant: string[] = []
    for (const resource of resources) {
      if (this.leaderOf(resource) === undefined) vacant.push(resource)
      else this.vacantSince.delete(resource)
    }
    if (vacant.length === 0) return []
    const rankings = rankCandidates(vacant, this.candidates(resources))
    return vacant.filter(resource => {
      const since = this.vacantSince.get(resource) ?? now
      this.vacantSince.set(resource, since)
      return now - since >= (rankings.get(resource) ?? []).indexOf(this.opts.members.self.id) * TAKEOVER_DELAY_PER_RANK_MS
    })
  }

  private candidates (resources: readonly string[]): Candidate[] {
    const ledCounts = new Map<string, number>()
    for (const resource of resources) {
      const leader = this.leaderOf(resource)?.record.id
      if (leader !== undefined) ledCounts.set(leader, (ledCounts.get(leader) ?? 0) + 1)
    }
    return this.opts.members.all().map(({ id, weight }) => ({ id, weight: weight ?? 1, ledCount: ledCounts.get(id) ?? 0 }))
  }

  private async acquire (resources: readonly string[], leaseId: string): Promise<void> {
    const written = await this.opts.store.update(resources.map(resource => this.leaderRecordChange(resource, leaseId)))
    if (written.ok) {
      this.opts.logger.info({ resources, token: written.value }, 'leadership acquired')
      return
    }
    this.opts.logger.info({ resources, code: written.error.code }, 'failed to acquire leadership')
    const canSplit = written.error.kind === 'conflict' || written.error.kind === 'rejected'
    if (!canSplit || resources.length === 1) return
    for (const resource of resources) await this.acquire([resource], leaseId)
  }

  private leaderRecordChange (resource: string, leaseId: string): Change {
    const { id, incarnation } = this.opts.members.self
    const record: LeaderRecord = { id, incarnation }
    return { key: this.opts.keys.leaders + resource, prior: undefined, value: record, leaseId }
  }

  /**
   * Gives up a leadership, so that any member may acquire it under a new fencing token. Does nothing unless the mirror records
   * this entry as the leader with that token.
   * @param resource - name of a resource
   * @param token - fencing token of the leadership
   */
  async giveUp (resource: string, token: number): Promise<void> {
    if (this.recordedToken(resource) === token) await this.remove(resource, 'leadership given up')
  }

  private trackMembers (members: readonly Member[]): void {
    const now = this.opts.clock.now()
    const ids = new Set(members.map(({ id }) => id))
    for (const { id, incarnation } of members) {
      if (this.presentSince.get(id)?.incarnation !== incarnation) this.presentSince.set(id, { incarnation, at: now })
    }
    for (const id of this.presentSince.keys()) {
      if (!ids.has(id)) this.presentSince.delete(id)
    }
  }

  private async rebalance (resources: readonly string[]): Promise<void> {
    const now = this.opts.clock.now()
    if (now - this.lastRebalanceAt < REBALANCE_INTERVAL_MS) return
    this.lastRebalanceAt = now
    const self = this.opts.members.self.id
    const establishedCandidates = this.candidates(resources).filter(({ id }) => id === self || now - (this.presentSince.get(id)?.at ?? now) >= MIN_MEMBER_AGE_MS)
    const surplus = Math.min(MAX_RELEASES_PER_REBALANCE, surplusLeaderships(self, establishedCandidates))
    const releasable = resources.filter(resource => this.token(resource) !== undefined && this.opts.mayRelease?.(resource) !== false)
    for (const resource of releasable.slice(0, surplus)) await this.release(resource)
  }

  /** Another entry may have acquired the resource while earlier releases were written. */
  private async release (resource: string): Promise<void> {
    if (this.token(resource) !== undefined) await this.remove(resource, 'leadership released')
  }

  /** A removal that was not carried out, as far as the mirror shows, would leave the resource with a leader that does nothing. */
  private async repeatRemoval (resource: string): Promise<void> {
    const token = this.recordedToken(resource)
    if (token !== undefined && this.isRemoved(resource, token)) await this.remove(resource, 'leadership released again')
  }

  /** The mirror may still show a leadership that has ended with an earlier lease. */
  private isHeldUnder (leaseId: string, resource: string, token: number): boolean {
    const registration = this.opts.members.latestRegistration()
    // Leadership is acquired after the registration under the same lease: an older token belongs to an earlier lease.
    return registration?.leaseId === leaseId && token > registration.revision && !this.isRemoved(resource, token)
  }

  private isRemoved (resource: string, token: number): boolean {
    return this.removedTokens.get(resource) === token
  }

  private async remove (resource: string, message: string): Promise<void> {
    const doc = this.opts.mirror.get(this.opts.keys.leaders + resource)
    if (doc === undefined) return
    this.removedTokens.set(resource, doc.createRevision)
    const removed = await this.opts.store.update([{ key: doc.key, prior: doc, value: undefined }])
    this.opts.logger.info({ resource, token: doc.createRevision, ...(removed.ok ? {} : { code: removed.error.code }) }, message)
  }
}
