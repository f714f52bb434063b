import type { Resources } from '@wisteriaslip/jobs.model'
import type { QuotaRecord, Wants } from './parts.ts'
import { each, hasRoomFor, minus, nothing, plus } from './resources.ts'

interface Claim {
  readonly service: string
  readonly total: Resources
  readonly atOnce: Resources
  readonly turn: number
}

/**
 * Shares an account's quota among the services that want of it, max-min fair for each resource: first what each needs at once, by
 * their turns, as a part that is too small for one task is of no use; then the rest. A service that lacks nothing claims its part.
 * All services compute the same shares from one record, but for what each knows of itself.
 * @param record - the account's record, undefined if there is none
 * @param service - a service
 * @param opts - `limits`: the quota, infinity for no limit; `wanted`: what the service wants itself
 * @returns the service's share
 */
export function shareFairly (record: QuotaRecord | undefined, service: string, opts: { limits: Resources, wanted: Wants }): Resources {
  const others = Object.entries(record?.parts ?? {}).filter(([name]) => name !== service).map(([name, { given, wants }]): Claim => {
    return { service: name, ...(wants ?? { total: given, atOnce: nothing, turn: Infinity }) }
  })
  const claims = [...others, { service, ...opts.wanted }].sort((a, b) => compareTurns(a, b))
  const shares = new Map<string, Resources>()
  let left = opts.limits
  for (const claim of claims) {
    const first = hasRoomFor(nothing, claim.atOnce, left) ? claim.atOnce : nothing
    shares.set(claim.service, first)
    left = minus(left, first)
  }
  const rest = each(dimension => fillEvenly(claims.map(claim => ({ service: claim.service, wanted: Math.max(0, claim.total[dimension] - (shares.get(claim.service) ?? nothing)[dimension]) })), left[dimension]).get(service) ?? 0)
  return plus(shares.get(service) ?? nothing, rest)
}

function compareTurns (a: Claim, b: Claim): number {
  if (a.turn !== b.turn) return a.turn < b.turn ? -1 : 1
  return a.service < b.service ? -1 : 1
}

/** Serves the smallest claims whole, and splits the rest evenly. */
function fillEvenly (claims: ReadonlyArray<{ readonly service: string, readonly wanted: number }>, room: number): Map<string, number> {
  const filled = new Map<string, number>()
  let left = room
  const sorted = [...claims].sort((a, b) => a.wanted - b.wanted)
  for (const [index, { service, wanted }] of sorted.entries()) {
    const share = Math.min(wanted, Math.floor(left / (sorted.length - index)))
    filled.set(service, share)
    left -= share
  }
  return filled
}
