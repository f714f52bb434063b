import type { Logger } from '@wisteriaslip/core.logger'
import type { WaveRecord, WaveRecordStore } from '@wisteriaslip/jobs.fleet'
import { toVersioned, type Guard, type Store, type Versioned } from '@wisteriaslip/store.client'
import { z } from 'zod'

const durationSchema = z.number().nonnegative()

/** Turns of drains: without them, or if they cannot be read, drains take their turns anew. */
const turnsSchema = z.object({
  drains: z.array(z.object({ vm: z.string(), waitedMs: durationSchema, lastingRuns: z.number().nonnegative() })),
  rests: z.array(z.object({ vm: z.string(), restedMs: durationSchema }))
}).optional().catch(undefined)

/** Stored form of a record; those of older versions lack the fields that are optional or have defaults. */
const recordSchema = z.object({
  createRevision: z.number().optional(),
  revision: z.number().optional(),
  begun: z.array(z.string()),
  requested: z.array(z.string()).default([]),
  gone: z.array(z.string()).default([]),
  completed: z.boolean(),
  reported: z.boolean().default(true),
  turns: turnsSchema,
  elapsedMs: z.number().nonnegative(),
  at: z.number()
})

/** Stored document: the records of all waves, by wave number. */
const documentSchema = z.record(z.string(), z.unknown())

/** Keeps wave records in the store; writes are fenced by the fleet leader's token. */
export class StoredWaveRecords implements WaveRecordStore {
  private readonly store: Store
  private readonly opts: { key: string, guard: Guard, logger: Logger }
  private prior: Versioned | undefined

  /**
   * @param store - store that holds the records
   * @param opts - key of the document, the guard that fences writes of former leaders, and a logger for records that cannot
   * be decoded
   */
  constructor (store: Store, opts: { key: string, guard: Guard, logger: Logger }) {
    this.store = store
    this.opts = opts
  }

  async read (): Promise<ReadonlyMap<number, WaveRecord> | undefined> {
    const doc = await this.store.get(this.opts.key)
    if (!doc.ok) return undefined
    this.prior = doc.value
    return this.decode(doc.value?.value ?? {})
  }

  async write (records: ReadonlyMap<number, WaveRecord>): Promise<boolean> {
    const value = Object.fromEntries(records)
    const change = { key: this.opts.key, prior: this.prior, value }
    const written = await this.store.update([change], { guards: [this.opts.guard] })
    if (!written.ok) {
      if (written.error.kind === 'conflict') await this.read()
      return false
    }
    this.prior = toVersioned(change, written.value)
    return true
  }

  private decode (value: unknown): ReadonlyMap<number, WaveRecord> {
    const document = documentSchema.safeParse(value)
    const records = new Map<number, WaveRecord>()
    for (const [wave, stored] of Object.entries(document.data ?? {})) {
      const record = decodeRecord(stored)
      if (record === undefined) this.opts.logger.warn({ wave }, 'cannot decode the record of a wave; its VMs are requested again')
      else records.set(Number(wave), record)
    }
    return records
  }
}

function decodeRecord (stored: unknown): WaveRecord | undefined {
  const record = recordSchema.safeParse(stored)
  if (!record.success) return undefined
  const { createRevision, revision, turns, ...rest } = record.data
  return { ...rest, ...turns === undefined ? {} : { turns }, createRevision, revision }
}
