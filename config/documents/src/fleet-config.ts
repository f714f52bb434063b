import type { ClassDoc, Document, DocumentOf, DocumentKind, PoolDoc, TenantDoc, VmDoc, WaveDoc, WorkloadDoc } from './schema.ts'
import { matchesSelector } from './selector.ts'

/** Immutable index of all documents in effect. It is rebuilt after each change of the configuration. */
export class FleetConfig {
  readonly classes: ReadonlyMap<string, ClassDoc>
  readonly vms: ReadonlyMap<string, VmDoc>
  readonly pools: readonly PoolDoc[]
  readonly workloads: readonly WorkloadDoc[]
  readonly tenants: readonly TenantDoc[]
  readonly waves: readonly WaveDoc[]
  private readonly wavesDeclaredIn: ReadonlyMap<string, number>
  private readonly poolByName: ReadonlyMap<string, PoolDoc>
  private readonly poolByWorkload: ReadonlyMap<string, PoolDoc>
  private readonly workloadsByPool: ReadonlyMap<string, readonly WorkloadDoc[]>
  private readonly tenantByKey: ReadonlyMap<string, TenantDoc>
  private readonly tenantByName: ReadonlyMap<string, TenantDoc>
  private readonly tenantWithoutKey: TenantDoc | undefined

  /**
   * @param documents - all documents
   * @param wavesDeclaredIn - generation of the configuration in which each wave was declared, by its name
   */
  constructor (documents: readonly Document[], wavesDeclaredIn: ReadonlyMap<string, number> = new Map()) {
    this.wavesDeclaredIn = wavesDeclaredIn
    this.classes = new Map(ofKind(documents, 'class').map(doc => [doc.name, doc]))
    this.vms = new Map(ofKind(documents, 'vm').map(doc => [doc.name, doc]))
    this.pools = ofKind(documents, 'pool').sort(comparePoolOrder)
    this.workloads = ofKind(documents, 'workload').sort(compareSpecificity)
    this.tenants = ofKind(documents, 'tenant')
    this.waves = ofKind(documents, 'wave')
    this.poolByName = new Map(this.pools.map(pool => [pool.name, pool]))
    this.poolByWorkload = indexPoolsByWorkload(this.workloads, this.pools)
    this.workloadsByPool = groupWorkloadsByPool(this.workloads, this.poolByWorkload)
    this.tenantByKey = new Map(this.tenants.flatMap(doc => doc.keySha256 === undefined ? [] : [[doc.keySha256, doc] as const]))
    this.tenantByName = new Map(this.tenants.map(doc => [doc.name, doc]))
    this.tenantWithoutKey = this.tenants.find(doc => doc.keySha256 === undefined)
  }

  /**
   * @param method - HTTP method
   * @param path - path without the query
   * @returns the matching workload with the longest path prefix, undefined when none matches
   */
  workloadFor (method: string, path: string): WorkloadDoc | undefined {
    return this.workloads.find(({ match }) => {
      const methodMatches = match.methods === undefined || (match.methods as string[]).includes(method)
      return methodMatches && matchesPathPrefix(path, match.pathPrefix)
    })
  }

  /**
   * @param workload - name of a workload
   * @returns the pool that runs the workload, undefined when there is none
   */
  poolFor (workload: string): PoolDoc | undefined {
    return this.poolByWorkload.get(workload)
  }

  /**
   * @param wave - name of a wave
   * @returns the generation of the configuration in which it was declared, which tells it from earlier waves of its name;
   * undefined for a wave of a version that did not record it
   */
  waveDeclaredIn (wave: string): number | undefined {
    return this.wavesDeclaredIn.get(wave)
  }

  /**
   * @param name - name of a pool
   * @returns the pool, undefined when there is none
   */
  pool (name: string): PoolDoc | undefined {
    return this.poolByName.get(name)
  }

  /**
   * @param pool - name of a pool
   * @returns the longest `maxRunMs` of its workloads, in milliseconds; 0 when it has none
   */
  maxRunMs (pool: string): number {
    const runs = (this.workloadsByPool.get(pool) ?? []).map(workload => workload.maxRunMs)
    return Math.max(0, ...runs)
  }

  /**
   * @param tenant - name of a client account
   * @returns its weight relative to other accounts; 1 when the account does not exist
   */
  quotaOf (tenant: string): number {
    return this.tenantByName.get(tenant)?.quota ?? 1
  }

  /**
   * @param keySha256 - SHA-256 in hex of the key that the caller sent, undefined when it sent none
   * @returns the client account, undefined when no account matches
   */
  tenantFor (keySha256: string | undefined): TenantDoc | undefined {
    return keySha256 === undefined ? this.tenantWithoutKey : this.tenantByKey.get(keySha256)
  }
}

function ofKind<K extends DocumentKind> (documents: readonly Document[], kind: K): Array<DocumentOf<K>> {
  return documents.filter((doc): doc is DocumentOf<K> => doc.kind === kind)
}

function comparePoolOrder (a: PoolDoc, b: PoolDoc): number {
  return a.order - b.order || a.name.localeCompare(b.name)
}

function compareSpecificity (a: WorkloadDoc, b: WorkloadDoc): number {
  const length = b.match.pathPrefix.length - a.match.pathPrefix.length
  const specific = Number(a.match.methods === undefined) - Number(b.match.methods === undefined)
  return length || specific || a.name.localeCompare(b.name)
}

function matchesPathPrefix (path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false
  return prefix.endsWith('/') || path.length === prefix.length || path[prefix.length] === '/'
}

function indexPoolsByWorkload (workloads: readonly WorkloadDoc[], pools: readonly PoolDoc[]): Map<string, PoolDoc> {
  const index = new Map<string, PoolDoc>()
  for (const workload of workloads) {
    const pool = pools.find(each => matchesSelector(workload.poolSelector, each.labels))
    if (pool !== undefined) index.set(workload.name, pool)
  }
  return index
}

function groupWorkloadsByPool (workloads: readonly WorkloadDoc[], pools: ReadonlyMap<string, PoolDoc>): Map<string, WorkloadDoc[]> {
  const groups = new Map<string, WorkloadDoc[]>()
  for (const workload of workloads) {
    const pool = pools.get(workload.name)
    if (pool === undefined) continue
    const group = groups.get(pool.name) ?? []
    group.push(workload)
    groups.set(pool.name, group)
  }
  return groups
}
