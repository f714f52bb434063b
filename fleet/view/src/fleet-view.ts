import type { VmDoc } from '@wisteriaslip/config.documents'
import { emptyLedger, type Disruption, type PoolLedger } from '@wisteriaslip/fleet.ledger'
import type { Mirror } from '@wisteriaslip/store.mirror'
import type { ListedVm } from '@wisteriaslip/fleet.vm-list'
import type { DocumentView } from './document-view.ts'

/** How a VM stands. */
export type VmStatus = 'in-service' | 'cordoned' | 'draining' | 'rebooting' | 'overdue' | 'leaving' | 'gone'

/** A VM of a pool. */
export interface PoolVm {
  readonly vm: VmDoc
  readonly status: VmStatus
  readonly disruption: Disruption | undefined
  readonly bootId: string | undefined
}

/** Where the view reads from. */
export interface FleetViewOpts {
  readonly documents: DocumentView
  readonly mirror: Mirror
  readonly assignments: string
  readonly ledgers: string
}

/** Pools and their VMs as of now. */
export class FleetView {
  private readonly opts: FleetViewOpts
  private readonly listeners = new Set<() => void>()
  private sightings = new Map<string, ListedVm>()
  private index: Map<string, Map<string, PoolVm>> | undefined

  constructor (opts: FleetViewOpts) {
    this.opts = opts
    opts.mirror.subscribe(keys => {
      if (keys.some(key => key.startsWith(opts.assignments) || key.startsWith(opts.ledgers))) this.changed()
    })
    opts.documents.onChange(() => this.changed())
  }

  /** @param listener - told after each change */
  onChange (listener: () => void): void {
    this.listeners.add(listener)
  }

  /**
   * Takes in the platform's latest list.
   * @param sightings - which lag behind the VMs
   */
  setListedVms (sightings: readonly ListedVm[]): void {
    const before = this.sightings
    this.sightings = new Map(sightings.map(sighting => [sighting.name, sighting]))
    const same = before.size === this.sightings.size && sightings.every(each => {
      const known = before.get(each.name)
      return known?.state === each.state && known.bootId === each.bootId
    })
    if (!same) this.changed()
  }

  /**
   * @param vm - name of a VM
   * @returns how the platform last listed it
   */
  listedVm (vm: string): ListedVm | undefined {
    return this.sightings.get(vm)
  }

  /**
   * @param pool - name of a pool
   * @returns its VMs by name
   */
  vmsOf (pool: string): ReadonlyMap<string, PoolVm> {
    this.index ??= this.build()
    return this.index.get(pool) ?? new Map()
  }

  /**
   * @param vm - name of a VM
   * @returns the pool it is assigned to
   */
  poolOf (vm: string): string | undefined {
    return this.opts.mirror.get<{ pool: string }>(this.opts.assignments + vm)?.value.pool
  }

  /**
   * @param pool - name of a pool
   * @returns its ledger as last known
   */
  ledger (pool: string): PoolLedger {
    return this.opts.mirror.get<PoolLedger>(this.opts.ledgers + pool)?.value ?? emptyLedger
  }

  private changed (): void {
    this.index = undefined
    for (const listener of this.listeners) listener()
  }

  private build (): Map<string, Map<string, PoolVm>> {
    const index = new Map<string, Map<string, PoolVm>>()
    for (const vm of this.opts.documents.config()?.vms.values() ?? []) {
      const pool = this.poolOf(vm.name)
      if (pool === undefined) continue
      const vms = index.get(pool) ?? new Map<string, PoolVm>()
      index.set(pool, vms)
      vms.set(vm.name, this.pooled(vm, pool))
    }
    return index
  }

  private pooled (vm: VmDoc, pool: string): PoolVm {
    const place = this.ledger(pool).places[vm.name]
    const sighting = this.sightings.get(vm.name)
    return { vm, disruption: place, bootId: sighting?.bootId, status: statusOf(vm, place, sighting) }
  }
}

function statusOf (vm: VmDoc, place: Disruption | undefined, sighting: ListedVm | undefined): VmStatus {
  if (place !== undefined) return place.phase
  if (sighting?.state === 'gone') return 'gone'
  if (sighting?.state === 'leaving') return 'leaving'
  return vm.cordoned ? 'cordoned' : 'in-service'
}
