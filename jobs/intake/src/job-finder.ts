import { addressOf, isOfQueue, type Job, type JobState, type Queue } from '@wisteriaslip/jobs.model'
import type { JobStateReply } from '@wisteriaslip/jobs.protocol'
import type { JobRecords } from '@wisteriaslip/jobs.store'
import type { HiddenJobs } from './hidden-jobs.ts'
import type { RecentJobs } from './recent-jobs.ts'

/** Which service has a job, and whose it is. */
export type JobPlace = Pick<Job, 'service' | 'account'>

/** What became of the search for a job. `service`: the one that has it, or that its queue has now. */
export type FoundJob =
  | { readonly kind: 'found', readonly service: string, readonly state: JobState }
  /** There is no such job for this account. `isSettled`: a submission that is still under way is not accepted either. */
  | { readonly kind: 'none', readonly service: string, readonly isSettled: boolean }
  /** Neither the leader nor the store responds. */
  | { readonly kind: 'unavailable', readonly service: string }

/** Options of {@link JobFinder}. */
export interface JobFinderOpts {
  readonly records: JobRecords
  readonly leaderClient: { state (service: string, id: string): Promise<JobStateReply | undefined> }
  /** Accepted jobs that this entry knows of. */
  readonly places: RecentJobs<JobPlace>
  readonly hidden: HiddenJobs
}

/** A caller's question about a job. */
interface Query {
  readonly queue: { readonly queue: string, readonly address: string }
  readonly id: string
  /** Client account that asks, undefined where any may: jobs of others look like none. */
  readonly account: string | undefined
}

/**
 * Finds jobs whatever service their queue has now. The leader of that service is asked first, as it mostly has the job; if it does
 * not, the index tells which service has it.
 */
export class JobFinder {
  private readonly opts: JobFinderOpts

  constructor (opts: JobFinderOpts) {
    this.opts = opts
  }

  /**
   * @param queue - queue that the job was submitted to
   * @param id - id of the job
   * @param account - client account that asks, undefined where any may: jobs of others look like none
   * @returns the job and its state
   */
  async find (queue: Queue, id: string, account: string | undefined): Promise<FoundJob> {
    const { service } = queue
    const address = addressOf(queue)
    const query = { queue: { queue: queue.name, address }, id, account }
    const known = this.opts.places.get(address, id)
    const first = known === undefined ? await this.askLeader(service, query) : await this.findAt(known, query)
    if (first !== undefined && (first.kind !== 'none' || first.isSettled)) return first
    const entry = await this.opts.records.index.find(address, id)
    if (!entry.ok) return { kind: 'unavailable', service }
    if (entry.value === undefined) return await this.findWithoutEntry(service, query)
    const place = entry.value.value
    if (place.cancelled === true) return { kind: 'none', service, isSettled: !this.opts.hidden.isHidden('ask', id, place.account, account) }
    this.opts.places.add(address, id, { service: place.service, account: place.account })
    const found = await this.findAt(place, query)
    // Its records have just been removed; the entry keeps the id from being used again.
    return found.kind === 'none' ? { ...found, isSettled: true } : found
  }

  private async findAt (place: JobPlace, query: Query): Promise<FoundJob> {
    return await this.askLeader(place.service, query) ?? await this.readState(place, query)
  }

  /** @returns undefined if the leader does not respond or does not have the job */
  private async askLeader (service: string, query: Query): Promise<FoundJob | undefined> {
    const reply = await this.opts.leaderClient.state(service, query.id)
    if (reply?.kind !== 'known') return undefined
    const { queue = query.queue.queue, address, account, state } = reply
    return isOfQueue({ queue, address }, query.queue) ? this.show({ service, account }, state, query) : undefined
  }

  /** Jobs that an earlier version has stored have no index entry. */
  private async findWithoutEntry (service: string, query: Query): Promise<FoundJob> {
    const origin = await this.opts.records.originOf(service, query.id)
    if (!origin.ok) return { kind: 'unavailable', service }
    if (origin.value === undefined) return { kind: 'none', service, isSettled: false }
    // The id is taken in the service, so that a submission to this queue is not accepted.
    if (!isOfQueue(origin.value, query.queue)) return { kind: 'none', service, isSettled: true }
    return await this.readState({ service, account: origin.value.account }, query)
  }

  private async readState (place: JobPlace, query: Query): Promise<FoundJob> {
    const { service } = place
    const stored = await this.opts.records.state(service, query.id)
    if (!stored.ok) return { kind: 'unavailable', service }
    return stored.value === undefined ? { kind: 'none', service, isSettled: false } : this.show(place, stored.value, query)
  }

  private show ({ service, account: owner }: JobPlace, state: JobState, { id, account }: Query): FoundJob {
    return this.opts.hidden.isHidden('ask', id, owner, account) ? { kind: 'none', service, isSettled: true } : { kind: 'found', service, state }
  }
}
