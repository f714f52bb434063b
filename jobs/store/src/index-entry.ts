import { z } from 'zod'

const indexEntrySchema = z.object({ service: z.string(), account: z.string().optional(), cancelled: z.boolean().optional() })

/** Where the records of a job are, found by its address and id: the service that its queue had when it was accepted. */
export interface IndexEntry {
  readonly service: string
  /** Name of the job's client account; undefined for none. */
  readonly account?: string | undefined
  /** A tombstone: the id was cancelled while no job had it, and none is stored under it for a while. Undefined is false. */
  readonly cancelled?: boolean | undefined
}

/**
 * @param value - value of a stored index entry
 * @returns whether it can be read; the entry of a later version may have more fields
 */
export function isIndexEntry (value: unknown): value is IndexEntry {
  return indexEntrySchema.safeParse(value).success
}
