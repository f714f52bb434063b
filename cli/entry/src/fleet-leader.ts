import { matchesSelector, type FleetConfig, type PoolDoc, type VmDoc } from '@wisteriaslip/config.documents'
import { LedgerStore, disruptionsAllowed, addDisruption, type Disruption } from '@wisteriaslip/fleet.ledger'
import { requiredBufferSize, MovePlanner, type MovablePool } from '@wisteriaslip/fleet.pools'
import { DisruptionController, type VmObservation } from '@wisteriaslip/fleet.waves'
import type { VmStatus } from '@wisteriaslip/fleet.view'
import type { VmPlatform } from '@wisteriaslip/fleet.vm-list'
import { HolderRecordCleaner } from './holder-record-cleaner.ts'
import { acceptsConnections } from './probe.ts'
import { fleetResource, poolResource } from './resources.ts'
import type { SlotLeader } from './slot-leader.ts'
import type { CallMember } from './slot-reporter.ts'
import type { EntryState } from './state.ts'

/** Maximum number of VMs assigned in one write. */
const MAX_ASSIGNMENTS_PER_STEP = 40
const MOVE_PLANNING_INTERVAL_MS = 2_000
const LOADS_TIMEOUT_MS = 1_000
const OUT_OF_SERVICE: ReadonlySet<VmStatus> = new Set(['gone', 'leaving', 'cordoned'])

/** Options of {@link FleetLeader}. */
export interface FleetLeaderOpts {
  readonly state: EntryState
  readonly leader: SlotLeader
  readonly platform: VmPlatform | undefined
  readonly signal: AbortSignal
  readonly call: CallMember
}

/**
 * Makes the decisions about VMs: as the fleet's leader it assigns and moves them, as a pool's leader it controls their
 * disruption.
 */
export class FleetLeader {
  private readonly opts: FleetLeaderOpts
  private readonly ledgerStore: LedgerStore
  private readonly disruptionController: DisruptionController
  private readonly movePlanner: MovePlanner
  private readonly holderRecordCleaner: HolderRecordCleaner
  private lastMovePlanningAt = Number.NEGATIVE_INFINITY

  constructor (opts: FleetLeaderOpts) {
    this.opts = opts
    const { store, keys, fleet, decisions } = opts.state
    this.ledgerStore = new LedgerStore(store, { ledgers: keys.ledgers, assignments: keys.assignments })
    this.disruptionController = new DisruptionController({
      ledgers: this.ledgerStore,
      decisions,
      wallClock: Date.now,
      ledger: pool => fleet.ledger(pool),
      observe: async (pool, vm) => await this.observe(pool, vm),
      failed: pool => this.failed(pool),
      reboot: async (vm, rebootId) => await this.reboot(vm, rebootId)
    })
    this.holderRecordCleaner = new HolderRecordCleaner(opts.state)
    this.movePlanner = new MovePlanner({ isEligible: (vm, pool) => this.isEligible(vm, pool), requiredBuffer: () => this.requiredBufferVms() })
  }

  /** Runs one step of the fleet and of each pool, as far as this entry leads them. */
  async step (): Promise<void> {
    const { documents, leadership } = this.opts.state
    const config = documents.config()
    if (config === undefined) return
    await this.assignNewVms(config)
    await this.planMoves(config)
    await this.holderRecordCleaner.step()
    for (const pool of config.pools) {
      const resource = poolResource(pool.name)
      const token = leadership.token(resource)
      if (token !== undefined) await this.disruptionController.step(config, pool, leadership.guard(resource, token))
    }
  }

  private async assignNewVms (config: FleetConfig): Promise<void> {
    const { leadership, fleet, decisions, mirror } = this.opts.state
    const token = leadership.token(fleetResource)
    if (token === undefined) return
    const newAssignments: Array<{ vm: string, pool: string }> = []
    for (const vm of config.vms.values()) {
      if (newAssignments.length === MAX_ASSIGNMENTS_PER_STEP) break
      if (fleet.poolOf(vm.name) !== undefined) continue
      const pool = eligiblePool(config, vm)
      if (pool === undefined) decisions.record('vm', vm.name, 'NO_POOL_SELECTS_IT', { labels: vm.labels })
      else newAssignments.push({ vm: vm.name, pool: pool.name })
    }
    if (newAssignments.length === 0) return
    const assigned = await this.ledgerStore.assignVms(newAssignments, [leadership.guard(fleetResource, token)], key => mirror.get(key))
    for (const { vm, pool } of newAssignments) decisions.record('vm', vm, assigned.ok ? 'ASSIGNED' : assigned.error.code, { pool })
  }

