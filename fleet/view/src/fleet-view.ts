import type { VmDoc } from '@wisteriaslip/config.documents'
import { emptyLedger, type Disruption, type PoolLedger } from '@wisteriaslip/fleet.ledger'
import type { Mirror } from '@wisteriaslip/store.mirror'
import type { ListedVm } from '@wisteriaslip/fleet.vm-list'
import type { DocumentView } from './document-view.ts'

/** Service status of a VM. */
export type VmStatus = 'in-service' | 'cordoned' | 'draining' | 'rebooting' | 'overdue' | 'leaving' | 'gone'

/** A VM that is assigned to a pool. */
export interface PoolVm {
  readonly vm: VmDoc
  readonly status: VmStatus
  /** Its disruption in the pool's ledger. */
  readonly disruption: Disruption | undefined
  /** Boot id in the platform's latest VM list. */
  readonly bootId: string | undefined
}

/** Options of {@link FleetView}. */
export interface FleetViewOpts {
  readonly documents: DocumentView
  readonly mirror: Mirror
  /** Key prefix of all assignments. */
  readonly assignments: string
  /** Key prefix of all ledgers. */
  readonly ledgers: string
}

/** Current pools and their VMs. */
export class FleetView {
  private readonly opts: FleetViewOpts
  private readonly listeners = new Set<() => void>()
  private listedVms = new Map<string, ListedVm>()
  private index: Map<string, Map<string, PoolVm>> | undefined

  constructor (opts: FleetViewOpts) {
    this.opts = opts
    opts.mirror.subscribe(keys => {
      if (keys.some(key => key.startsWith(opts.assignments) || key.startsWith(opts.ledgers))) this.changed()
    })
    opts.documents.onChange(() => this.changed())
  }

  /** @param listener - called after each change */
  onChange (listener: () => void): void {
    this.listeners.add(listener)
  }

  /**
   * Replaces the platform's VM list.
   * @param listedVms - latest list, which lags behind the actual state of the VMs
   */
  setListedVms (listedVms: readonly ListedVm[]): void {
    const before = this.listedVms
    this.listedVms = new Map(listedVms.map(listedVm => [listedVm.name, listedVm]))
    const same = before.size === this.listedVms.size && listedVms.every(each => {
      const previous = before.get(each.name)
      return previous?.state === each.state && previous.bootId === each.bootId
    })
    if (!same) this.changed()
  }

  /**
   * @param vm - name of a VM
   * @returns its entry in the platform's latest VM list
   */
  listedVm (vm: string): ListedVm | undefined {
    return this.listedVms.get(vm)
  }

  /**
   * @param pool - name of a pool
   * @returns VMs of the pool by name
   */
  vmsOf (pool: string): ReadonlyMap<string, PoolVm> {
    this.index ??= this.buildIndex()
    return this.index.get(pool) ?? new Map()
  }

  /**
   * @param vm - name of a VM
   * @returns name of the pool to which it is assigned
   */
  poolOf (vm: string): string | undefined {
    return this.opts.mirror.get<{ pool: string }>(this.opts.assignments + vm)?.value.pool
  }

  /**
   * @param pool - name of a pool
   * @returns its ledger in the mirror
   */
  ledger (pool: string): PoolLedger {
    return this.opts.mirror.get<PoolLedger>(this.opts.ledgers + pool)?.value ?? emptyLedger
  }

  private changed (): void {
    this.index = undefined
    for (const listener of this.listeners) listener()
  }

  private buildIndex (): Map<string, Map<string, PoolVm>> {
    const index = new Map<string, Map<string, PoolVm>>()
    for (const vm of this.opts.documents.config()?.vms.values() ?? []) {
      const pool = this.poolOf(vm.name)
      if (pool === undefined) continue
      const vms = index.get(pool) ?? new Map<string, PoolVm>()
      index.set(pool, vms)
      vms.set(vm.name, this.toPoolVm(vm, pool))
    }
    return index
  }

  private toPoolVm (vm: VmDoc, pool: string): PoolVm {
    const disruption = this.ledger(pool).places[vm.name]
    const listedVm = this.listedVms.get(vm.name)
    return { vm, disruption, bootId: listedVm?.bootId, status: statusOf(vm, disruption, listedVm) }
  }
}

function statusOf (vm: VmDoc, disruption: Disruption | undefined, listedVm: ListedVm | undefined): VmStatus {
  if (disruption !== undefined) return disruption.phase
  if (listedVm?.state === 'gone') return 'gone'
  if (listedVm?.state === 'leaving') return 'leaving'
  return vm.cordoned ? 'cordoned' : 'in-service'
}
