import { z } from 'zod'
import type { QuotaRecord } from './parts.ts'

const amount = z.number().finite().min(0)
const resources = z.object({ cpu: amount, memMb: amount, accelerators: amount })
const part = z.object({ given: resources, wants: z.object({ total: resources, atOnce: resources, turn: amount }).optional() })
const schema = z.object({ quota: resources, parts: z.record(part) })

/**
 * @param value - a stored value
 * @returns whether it is an account's record
 */
export function isQuotaRecord (value: unknown): value is QuotaRecord {
  return schema.safeParse(value).success
}
