import { connect } from 'node:net'
import { matches, type FleetConfig, type PoolDoc, type VmDoc } from '@wisteriaslip/config.documents'
import { LedgerStore, disruptionsAllowed, addDisruption, type Disruption } from '@wisteriaslip/fleet.ledger'
import { requiredBufferSize, MovePlanner, type MovablePool } from '@wisteriaslip/fleet.pools'
import { DisruptionController, type VmObservation } from '@wisteriaslip/fleet.waves'
import type { VmStatus } from '@wisteriaslip/fleet.view'
import type { VmPlatform } from '@wisteriaslip/fleet.vm-list'
import { DeadHolders } from './dead-holders.ts'
import { fleetResource, poolResource } from './resources.ts'
import type { SlotLeader } from './slot-leader.ts'
import type { CallMember } from './slot-reporter.ts'
import type { EntryState } from './state.ts'

/** How many VMs are assigned in one write. */
const ASSIGNMENTS_PER_STEP = 40
const PROBE_TIMEOUT_MS = 500
const MOVES_PERIOD_MS = 2_000
const LOADS_TIMEOUT_MS = 1_000
const OUT_OF_SERVICE: ReadonlySet<VmStatus> = new Set(['gone', 'leaving', 'cordoned'])

/** What the fleet's leader needs of the entry. */
export interface FleetLeaderOpts {
  readonly state: EntryState
  readonly leader: SlotLeader
  readonly platform: VmPlatform | undefined
  readonly signal: AbortSignal
  readonly call: CallMember
}

/** Decisions on VMs: assignment by the fleet's leader, disruptions by each pool's leader. */
export class FleetLeader {
  private readonly opts: FleetLeaderOpts
  private readonly ledgers: LedgerStore
  private readonly keeper: DisruptionController
  private readonly mover: MovePlanner
  private readonly deadHolders: DeadHolders
  private movesPlannedAt = Number.NEGATIVE_INFINITY

  constructor (opts: FleetLeaderOpts) {
    this.opts = opts
    const { store, keys, fleet, decisions } = opts.state
    this.ledgers = new LedgerStore(store, { ledgers: keys.ledgers, assignments: keys.assignments })
    this.keeper = new DisruptionController({
      ledgers: this.ledgers,
      decisions,
      wallClock: Date.now,
      ledger: pool => fleet.ledger(pool),
      observe: async (pool, vm) => await this.observe(pool, vm),
      failed: pool => this.failed(pool),
      reboot: async (vm, rebootId) => await this.reboot(vm, rebootId)
    })
    this.deadHolders = new DeadHolders(opts.state)
    this.mover = new MovePlanner({ eligible: (vm, pool) => this.isEligible(vm, pool), requiredBuffer: () => this.buffer() })
  }

  /** One step of everything that this entry leads. */
  async step (): Promise<void> {
    const { documents, leadership } = this.opts.state
    const config = documents.config()
    if (config === undefined) return
    await this.assignNew(config)
    await this.planMoves(config)
    await this.deadHolders.step()
    for (const pool of config.pools) {
      const resource = poolResource(pool.name)
      const token = leadership.token(resource)
      if (token !== undefined) await this.keeper.step(config, pool, leadership.guard(resource, token))
    }
  }

  private async assignNew (config: FleetConfig): Promise<void> {
    const { leadership, fleet, decisions, mirror } = this.opts.state
    const token = leadership.token(fleetResource)
    if (token === undefined) return
    const found: Array<{ vm: string, pool: string }> = []
    for (const vm of config.vms.values()) {
      if (found.length === ASSIGNMENTS_PER_STEP) break
      if (fleet.poolOf(vm.name) !== undefined) continue
      const pool = eligiblePool(config, vm)
      if (pool === undefined) decisions.record('vm', vm.name, 'NO_POOL_SELECTS_IT', { labels: vm.labels })
      else found.push({ vm: vm.name, pool: pool.name })
    }
    if (found.length === 0) return
    const assigned = await this.ledgers.assignVms(found, [leadership.guard(fleetResource, token)], key => mirror.get(key))
    for (const { vm, pool } of found) decisions.record('vm', vm, assigned.ok ? 'ASSIGNED' : assigned.error.code, { pool })
  }

