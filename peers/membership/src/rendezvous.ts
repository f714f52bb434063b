import { createHash } from 'node:crypto'

const scoreCache = new Map<string, number>()
const MAX_CACHED_SCORES = 50_000

/**
 * Ranks members for a resource by rendezvous hashing. A member that joins or leaves does not change the order of the
 * others.
 * @param resource - name of the resource
 * @param ids - ids of the members
 * @returns the ids, most preferred first
 */
export function rankMembers (resource: string, ids: readonly string[]): string[] {
  return [...ids].sort((a, b) => score(resource, b) - score(resource, a) || a.localeCompare(b))
}

function score (resource: string, id: string): number {
  const key = `${resource}\n${id}`
  const cached = scoreCache.get(key)
  if (cached !== undefined) return cached
  if (scoreCache.size >= MAX_CACHED_SCORES) scoreCache.clear()
  const value = createHash('sha1').update(key).digest().readUIntBE(0, 6)
  scoreCache.set(key, value)
  return value
}
