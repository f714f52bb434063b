import { parseJson } from '@wisteriaslip/core.result'
import { z } from 'zod'
import type { RawKeyValue, Versioned } from './types.ts'

/**
 * Number of write ids that are stored with a value, newest first. The outcome of a write whose reply was lost can be
 * determined as long as fewer writes than this followed it and none of them was based on a version from
 * {@link toVersioned}, which carries no write ids: such a write starts the list anew.
 */
export const MAX_WRITE_IDS = 8

/** Far more than any document has; a few thousand levels can be parsed but not encoded again. */
const MAX_LEVELS = 100

const envelopeSchema = z.object({ writes: z.array(z.string()), value: z.unknown() })

/**
 * Encodes a document for storage, together with the ids of this write and of the writes before it.
 * @param value - the document
 * @param writeId - id of this write
 * @param prior - the version that is replaced; undefined when the key is new
 * @returns the value to store, as JSON
 */
export function encodeEnvelope (value: unknown, writeId: string, prior: Versioned | undefined): string {
  const writes = [writeId, ...(prior?.writeIds ?? [])].slice(0, MAX_WRITE_IDS)
  return JSON.stringify({ writes, value })
}

/**
 * Decodes a stored value.
 * @param kv - key and value as stored by the service
 * @returns the document, or undefined when the value was not written by {@link encodeEnvelope}, or is nested too deeply
 */
export function decodeEnvelope (kv: RawKeyValue): Versioned | undefined {
  const parsed = envelopeSchema.safeParse(parseJson(kv.value))
  if (!parsed.success || isNestedDeeper(parsed.data.value, MAX_LEVELS)) return undefined
  return {
    key: kv.key,
    value: parsed.data.value,
    createRevision: kv.createRevision,
    modRevision: kv.modRevision,
    writeIds: parsed.data.writes
  }
}

/**
 * Builds the version that a successful write produced, for use as `prior` of a later change. Its `writeIds` are empty, so
 * the write that follows stores only its own id and earlier writes are no longer found.
 * @param change - the change that was applied
 * @param revision - revision of the write
 * @returns the new version of the document
 */
export function toVersioned<T> (change: { readonly key: string, readonly prior: Versioned | undefined, readonly value: T }, revision: number): Versioned<T> {
  return { key: change.key, value: change.value, createRevision: change.prior?.createRevision ?? revision, modRevision: revision, writeIds: [] }
}

function isNestedDeeper (value: unknown, levels: number): boolean {
  if (typeof value !== 'object' || value === null) return false
  if (levels === 0) return true
  for (const key in value) {
    if (isNestedDeeper((value as Record<string, unknown>)[key], levels - 1)) return true
  }
  return false
}