  /** The spare pools lend VMs on a forecast of need; every move takes a place in the giving pool's budget first. */
  private async planMoves (config: FleetConfig): Promise<void> {
    const { leadership, clock, decisions } = this.opts.state
    const token = leadership.token(fleetResource)
    if (token === undefined || clock.now() - this.movesPlannedAt < MOVES_PERIOD_MS) return
    this.movesPlannedAt = clock.now()
    const guard = leadership.guard(fleetResource, token)
    for (const move of this.mover.plan(await this.movablePools(config), clock.now())) {
      const pool = config.pool(move.from)
      if (pool === undefined) continue
      const place: Disruption = { reason: 'move', to: move.to, phase: 'draining', since: Date.now() }
      const taken = await this.ledgers.updateLedger(pool.name, guard, ledger => addDisruption(pool, ledger, move.vm, place, { failed: this.failed(pool.name) }))
      decisions.record('vm', move.vm, taken.ok ? move.reason : taken.error.code, { from: move.from, to: move.to })
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
    const doc = config?.vms.get(vm)
    const selector = config?.pool(pool)?.selector
    return doc !== undefined && selector !== undefined && matches(selector, doc.labels)
  }

  /** Spare VMs that make up for the loss of any one rack at the present forecast. */
  private buffer (): number {
    const { documents, fleet } = this.opts.state
    const config = documents.config()
    const needs = (config?.pools ?? []).filter(pool => !pool.spare).map(pool => {
      const vms = [...fleet.vmsOf(pool.name).values()]
      const slots = Math.max(1, ...vms.map(({ vm }) => vm.slots))
      return { pool: pool.name, requiredVms: Math.ceil(this.mover.forecast(pool.name) / slots), racks: vms.map(({ vm }) => vm.rack) }
    })
    return requiredBufferSize(needs)
  }

  private async observe (pool: string, vm: string): Promise<VmObservation> {
    const { fleet, documents } = this.opts.state
    const sighting = fleet.listedVm(vm)
    const allocator = this.opts.leader.acting(pool)
    return {
      drained: allocator !== undefined && allocator.taken(vm) === 0,
      liveBootId: sighting?.state === 'live' ? sighting.bootId : undefined,
      reachable: await this.isReachable(documents.config()?.vms.get(vm)),
      now: Date.now()
    }
  }

  /** VMs that give no service, for whatever reason. One under disruption is left out: its place counts already. */
  private failed (pool: string): ReadonlySet<string> {
    const { fleet } = this.opts.state
    const places = fleet.ledger(pool).places
    const gone = [...fleet.vmsOf(pool)].filter(([, vm]) => OUT_OF_SERVICE.has(vm.status)).map(([name]) => name)
    const avoided = this.opts.leader.acting(pool)?.avoidedTargets() ?? []
    return new Set([...gone, ...avoided].filter(vm => places[vm] === undefined))
  }

  private async reboot (vm: string, rebootId: string): Promise<void> {
    const asked = await this.opts.platform?.reboot(vm, rebootId, this.opts.signal)
    if (asked?.ok === false) this.opts.state.decisions.record('vm', vm, asked.error.code, {})
  }

  private async isReachable (vm: VmDoc | undefined): Promise<boolean> {
    if (vm === undefined) return false
    return await new Promise(resolve => {
      const socket = connect({ host: vm.address.host, port: vm.address.port, timeout: PROBE_TIMEOUT_MS })
      const end = (reachable: boolean): void => {
        socket.destroy()
        resolve(reachable)
      }
      socket.once('connect', () => end(true))
      socket.once('error', () => end(false))
      socket.once('timeout', () => end(false))
    })
  }
}

/** Where selectors overlap, the pool with the lowest order takes the VM. */
function eligiblePool (config: FleetConfig, vm: VmDoc): PoolDoc | undefined {
  return config.pools.find(pool => matches(pool.selector, vm.labels))
}
