import { rankMembers } from './rendezvous.ts'

/** A member with less than this share of the strongest one's weight leads only if no stronger one is there. */
const STRONG_SHARE = 0.5

/** A member that could lead. */
export interface Candidate {
  readonly id: string
  /** Processors that it has; 1 if it does not say. */
  readonly weight: number
  /** Resources that it leads now. */
  readonly leads: number
}

/**
 * Says who should lead vacant resources: strong members before weak ones, then those that lead least. The same
 * members and leaders give the same answer everywhere.
 * @param vacant - names of resources without a leader
 * @param candidates - all members
 * @returns for each resource the ids of the members, in the order of their turns
 */
export function rankCandidates (vacant: readonly string[], candidates: readonly Candidate[]): Map<string, string[]> {
  const leads = new Map(candidates.map(({ id, leads }) => [id, leads]))
  const strong = strongOf(candidates)
  const turns = new Map<string, string[]>()
  for (const resource of [...vacant].sort()) {
    const order = rankMembers(resource, candidates.map(({ id }) => id))
    order.sort((a, b) => Number(strong.has(b)) - Number(strong.has(a)) || (leads.get(a) ?? 0) - (leads.get(b) ?? 0))
    turns.set(resource, order)
    const first = order[0]
    if (first !== undefined) leads.set(first, (leads.get(first) ?? 0) + 1)
  }
  return turns
}

/**
 * @param self - id of a member
 * @param candidates - all members that have been there for a while, and this one
 * @returns how many resources the member should hand to others now
 */
export function surplusLeaderships (self: string, candidates: readonly Candidate[]): number {
  const own = candidates.find(({ id }) => id === self)
  if (own === undefined) return 0
  const strong = strongOf(candidates)
  const others = candidates.filter(({ id }) => id !== self && strong.has(id))
  if (others.length === 0) return 0
  if (!strong.has(self)) return own.leads
  const least = Math.min(...others.map(({ leads }) => leads))
  const difference = own.leads - least
  return difference < 2 ? 0 : Math.ceil(difference / candidates.length)
}

function strongOf (candidates: readonly Candidate[]): Set<string> {
  const most = Math.max(...candidates.map(({ weight }) => weight))
  return new Set(candidates.filter(({ weight }) => weight >= most * STRONG_SHARE).map(({ id }) => id))
}
