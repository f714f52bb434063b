import { z } from 'zod'
import type { LeaderRecord } from './leadership.ts'
import type { Member } from './members.ts'

const MAX_NAME_CHARS = 256
const name = z.string().max(MAX_NAME_CHARS)

const memberSchema = z.object({
  id: name.min(1),
  incarnation: name,
  region: name,
  zone: name,
  peerAddress: z.object({ host: name, port: z.number().int().min(0).max(65_535) }),
  weight: z.number().finite().min(0).optional()
})

const leaderSchema = z.object({ id: name, incarnation: name })

/**
 * @param value - value of a stored member record
 * @returns whether it names a member; the record of a later version may have more fields
 */
export function isMember (value: unknown): value is Member {
  return memberSchema.safeParse(value).success
}

/**
 * @param value - value of a stored leader record
 * @returns whether it names a leader
 */
export function isLeaderRecord (value: unknown): value is LeaderRecord {
  return leaderSchema.safeParse(value).success
}
