import { rankMembers } from './rendezvous.ts'

/** A member with less than this share of the highest weight is weak: it leads only if no strong member does. */
const MIN_STRONG_WEIGHT_RATIO = 0.5

/** A member that can lead resources. */
export interface Candidate {
  readonly id: string
  /** CPU cores available to the member; 1 if it does not report them. */
  readonly weight: number
  /** Number of resources that it leads. */
  readonly ledCount: number
}

/**
 * Ranks the candidates for each vacant resource: strong members before weak ones, then by the number of resources that
 * they lead, fewest first. The result depends only on the members and leaders, so all members compute the same rankings.
 * @param vacant - names of resources without a leader
 * @param candidates - all members
 * @returns ids of the members by resource, most preferred first
 */
export function rankCandidates (vacant: readonly string[], candidates: readonly Candidate[]): Map<string, string[]> {
  const ledCounts = new Map(candidates.map(({ id, ledCount }) => [id, ledCount]))
  const strong = findStrongMembers(candidates)
  const rankings = new Map<string, string[]>()
  for (const resource of [...vacant].sort()) {
    const order = rankMembers(resource, candidates.map(({ id }) => id))
    order.sort((a, b) => Number(strong.has(b)) - Number(strong.has(a)) || (ledCounts.get(a) ?? 0) - (ledCounts.get(b) ?? 0))
    rankings.set(resource, order)
    const preferred = order[0]
    if (preferred !== undefined) ledCounts.set(preferred, (ledCounts.get(preferred) ?? 0) + 1)
  }
  return rankings
}

/**
 * Computes how many resources a member should release now, so that others can lead them.
 * @param self - id of the member
 * @param candidates - all members that have been present for a while, and this one
 * @returns number of resources
 */
export function surplusLeaderships (self: string, candidates: readonly Candidate[]): number {
  const own = candidates.find(({ id }) => id === self)
  if (own === undefined) return 0
  const strong = findStrongMembers(candidates)
  const others = candidates.filter(({ id }) => id !== self && strong.has(id))
  if (others.length === 0) return 0
  if (!strong.has(self)) return own.ledCount
  const least = Math.min(...others.map(({ ledCount }) => ledCount))
  const difference = own.ledCount - least
  return difference < 2 ? 0 : Math.ceil(difference / candidates.length)
}

function findStrongMembers (candidates: readonly Candidate[]): Set<string> {
  const most = Math.max(...candidates.map(({ weight }) => weight))
  return new Set(candidates.filter(({ weight }) => weight >= most * MIN_STRONG_WEIGHT_RATIO).map(({ id }) => id))
}
