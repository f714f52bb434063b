/** What a pool asks for. */
export interface PoolRequest {
  readonly name: string
  /** Number of VMs that its running, waiting and expected tasks require. */
  readonly required: number
  /** Number of VMs that its long-running tasks require; granted first. */
  readonly lasting: number
  /** Number of VMs that it requires without jobs beyond the weights of their client accounts; undefined if there are none. */
  readonly owed?: number | undefined
}

/**
 * Shares VMs among pools. While there are enough, each pool gets what it requires. Otherwise the shares are max-min fair:
 * one VM for each pool that requires any first, then long-running tasks, then one VM at a time for the pool with the
 * smallest share that still requires more, for jobs within the weights of their client accounts first. So a small pool gets all it requires however much the large ones ask for.
 * @param requests - what each pool asks for
 * @param total - number of VMs to share
 * @returns number of VMs by pool
 */
export function shareVms (requests: readonly PoolRequest[], total: number): Map<string, number> {
  const required = requests.reduce((sum, request) => sum + request.required, 0)
  if (required <= total) return new Map(requests.map(({ name, required }) => [name, required]))
  const shares = new Map(requests.map(({ name }) => [name, 0]))
  const afterMinimum = raise(requests, shares, { left: total, limitOf: ({ required }) => Math.min(1, required) })
  const afterLasting = raise(requests, shares, { left: afterMinimum, limitOf: ({ required, lasting }) => Math.min(lasting, required) })
  const afterOwed = raise(requests, shares, { left: afterLasting, limitOf: ({ required, owed }) => Math.min(owed ?? required, required) })
  raise(requests, shares, { left: afterOwed, limitOf: ({ required }) => required })
  return shares
}

/** Raises the smallest shares one VM at a time up to the limit of each pool; returns the number of VMs that are left. */
function raise (requests: readonly PoolRequest[], shares: Map<string, number>, opts: { left: number, limitOf: (request: PoolRequest) => number }): number {
  const shareOf = ({ name }: PoolRequest): number => shares.get(name) ?? 0
  let { left } = opts
  for (; left > 0; left--) {
    const open = requests.filter(request => shareOf(request) < opts.limitOf(request))
    const smallest = open.sort((a, b) => shareOf(a) - shareOf(b))[0]
    if (smallest === undefined) break
    shares.set(smallest.name, shareOf(smallest) + 1)
  }
  return left
}
