/** A participant in a division. */
export interface ShareRequest {
  readonly id: string
  /** Upper bound of the share, in whole units. */
  readonly maxUnits: number
  /** Shares below their upper bound are proportional to the weights. */
  readonly weight: number
}

/**
 * Weighted max-min fair division into whole units: no share exceeds its upper bound, and what a participant does not
 * need is divided among the others.
 * @param total - whole units to divide
 * @param requests - the participants
 * @returns units by id
 */
export function maxMinFairShares (total: number, requests: readonly ShareRequest[]): Map<string, number> {
  const shares = fractionalShares(total, requests)
  return roundShares(Math.min(total, sum(requests.map(request => request.maxUnits))), requests, shares)
}

function fractionalShares (total: number, requests: readonly ShareRequest[]): Map<string, number> {
  const shares = new Map<string, number>()
  let left = total
  let unsatisfied = requests.filter(request => request.maxUnits > 0)
  while (unsatisfied.length > 0 && left > 1e-9) {
    const unitsPerWeight = left / sum(unsatisfied.map(request => request.weight))
    const satisfied = unsatisfied.filter(request => request.maxUnits <= unitsPerWeight * request.weight)
    if (satisfied.length === 0) {
      for (const request of unsatisfied) shares.set(request.id, unitsPerWeight * request.weight)
      return shares
    }
    for (const request of satisfied) {
      shares.set(request.id, request.maxUnits)
      left -= request.maxUnits
    }
    unsatisfied = unsatisfied.filter(request => !satisfied.includes(request))
  }
  return shares
}

function roundShares (total: number, requests: readonly ShareRequest[], shares: ReadonlyMap<string, number>): Map<string, number> {
  const rounded = new Map<string, number>()
  for (const { id } of requests) rounded.set(id, Math.floor((shares.get(id) ?? 0) + 1e-9))
  let left = total - sum([...rounded.values()])
  const byFractionalPart = requests
    .filter(({ id, maxUnits }) => maxUnits > (rounded.get(id) ?? 0))
    .sort((a, b) => fractionalPart(shares, b.id) - fractionalPart(shares, a.id) || a.id.localeCompare(b.id))
  for (const { id } of byFractionalPart) {
    if (left < 1) break
    rounded.set(id, (rounded.get(id) ?? 0) + 1)
    left -= 1
  }
  return rounded
}

function fractionalPart (shares: ReadonlyMap<string, number>, id: string): number {
  const share = shares.get(id) ?? 0
  return share - Math.floor(share + 1e-9)
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
