import type { Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { Mirror } from '@wisteriaslip/store.mirror'
import type { Change, Guard, Store } from '@wisteriaslip/store.client'
import { rankCandidates, surplusLeaderships, type Candidate } from './candidates.ts'
import type { StoreKeys } from './store-keys.ts'
import type { EntryLease } from './lease.ts'
import type { Members } from './members.ts'

/** A member takes over only after each more preferred one has had this long to do so. */
const TURN_MS = 1_000
const CLAIMS_PER_WRITE = 32
const HAND_BACK_PERIOD_MS = 5_000
const HAND_BACKS_PER_PERIOD = 8
/** A member must have been there this long before leadership is handed to it. */
const SETTLED_MS = 20_000

/** Who leads a resource. The create revision of its key is the fencing token. */
export interface LeaderRecord {
  readonly id: string
  readonly incarnation: string
}

/** Options of {@link Leadership}. */
export interface LeadershipOpts {
  readonly store: Store
  readonly mirror: Mirror
  readonly members: Members
  readonly lease: EntryLease
  readonly keys: StoreKeys
  readonly clock: Clock
  readonly logger: Logger
}

/** Takes and holds leadership of resources, one key each under the entry's lease. */
export class Leadership {
  private readonly opts: LeadershipOpts
  private readonly vacantSince = new Map<string, number>()
  private readonly memberSince = new Map<string, number>()
  private handedBackAt = 0

  constructor (opts: LeadershipOpts) {
    this.opts = opts
  }

  /**
   * @param resource - name of a resource
   * @returns its leader and the fencing token, undefined while it has none
   */
  leaderOf (resource: string): { record: LeaderRecord, token: number } | undefined {
    const doc = this.opts.mirror.get<LeaderRecord>(this.opts.keys.leaders + resource)
    return doc === undefined ? undefined : { record: doc.value, token: doc.createRevision }
  }

  /**
   * @param resource - name of a resource
   * @returns the fencing token if the last known leader is this entry, whether or not its lease still holds
   */
  recordedToken (resource: string): number | undefined {
    const leader = this.leaderOf(resource)
    const self = this.opts.members.self
    if (leader?.record.id !== self.id || leader.record.incarnation !== self.incarnation) return undefined
    return leader.token
  }

  /**
   * @param resource - name of a resource
   * @returns the fencing token while this entry surely leads the resource
   */
  token (resource: string): number | undefined {
    if (this.opts.lease.current() === undefined) return undefined
    return this.recordedToken(resource)
  }

  /**
   * @param resource - name of a resource
   * @param token - fencing token of the writer
   * @returns the guard that every write of the resource's state carries
   */
  guard (resource: string, token: number): Guard {
    return { key: this.opts.keys.leaders + resource, createRevision: token }
  }

  /**
   * One step of the election: takes vacant resources whose turn has come, and hands a few to members that lead less.
   * @param resources - names of all resources there should be leaders for
   */
  async step (resources: readonly string[]): Promise<void> {
    const leaseId = this.opts.lease.current()
    const ids = this.opts.members.all().map(member => member.id)
    if (leaseId === undefined || !ids.includes(this.opts.members.self.id)) return
    this.noteMembers(ids)
    const due = this.dueOf(resources)
    for (let start = 0; start < due.length; start += CLAIMS_PER_WRITE) {
      await this.take(due.slice(start, start + CLAIMS_PER_WRITE), leaseId)
    }
    await this.handBack(resources)
  }

  /** Vacant resources whose turn at this entry has come. */
  private dueOf (resources: readonly string[]): string[] {
    const now = this.opts.clock.now()
    const vacant: string[] = []
    for (const resource of resources) {
      if (this.leaderOf(resource) === undefined) vacant.push(resource)
      else this.vacantSince.delete(resource)
    }
    if (vacant.length === 0) return []
    const turns = rankCandidates(vacant, this.candidates(resources))
    return vacant.filter(resource => {
      const since = this.vacantSince.get(resource) ?? now
      this.vacantSince.set(resource, since)
      return now - since >= (turns.get(resource) ?? []).indexOf(this.opts.members.self.id) * TURN_MS
    })
  }

  private candidates (resources: readonly string[]): Candidate[] {
    const leads = new Map<string, number>()
    for (const resource of resources) {
      const leader = this.leaderOf(resource)?.record.id
      if (leader !== undefined) leads.set(leader, (leads.get(leader) ?? 0) + 1)
    }
    return this.opts.members.all().map(({ id, weight }) => ({ id, weight: weight ?? 1, leads: leads.get(id) ?? 0 }))
  }

  private async take (resources: readonly string[], leaseId: string): Promise<void> {
    const taken = await this.opts.store.update(resources.map(resource => this.claim(resource, leaseId)))
    if (taken.ok) {
      this.opts.logger.info({ resources, token: taken.value }, 'leadership taken')
      return
    }
    if (taken.error.kind !== 'conflict' || resources.length === 1) return
    for (const resource of resources) await this.take([resource], leaseId)
  }

  private claim (resource: string, leaseId: string): Change {
    const { id, incarnation } = this.opts.members.self
    const record: LeaderRecord = { id, incarnation }
    return { key: this.opts.keys.leaders + resource, prior: undefined, value: record, leaseId }
  }

  private noteMembers (ids: readonly string[]): void {
    const now = this.opts.clock.now()
    for (const id of ids) {
      if (!this.memberSince.has(id)) this.memberSince.set(id, now)
    }
    for (const id of this.memberSince.keys()) {
      if (!ids.includes(id)) this.memberSince.delete(id)
    }
  }

  private async handBack (resources: readonly string[]): Promise<void> {
    const now = this.opts.clock.now()
    if (now - this.handedBackAt < HAND_BACK_PERIOD_MS) return
    this.handedBackAt = now
    const self = this.opts.members.self.id
    const settled = this.candidates(resources).filter(({ id }) => id === self || now - (this.memberSince.get(id) ?? now) >= SETTLED_MS)
    const surplus = Math.min(HAND_BACKS_PER_PERIOD, surplusLeaderships(self, settled))
    const ours = resources.filter(resource => this.token(resource) !== undefined)
    for (const resource of ours.slice(0, surplus)) await this.resign(resource)
  }

  private async resign (resource: string): Promise<void> {
    const doc = this.opts.mirror.get(this.opts.keys.leaders + resource)
    if (doc === undefined) return
    this.opts.logger.info({ resource }, 'leadership handed back')
    await this.opts.store.update([{ key: doc.key, prior: doc, value: undefined }])
  }
}
