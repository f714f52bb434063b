import { connect } from 'node:net'
import { matches, type FleetConfig, type PoolDoc, type VmDoc } from '@wisteriaslip/config.documents'
import { LedgerStore } from '@wisteriaslip/fleet.ledger'
import { PoolKeeper, type Observation } from '@wisteriaslip/fleet.waves'
import type { VmStatus } from '@wisteriaslip/fleet.view'
import type { VmPlatform } from '@wisteriaslip/platform.vm-list'
import { fleetResource, poolResource } from './resources.ts'
import type { SlotLeader } from './slot-leader.ts'
import type { EntryState } from './state.ts'

/** How many VMs are assigned in one step, so that a first start does not use up the store's budget. */
const ASSIGNMENTS_PER_STEP = 16
const PROBE_TIMEOUT_MS = 500
const OUT_OF_SERVICE: ReadonlySet<VmStatus> = new Set(['gone', 'leaving', 'cordoned'])

/** What the fleet's leader needs of the entry. */
export interface FleetLeaderOpts {
  readonly state: EntryState
  readonly leader: SlotLeader
  readonly platform: VmPlatform | undefined
  readonly signal: AbortSignal
}

/** Decisions on VMs: assignment by the fleet's leader, disruptions by each pool's leader. */
export class FleetLeader {
  private readonly opts: FleetLeaderOpts
  private readonly ledgers: LedgerStore
  private readonly keeper: PoolKeeper

  constructor (opts: FleetLeaderOpts) {
    this.opts = opts
    const { store, keys, fleet, decisions } = opts.state
    this.ledgers = new LedgerStore(store, { ledgers: keys.ledgers, assignments: keys.assignments })
    this.keeper = new PoolKeeper({
      ledgers: this.ledgers,
      decisions,
      wallClock: Date.now,
      ledger: pool => fleet.ledger(pool),
      observe: async (pool, vm) => await this.observe(pool, vm),
      failed: pool => this.failed(pool),
      reboot: async (vm, rebootId) => await this.reboot(vm, rebootId)
    })
  }

  /** One step of everything that this entry leads. */
  async step (): Promise<void> {
    const { documents, leadership } = this.opts.state
    const config = documents.config()
    if (config === undefined) return
    await this.assignNew(config)
    for (const pool of config.pools) {
      const resource = poolResource(pool.name)
      const token = leadership.token(resource)
      if (token !== undefined) await this.keeper.step(config, pool, leadership.guard(resource, token))
    }
  }

  private async assignNew (config: FleetConfig): Promise<void> {
    const { leadership, fleet, decisions } = this.opts.state
    const token = leadership.token(fleetResource)
    if (token === undefined) return
    const unassigned = [...config.vms.values()].filter(vm => fleet.poolOf(vm.name) === undefined)
    for (const vm of unassigned.slice(0, ASSIGNMENTS_PER_STEP)) {
      const pool = eligiblePool(config, vm)
      if (pool === undefined) {
        decisions.record('vm', vm.name, 'NO_POOL_SELECTS_IT', { labels: vm.labels })
        continue
      }
      const assigned = await this.ledgers.assign(vm.name, pool.name, [leadership.guard(fleetResource, token)])
      decisions.record('vm', vm.name, assigned.ok ? 'ASSIGNED' : assigned.error.code, { pool: pool.name })
    }
  }

  private async observe (pool: string, vm: string): Promise<Observation> {
    const { fleet, documents } = this.opts.state
    const sighting = fleet.sighting(vm)
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
    const avoided = this.opts.leader.acting(pool)?.avoided() ?? []
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
