import type { Document } from '@wisteriaslip/config.documents'

type Input = Partial<Document> & { kind: string, name: string }

/** One executor of a site. */
export interface SiteExecutor {
  readonly name: string
  readonly pool: string
  readonly port: number
  readonly zone: string
  readonly rack: string
}

/**
 * Documents of a small site: classes, a tenant without a key, pools, and two workloads for each pool,
 * `/POOL/read` (idempotent) and `/POOL/write` (not).
 * @param pools - names; the last is the spare pool
 * @param executors - of all pools
 * @param opts - slots of each executor, deadline in milliseconds
 * @returns documents to apply
 */
export function siteDocuments (pools: readonly string[], executors: readonly SiteExecutor[], opts: { slots: number, deadlineMs: number }): Input[] {
  const classes = [
    { kind: 'class', name: 'urgent', rank: 0, floor: 0.3 },
    { kind: 'class', name: 'normal', rank: 1, floor: 0.3 },
    { kind: 'class', name: 'background', rank: 2, floor: 0.1 }
  ]
  const tenants = [{ kind: 'tenant', name: 'everyone' }]
  const vms = executors.map(executor => ({
    kind: 'vm',
    name: executor.name,
    role: 'executor',
    address: { host: '127.0.0.1', port: executor.port },
    region: 'here',
    zone: executor.zone,
    rack: executor.rack,
    labels: { service: executor.pool },
    slots: opts.slots
  }))
  const poolDocs = pools.map((name, index) => ({
    kind: 'pool',
    name,
    labels: { service: name },
    selector: { service: name },
    order: index,
    budget: { maxUnavailable: 1 },
    spare: index === pools.length - 1
  }))
  const workloads = pools.flatMap(name => [
    workload(`${name}-read`, `/${name}/read`, name, true, opts.deadlineMs),
    workload(`${name}-write`, `/${name}/write`, name, false, opts.deadlineMs)
  ])
  return [...classes, ...tenants, ...vms, ...poolDocs, ...workloads] as Input[]
}

function workload (name: string, pathPrefix: string, pool: string, idempotent: boolean, deadlineMs: number) {
  return {
    kind: 'workload',
    name,
    match: { pathPrefix },
    poolSelector: { service: pool },
    class: 'normal',
    otherClasses: ['urgent', 'background'],
    idempotent,
    deadlineMs,
    maxRunMs: Math.min(deadlineMs, 2_000)
  }
}