  /**
   * Starts moves of VMs between spare pools and pools with forecast demand. Each move first adds a disruption to the
   * source pool's ledger, within its budget.
   */
  private async planMoves (config: FleetConfig): Promise<void> {
    const { leadership, clock, decisions } = this.opts.state
    const token = leadership.token(fleetResource)
    if (token === undefined || clock.now() - this.lastMovePlanningAt < MOVE_PLANNING_INTERVAL_MS) return
    this.lastMovePlanningAt = clock.now()
    const guard = leadership.guard(fleetResource, token)
    for (const move of this.movePlanner.plan(await this.movablePools(config), clock.now())) {
      const pool = config.pool(move.from)
      if (pool === undefined) continue
      const disruption: Disruption = { reason: 'move', to: move.to, phase: 'draining', since: Date.now() }
      const updated = await this.ledgerStore.updateLedger(pool.name, guard, ledger => addDisruption(pool, ledger, move.vm, disruption, { failed: this.failed(pool.name) }))
      decisions.record('vm', move.vm, updated.ok ? move.reason : updated.error.code, { from: move.from, to: move.to })
    }
  }

  private async movablePools (config: FleetConfig): Promise<MovablePool[]> {
    const { members, fleet } = this.opts.state
    const replies = await Promise.all(members.all().map(async member => await this.opts.call(member, 'loads', undefined, LOADS_TIMEOUT_MS)))
    const loads = new Map(replies.flatMap(reply => reply.ok ? reply.value : []).map(load => [load.pool, load]))
    const pools: MovablePool[] = []
    for (const pool of config.pools) {
      const load = loads.get(pool.name)
      if (load === undefined) continue
      const ledger = fleet.ledger(pool.name)
      const vms = ledger.members.filter(vm => ledger.places[vm] === undefined)
      const canReleaseVm = Object.keys(ledger.places).length === 0 && disruptionsAllowed(pool, ledger, { failed: this.failed(pool.name) }) > 0
      pools.push({ name: pool.name, spare: pool.spare, capacity: load.capacity, demand: load.demand, vms, canReleaseVm })
    }
    return pools
  }

  private isEligible (vm: string, pool: string): boolean {
    const config = this.opts.state.documents.config()
    const vmDoc = config?.vms.get(vm)
    const selector = config?.pool(pool)?.selector
    return vmDoc !== undefined && selector !== undefined && matchesSelector(selector, vmDoc.labels)
  }

  /** Returns how many spare VMs are needed to compensate for the loss of any one rack at the current forecast. */
  private requiredBufferVms (): number {
    const { documents, fleet } = this.opts.state
    const config = documents.config()
    const requirements = (config?.pools ?? []).filter(pool => !pool.spare).map(pool => {
      const vms = [...fleet.vmsOf(pool.name).values()]
      const slots = Math.max(1, ...vms.map(({ vm }) => vm.slots))
      return { pool: pool.name, requiredVms: Math.ceil(this.movePlanner.forecast(pool.name) / slots), racks: vms.map(({ vm }) => vm.rack) }
    })
    return requiredBufferSize(requirements)
  }

  private async observe (pool: string, vm: string): Promise<VmObservation> {
    const { fleet, documents } = this.opts.state
    const listedVm = fleet.listedVm(vm)
    const allocator = this.opts.leader.activeAllocator(pool)
    const address = documents.config()?.vms.get(vm)?.address
    return {
      drained: allocator !== undefined && allocator.taken(vm) === 0,
      liveBootId: listedVm?.state === 'live' ? listedVm.bootId : undefined,
      reachable: address !== undefined && await acceptsConnections(address),
      now: Date.now()
    }
  }

  /**
   * Returns the VMs that are gone, leaving or cordoned, or avoided because entries reported them as leaving or
   * unreachable. VMs under disruption are excluded, because their disruptions already count against the budget.
   */
  private failed (pool: string): ReadonlySet<string> {
    const { fleet } = this.opts.state
    const places = fleet.ledger(pool).places
    const outOfService = [...fleet.vmsOf(pool)].filter(([, vm]) => OUT_OF_SERVICE.has(vm.status)).map(([name]) => name)
    const avoidedVms = this.opts.leader.activeAllocator(pool)?.avoidedTargets() ?? []
    return new Set([...outOfService, ...avoidedVms].filter(vm => places[vm] === undefined))
  }

  /** @returns whether the platform has accepted the request */
  private async reboot (vm: string, rebootId: string): Promise<boolean> {
    const response = await this.opts.platform?.reboot(vm, rebootId, this.opts.signal)
    if (response?.ok === false) this.opts.state.decisions.record('vm', vm, response.error.code, {})
    return response?.ok === true
  }
}

/** Where the selectors of several pools match the VM, the pool with the lowest order wins. */
function eligiblePool (config: FleetConfig, vm: VmDoc): PoolDoc | undefined {
  return config.pools.find(pool => matchesSelector(pool.selector, vm.labels))
}
