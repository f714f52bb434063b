import { createHash } from 'node:crypto'
import { z } from 'zod'
import { delay, Wakeup, type Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { ClaimReply, ClaimRequest, ClaimSettlement } from '@wisteriaslip/peers.protocol'
import { splitChanges, toVersioned, type Change, type Guard, type Store, type Versioned } from '@wisteriaslip/store.client'
import { ClaimTable } from './claim-table.ts'

/** Number of partitions into which claims are divided. */
export const PARTITION_COUNT = 16
/** Delay after each write, in which further claims are batched. */
const FLUSH_DELAY_MS = 40
const MAX_CLAIMS_PER_SEGMENT = 500
const CLAIM_RETENTION_MS = 24 * 60 * 60 * 1_000
const SEGMENT_EXPIRY_INTERVAL_MS = 60_000

const segmentSchema = z.object({
  /**
   * Wall-clock time of the segment's first claim. The segment is deleted when the retention period has passed since then,
   * unless it is the last segment of its partition, which is never deleted.
   */
  since: z.number(),
  claims: z.array(z.tuple([z.string(), z.string(), z.string()]))
})

type Segment = z.infer<typeof segmentSchema>

/**
 * @param id - ID of a claim
 * @returns number of the partition that the claim belongs to
 */
export function partitionOf (id: string): number {
  return createHash('sha1').update(id).digest().readUInt32BE(0) % PARTITION_COUNT
}

/**
 * @param partition - number of a partition
 * @returns name of the resource whose leader owns the partition
 */
export function partitionResource (partition: number): string {
  return `claims/${String(partition).padStart(2, '0')}`
}

/** Options of claim partitions. */
export interface ClaimPartitionsOpts {
  readonly store: Store
  /** Prefix of the store keys of all segments. */
  readonly prefix: string
  readonly clock: Clock
  /** Wall-clock time in milliseconds, from which the retention period is computed. */
  readonly wallClock: () => number
  readonly logger: Logger
  /** Returns the fencing token of a resource while this entry certainly leads it, by the local clock. */
  readonly token: (resource: string) => number | undefined
  readonly guard: (resource: string, token: number) => Guard
  /** Maximum time that a claimed request may take, in milliseconds. */
  readonly maxRequestMs: () => number
}

interface PendingClaim {
  readonly request: ClaimRequest
  readonly reply: (reply: ClaimReply) => void
}

interface Partition {
  readonly number: number
  readonly token: number
  readonly table: ClaimTable
  readonly segments: Array<{ doc: Versioned, segment: Segment }>
  readonly pending: PendingClaim[]
  /** Claims whose write is in progress. */
  readonly beingWritten: PendingClaim[]
  loaded: boolean
}

/** Partitions owned by this entry. Claims are written in batches; no request runs before its claim has been written. */
export class ClaimPartitions {
  private readonly opts: ClaimPartitionsOpts
  private readonly ownedPartitions = new Map<number, Partition>()
  private readonly wakeup = new Wakeup()

  constructor (opts: ClaimPartitionsOpts) {
    this.opts = opts
  }

  /**
   * Claims a key for a request.
   * @param request - the claim
   * @returns whether the request may run, or the state or response of the request that claimed the key first
   */
  async claim (request: ClaimRequest): Promise<ClaimReply> {
    const partition = await this.getOrLoadPartition(partitionOf(request.id))
    if (partition === undefined) return { state: 'unavailable' }
    const knownReply = partition.table.lookUp(request)
    if (knownReply !== undefined) return knownReply
    const pending = [...partition.beingWritten, ...partition.pending].find(each => each.request.id === request.id)
    if (pending !== undefined) return pending.request.bodyHash === request.bodyHash ? { state: 'running' } : { state: 'different' }
    return await new Promise(resolve => {
      partition.pending.push({ request, reply: resolve })
      this.wakeup.wake()
    })
  }

  /**
   * Records the outcome of a claimed request.
   * @param settlement - outcome reported by the entry that ran the request
   */
  settle (settlement: ClaimSettlement): void {
    this.ownedPartitions.get(partitionOf(settlement.id))?.table.settle(settlement)
  }

  /**
   * Writes pending claims in batches and deletes expired segments, until the signal aborts.
   * @param signal - ends the loop; claims that are still pending get the reply `unavailable`
   */
  async run (signal: AbortSignal): Promise<void> {
    let lastExpiryAt = this.opts.clock.now()
    while (await this.wakeup.sleep(SEGMENT_EXPIRY_INTERVAL_MS, signal)) {
      await this.flush()
      await delay(FLUSH_DELAY_MS, signal)
      if (this.opts.clock.now() - lastExpiryAt < SEGMENT_EXPIRY_INTERVAL_MS) continue
      lastExpiryAt = this.opts.clock.now()
      await this.deleteExpiredSegments()
    }
    for (const partition of this.ownedPartitions.values()) replyToAll(partition.pending.splice(0), { state: 'unavailable' })
  }

  /** Writes the pending claims of all partitions in as few transactions as possible, up to a limit for each partition. */
  async flush (): Promise<void> {
    const batches = [...this.ownedPartitions.values()]
      .filter(partition => partition.loaded && partition.pending.length > 0)
      .map(partition => ({ partition, pending: partition.pending.splice(0, MAX_CLAIMS_PER_SEGMENT) }))
    for (const { partition, pending } of batches) partition.beingWritten.push(...pending)
    for (const group of splitChanges(batches, { guards: 1 })) await this.writeSegments(group)
  }

  private async writeSegments (batches: ReadonlyArray<{ partition: Partition, pending: PendingClaim[] }>): Promise<void> {
    const writes = batches.map(({ partition, pending }) => this.segmentWrite(partition, pending))
    const guards = batches.map(({ partition }) => this.opts.guard(partitionResource(partition.number), partition.token))
    const written = await this.opts.store.update(writes.map(write => write.change), { guards })
    batches.forEach(({ partition, pending }, index) => {
      const write = writes[index]
      partition.beingWritten.length = 0
      if (!written.ok || write === undefined) this.handleWriteFailure(partition, pending, written.ok ? 'none' : written.error.code)
      else this.handleWritten(partition, pending, write, written.value)
    })
  }

  private segmentWrite (partition: Partition, pending: readonly PendingClaim[]): { change: Change, segment: Segment } {
    const last = partition.segments.at(-1)
    const extendsLast = last !== undefined && last.segment.claims.length + pending.length <= MAX_CLAIMS_PER_SEGMENT
    const claims = pending.map(({ request }): [string, string, string] => [request.id, request.bodyHash, request.requestId])
    if (extendsLast) {
      const segment = { since: last.segment.since, claims: [...last.segment.claims, ...claims] }
      return { change: { key: last.doc.key, prior: last.doc, value: segment }, segment }
    }
    const since = this.opts.wallClock()
    const segment = { since, claims }
    const key = `${this.segmentPrefix(partition.number)}${partition.token.toString(36)}-${since.toString(36)}-${partition.segments.length}`
    return { change: { key, prior: undefined, value: segment }, segment }
  }

  private handleWritten (partition: Partition, pending: readonly PendingClaim[], write: { change: Change, segment: Segment }, revision: number): void {
    const { key, prior } = write.change
    const doc = toVersioned({ key, prior, value: write.segment }, revision)
    if (prior !== undefined) partition.segments.pop()
    partition.segments.push({ doc, segment: write.segment })
    for (const { request, reply } of pending) {
      partition.table.addClaim(request)
      reply({ state: 'run' })
    }
  }

  /**
   * Handles a failed write. As its outcome may be unknown, the table may lag behind the store: the partition is loaded
   * again before the next claim.
   */
  private handleWriteFailure (partition: Partition, pending: readonly PendingClaim[], code: string): void {
    this.opts.logger.warn({ partition: partition.number, code, claims: pending.length }, 'failed to write idempotency claims')
    if (this.ownedPartitions.get(partition.number) === partition) this.ownedPartitions.delete(partition.number)
    replyToAll([...pending, ...partition.pending.splice(0)], { state: 'unavailable' })
  }

  private async getOrLoadPartition (number: number): Promise<Partition | undefined> {
    const token = this.opts.token(partitionResource(number))
    const existing = this.ownedPartitions.get(number)
    if (token === undefined) {
      if (existing !== undefined) this.releasePartition(existing)
      return undefined
    }
    if (existing?.token === token) return existing.loaded ? existing : undefined
    if (existing !== undefined) this.releasePartition(existing)
    return await this.load(number, token)
  }

  private releasePartition (partition: Partition): void {
    this.ownedPartitions.delete(partition.number)
    replyToAll(partition.pending.splice(0), { state: 'unavailable' })
  }

  private async load (number: number, token: number): Promise<Partition | undefined> {
    const partition: Partition = { number, token, table: new ClaimTable(this.opts.clock), segments: [], pending: [], beingWritten: [], loaded: false }
    this.ownedPartitions.set(number, partition)
    const listed = await this.opts.store.list(this.segmentPrefix(number))
    if (this.ownedPartitions.get(number) !== partition) return undefined
    if (!listed.ok) {
      this.ownedPartitions.delete(number)
      return undefined
    }
    for (const doc of listed.value.docs) {
      const segment = segmentSchema.safeParse(doc.value)
      if (segment.success) partition.segments.push({ doc, segment: segment.data })
    }
    partition.segments.sort((a, b) => a.segment.since - b.segment.since)
    for (const { segment } of partition.segments) this.addClaims(partition, segment)
    partition.loaded = true
    this.opts.logger.info({ partition: number, token, claims: partition.table.size() }, 'idempotency claims loaded')
    return partition
  }

  private addClaims (partition: Partition, segment: Segment): void {
    for (const [id, bodyHash, requestId] of segment.claims) {
      partition.table.addClaim({ id, bodyHash, requestId, settleWithinMs: this.opts.maxRequestMs() })
    }
  }

  private async deleteExpiredSegments (): Promise<void> {
    const expiredBefore = this.opts.wallClock() - CLAIM_RETENTION_MS
    for (const partition of this.ownedPartitions.values()) {
      const oldest = partition.segments[0]
      if (!partition.loaded || oldest === undefined || partition.segments.length < 2 || oldest.segment.since > expiredBefore) continue
      const guards = [this.opts.guard(partitionResource(partition.number), partition.token)]
      const segmentDeletion = await this.opts.store.update([{ key: oldest.doc.key, prior: oldest.doc, value: undefined }], { guards })
      if (!segmentDeletion.ok && !await this.isDeleted(oldest.doc.key)) continue
      partition.segments.shift()
      for (const [id] of oldest.segment.claims) partition.table.removeClaim(id)
    }
  }

  /** Returns whether a segment is certainly absent: a deletion with an unknown outcome may have taken effect. */
  private async isDeleted (key: string): Promise<boolean> {
    const current = await this.opts.store.get(key)
    return current.ok && current.value === undefined
  }

  private segmentPrefix (partition: number): string {
    return `${this.opts.prefix}${String(partition).padStart(2, '0')}/`
  }
}

function replyToAll (pending: readonly PendingClaim[], reply: ClaimReply): void {
  for (const each of pending) each.reply(reply)
}
