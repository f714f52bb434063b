import type { Document } from '@wisteriaslip/config.documents'

type DocumentInput = Partial<Document> & { kind: string, name: string }

/** An executor VM of a site; the executor listens on loopback. */
export interface SiteExecutor {
  readonly name: string
  readonly pool: string
  readonly port: number
  readonly zone: string
  readonly rack: string
}

/**
 * Creates the documents of a small site: classes, a client account without a key, VMs, pools, and two workloads for
 * each pool, `/POOL/read` (idempotent) and `/POOL/write` (not idempotent).
 * @param pools - names of the pools; the last one is the spare pool
 * @param executors - executors of all pools
 * @param opts - slots of each executor, deadline of the workloads in milliseconds
 * @returns documents to apply
 */
export function createSiteDocuments (pools: readonly string[], executors: readonly SiteExecutor[], opts: { slots: number, deadlineMs: number }): DocumentInput[] {
  const classes = [
    { kind: 'class', name: 'urgent', rank: 0, floor: 0.3 },
    { kind: 'class', name: 'normal', rank: 1, floor: 0.3 },
    { kind: 'class', name: 'background', rank: 2, floor: 0.1 }
  ]
  const clientAccounts = [{ kind: 'tenant', name: 'everyone' }]
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
    createWorkload(`${name}-read`, `/${name}/read`, name, true, opts.deadlineMs),
    createWorkload(`${name}-write`, `/${name}/write`, name, false, opts.deadlineMs)
  ])
  return [...classes, ...clientAccounts, ...vms, ...poolDocs, ...workloads] as DocumentInput[]
}

function createWorkload (name: string, pathPrefix: string, pool: string, idempotent: boolean, deadlineMs: number) {
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
