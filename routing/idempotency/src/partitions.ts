import { createHash } from 'node:crypto'
import { z } from 'zod'
import { delay, Wakeup, type Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { ClaimReply, ClaimRequest, ClaimSettlement } from '@wisteriaslip/peers.protocol'
import { toVersioned, type Change, type Guard, type Store, type Versioned } from '@wisteriaslip/store.client'
import { ClaimTable } from './claim-table.ts'

/** Number of partitions of the key space. */
export const PARTITION_COUNT = 16
const FLUSH_GAP_MS = 40
const CLAIMS_PER_SEGMENT = 500
const RETENTION_MS = 24 * 60 * 60 * 1_000
const GC_PERIOD_MS = 60_000

const segmentSchema = z.object({
  /** Wall-clock time of the segment's first claim, by which it is dropped after the retention. */
  since: z.number(),
  claims: z.array(z.tuple([z.string(), z.string(), z.string()]))
})

type Segment = z.infer<typeof segmentSchema>

/**
 * @param id - of a claim
 * @returns its partition
 */
export function partitionOf (id: string): number {
  return createHash('sha1').update(id).digest().readUInt32BE(0) % PARTITION_COUNT
}

/**
 * @param partition - number of a partition
 * @returns the resource whose leader owns it
 */
export function partitionResource (partition: number): string {
  return `claims/${String(partition).padStart(2, '0')}`
}

/** What the partitions ask of their surroundings. */
export interface ClaimPartitionsOpts {
  readonly store: Store
  /** Key prefix of all segments. */
  readonly prefix: string
  readonly clock: Clock
  /** Wall clock in milliseconds, for the retention. */
  readonly wallClock: () => number
  readonly logger: Logger
  /** Fencing token of a resource while this entry surely leads it. */
  readonly token: (resource: string) => number | undefined
  readonly guard: (resource: string, token: number) => Guard
  /** Longest time that a claimed request may take. */
  readonly longestRequestMs: () => number
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
  /** Claims whose write is under way. */
  readonly writing: PendingClaim[]
  loaded: boolean
}

/** The partitions that this entry owns: claims are written in groups, and no request runs before its claim is written. */
export class ClaimPartitions {
  private readonly opts: ClaimPartitionsOpts
  private readonly owned = new Map<number, Partition>()
  private readonly wakeup = new Wakeup()

  constructor (opts: ClaimPartitionsOpts) {
    this.opts = opts
  }

  /**
   * Claims a key for a request.
   * @param request - the claim
   * @returns whether the request may run, or what became of the first one
   */
  async claim (request: ClaimRequest): Promise<ClaimReply> {
    const partition = await this.partition(partitionOf(request.id))
    if (partition === undefined) return { state: 'unavailable' }
    const known = partition.table.lookUp(request)
    if (known !== undefined) return known
    const pending = [...partition.writing, ...partition.pending].find(each => each.request.id === request.id)
    if (pending !== undefined) return pending.request.bodyHash === request.bodyHash ? { state: 'running' } : { state: 'different' }
    return await new Promise(resolve => {
      partition.pending.push({ request, reply: resolve })
      this.wakeup.wake()
    })
  }

  /**
   * Records how a claimed request ended.
   * @param settlement - told by the entry that ran it
   */
  settle (settlement: ClaimSettlement): void {
    this.owned.get(partitionOf(settlement.id))?.table.settle(settlement)
  }

  /**
   * Writes pending claims in groups until the signal aborts.
   * @param signal - ends the loop; claims still pending are answered `unavailable`
   */
  async run (signal: AbortSignal): Promise<void> {
    let collectedAt = this.opts.clock.now()
    while (await this.wakeup.sleep(GC_PERIOD_MS, signal)) {
      await this.flush()
      await delay(FLUSH_GAP_MS, signal)
      if (this.opts.clock.now() - collectedAt < GC_PERIOD_MS) continue
      collectedAt = this.opts.clock.now()
      await this.dropExpired()
    }
    for (const partition of this.owned.values()) answerAll(partition.pending.splice(0), { state: 'unavailable' })
  }

  /** Writes what is pending now, all partitions in one write. */
  async flush (): Promise<void> {
    const batches = [...this.owned.values()]
      .filter(partition => partition.loaded && partition.pending.length > 0)
      .map(partition => ({ partition, pending: partition.pending.splice(0, CLAIMS_PER_SEGMENT) }))
    for (const { partition, pending } of batches) partition.writing.push(...pending)
    if (batches.length === 0) return
    const writes = batches.map(({ partition, pending }) => this.segmentWrite(partition, pending))
    const guards = batches.map(({ partition }) => this.opts.guard(partitionResource(partition.number), partition.token))
    const written = await this.opts.store.update(writes.map(write => write.change), { guards })
    batches.forEach(({ partition, pending }, index) => {
      const write = writes[index]
      partition.writing.length = 0
      if (!written.ok || write === undefined) this.failed(partition, pending, written.ok ? 'none' : written.error.code)
      else this.committed(partition, pending, write, written.value)
    })
  }

  private segmentWrite (partition: Partition, pending: readonly PendingClaim[]): { change: Change, segment: Segment } {
    const last = partition.segments.at(-1)
    const extend = last !== undefined && last.segment.claims.length + pending.length <= CLAIMS_PER_SEGMENT
    const claims = pending.map(({ request }): [string, string, string] => [request.id, request.bodyHash, request.requestId])
    if (extend) {
      const segment = { since: last.segment.since, claims: [...last.segment.claims, ...claims] }
      return { change: { key: last.doc.key, prior: last.doc, value: segment }, segment }
    }
    const since = this.opts.wallClock()
    const segment = { since, claims }
    const key = `${this.segmentPrefix(partition.number)}${partition.token.toString(36)}-${since.toString(36)}-${partition.segments.length}`
    return { change: { key, prior: undefined, value: segment }, segment }
  }

  private committed (partition: Partition, pending: readonly PendingClaim[], write: { change: Change, segment: Segment }, revision: number): void {
    const { key, prior } = write.change
    const doc = toVersioned({ key, prior, value: write.segment }, revision)
    if (prior !== undefined) partition.segments.pop()
    partition.segments.push({ doc, segment: write.segment })
    for (const { request, reply } of pending) {
      partition.table.addClaim(request)
      reply({ state: 'run' })
    }
  }

  /** A write whose fate is not known leaves the memory behind the store: it is read anew before the next claim. */
  private failed (partition: Partition, pending: readonly PendingClaim[], code: string): void {
    this.opts.logger.warn({ partition: partition.number, code, claims: pending.length }, 'claims not written')
    if (this.owned.get(partition.number) === partition) this.owned.delete(partition.number)
    answerAll([...pending, ...partition.pending.splice(0)], { state: 'unavailable' })
  }

  private async partition (number: number): Promise<Partition | undefined> {
    const token = this.opts.token(partitionResource(number))
    const known = this.owned.get(number)
    if (token === undefined) {
      if (known !== undefined) this.disown(known)
      return undefined
    }
    if (known?.token === token) return known.loaded ? known : undefined
    if (known !== undefined) this.disown(known)
    return await this.load(number, token)
  }

  private disown (partition: Partition): void {
    this.owned.delete(partition.number)
    answerAll(partition.pending.splice(0), { state: 'unavailable' })
  }

  private async load (number: number, token: number): Promise<Partition | undefined> {
    const partition: Partition = { number, token, table: new ClaimTable(this.opts.clock), segments: [], pending: [], writing: [], loaded: false }
    this.owned.set(number, partition)
    const listed = await this.opts.store.list(this.segmentPrefix(number))
    if (this.owned.get(number) !== partition) return undefined
    if (!listed.ok) {
      this.owned.delete(number)
      return undefined
    }
    for (const doc of listed.value.docs) {
      const segment = segmentSchema.safeParse(doc.value)
      if (segment.success) partition.segments.push({ doc, segment: segment.data })
    }
    partition.segments.sort((a, b) => a.segment.since - b.segment.since)
    for (const { segment } of partition.segments) this.takeAll(partition, segment)
    partition.loaded = true
    this.opts.logger.info({ partition: number, token, claims: partition.table.size() }, 'claims loaded')
    return partition
  }

  private takeAll (partition: Partition, segment: Segment): void {
    for (const [id, bodyHash, requestId] of segment.claims) {
      partition.table.addClaim({ id, bodyHash, requestId, settleWithinMs: this.opts.longestRequestMs() })
    }
  }

  private async dropExpired (): Promise<void> {
    const before = this.opts.wallClock() - RETENTION_MS
    for (const partition of this.owned.values()) {
      const oldest = partition.segments[0]
      if (!partition.loaded || oldest === undefined || partition.segments.length < 2 || oldest.segment.since > before) continue
      const guards = [this.opts.guard(partitionResource(partition.number), partition.token)]
      const dropped = await this.opts.store.update([{ key: oldest.doc.key, prior: oldest.doc, value: undefined }], { guards })
      if (!dropped.ok) continue
      partition.segments.shift()
      for (const [id] of oldest.segment.claims) partition.table.removeClaim(id)
    }
  }

  private segmentPrefix (partition: number): string {
    return `${this.opts.prefix}${String(partition).padStart(2, '0')}/`
  }
}

function answerAll (pending: readonly PendingClaim[], reply: ClaimReply): void {
  for (const each of pending) each.reply(reply)
}
