/**
 * Authentication by a shared key in the Authorization header.
 * @module
 */
import { timingSafeEqual } from 'node:crypto'
import type { IncomingMessage } from 'node:http'

/**
 * Checks the bearer token of a request. For a wrong key of the right length, the time taken does not depend on where it
 * differs.
 * @param req - request to authenticate
 * @param key - required key; undefined when the entry runs without keys, and every request is accepted
 * @returns whether the request carries the key
 */
export function hasValidKey (req: IncomingMessage, key: string | undefined): boolean {
  if (key === undefined) return true
  const provided = Buffer.from(req.headers.authorization ?? '')
  const expected = Buffer.from(`Bearer ${key}`)
  return provided.length === expected.length && timingSafeEqual(provided, expected)
}
