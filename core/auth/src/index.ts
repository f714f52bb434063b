/**
 * Proof by a shared key in the Authorization header.
 * @module
 */
import { timingSafeEqual } from 'node:crypto'
import type { IncomingMessage } from 'node:http'

/**
 * @param req - from somebody who must show the key
 * @param key - that must be shown; undefined in a trial, where nobody needs one
 * @returns whether the key was shown; takes the same time wherever a wrong one differs
 */
export function hasValidKey (req: IncomingMessage, key: string | undefined): boolean {
  if (key === undefined) return true
  const shown = Buffer.from(req.headers.authorization ?? '')
  const expected = Buffer.from(`Bearer ${key}`)
  return shown.length === expected.length && timingSafeEqual(shown, expected)
}
