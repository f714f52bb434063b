/** One claimant of a shared amount. */
export interface ShareRequest {
  readonly id: string
  readonly want: number
  readonly weight: number
}

/**
 * Weighted max-min fairness in whole units: nobody gets more than it wants, and what one leaves is shared by the rest.
 * @param total - whole units to share
 * @param requests - the claimants
 * @returns units by id
 */
export function maxMinFairShares (total: number, requests: readonly ShareRequest[]): Map<string, number> {
  const shares = fairShares(total, requests)
  return roundShares(Math.min(total, sum(requests.map(request => request.want))), requests, shares)
}

function fairShares (total: number, requests: readonly ShareRequest[]): Map<string, number> {
  const shares = new Map<string, number>()
  let left = total
  let open = requests.filter(request => request.want > 0)
  while (open.length > 0 && left > 1e-9) {
    const level = left / sum(open.map(request => request.weight))
    const filled = open.filter(request => request.want <= level * request.weight)
    if (filled.length === 0) {
      for (const request of open) shares.set(request.id, level * request.weight)
      return shares
    }
    for (const request of filled) {
      shares.set(request.id, request.want)
      left -= request.want
    }
    open = open.filter(request => !filled.includes(request))
  }
  return shares
}

function roundShares (total: number, requests: readonly ShareRequest[], shares: ReadonlyMap<string, number>): Map<string, number> {
  const rounded = new Map<string, number>()
  for (const { id } of requests) rounded.set(id, Math.floor((shares.get(id) ?? 0) + 1e-9))
  let left = total - sum([...rounded.values()])
  const byRemainder = requests
    .filter(({ id, want }) => want > (rounded.get(id) ?? 0))
    .sort((a, b) => remainder(shares, b.id) - remainder(shares, a.id) || a.id.localeCompare(b.id))
  for (const { id } of byRemainder) {
    if (left < 1) break
    rounded.set(id, (rounded.get(id) ?? 0) + 1)
    left -= 1
  }
  return rounded
}

function remainder (shares: ReadonlyMap<string, number>, id: string): number {
  const share = shares.get(id) ?? 0
  return share - Math.floor(share + 1e-9)
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
