import { createHash } from 'node:crypto'

const scores = new Map<string, number>()
const MAX_CACHED_SCORES = 50_000

/**
 * Orders members for a resource by rendezvous hashing: a member that comes or goes changes only its own places.
 * @param resource - name of the resource
 * @param ids - ids of the members
 * @returns the ids, most preferred first
 */
export function rankMembers (resource: string, ids: readonly string[]): string[] {
  return [...ids].sort((a, b) => score(resource, b) - score(resource, a) || a.localeCompare(b))
}

function score (resource: string, id: string): number {
  const key = `${resource}\n${id}`
  const known = scores.get(key)
  if (known !== undefined) return known
  if (scores.size >= MAX_CACHED_SCORES) scores.clear()
  const value = createHash('sha1').update(key).digest().readUIntBE(0, 6)
  scores.set(key, value)
  return value
}
