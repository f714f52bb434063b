import { parseJson } from '@wisteriaslip/core.result'
import { z } from 'zod'
import type { RawKeyValue, Versioned } from './types.ts'

/** How many writes back a value remembers. A lost reply can be resolved as long as fewer writes followed it. */
export const REMEMBERED_WRITES = 8

const envelopeSchema = z.object({ writes: z.array(z.string()), value: z.unknown() })

/**
 * Wraps a document with the id of its write and the ids of the writes before it.
 * @param value - the document
 * @param writeId - id of this write
 * @param prior - the version that it replaces
 * @returns the stored text
 */
export function encodeEnvelope (value: unknown, writeId: string, prior: Versioned | undefined): string {
  const writes = [writeId, ...(prior?.writeIds ?? [])].slice(0, REMEMBERED_WRITES)
  return JSON.stringify({ writes, value })
}

/**
 * Reads a stored value.
 * @param kv - as the service holds it
 * @returns the document, or undefined when it is not one of ours
 */
export function decodeEnvelope (kv: RawKeyValue): Versioned | undefined {
  const parsed = envelopeSchema.safeParse(parseJson(kv.value))
  if (!parsed.success) return undefined
  return {
    key: kv.key,
    value: parsed.data.value,
    createRevision: kv.createRevision,
    modRevision: kv.modRevision,
    writeIds: parsed.data.writes
  }
}

/**
 * @param change - that took effect
 * @param revision - of the write
 * @returns the document as the store holds it now, as far as later changes need to know
 */
export function toVersioned<T> (change: { readonly key: string, readonly prior: Versioned | undefined, readonly value: T }, revision: number): Versioned<T> {
  return { key: change.key, value: change.value, createRevision: change.prior?.createRevision ?? revision, modRevision: revision, writeIds: [] }
}
