import { matches, type FleetConfig, type PoolDoc, type VmDoc } from '@wisteriaslip/config.documents'
import { LedgerStore } from '@wisteriaslip/fleet.ledger'
import type { VmPlatform } from '@wisteriaslip/platform.vm-list'
import { fleetResource } from './resources.ts'
import type { SlotLeader } from './slot-leader.ts'
import type { CallMember } from './slot-reporter.ts'
import type { EntryState } from './state.ts'

/** How many VMs are assigned in one step, so that a first start does not use up the store's budget. */
const ASSIGNMENTS_PER_STEP = 16

/** What the fleet's leader needs of the entry. */
export interface FleetLeaderOpts {
  readonly state: EntryState
  readonly leader: SlotLeader
  readonly platform: VmPlatform | undefined
  readonly call: CallMember
}

/** Decisions on VMs: assignment by the fleet's leader, disruptions by each pool's leader. */
export class FleetLeader {
  private readonly opts: FleetLeaderOpts
  private readonly ledgers: LedgerStore

  constructor (opts: FleetLeaderOpts) {
    this.opts = opts
    const { store, keys } = opts.state
    this.ledgers = new LedgerStore(store, { ledgers: keys.ledgers, assignments: keys.assignments })
  }

  /**
   * One step of everything that this entry leads.
   * @param signal - gives up
   */
  async step (signal: AbortSignal): Promise<void> {
    const config = this.opts.state.documents.config()
    if (config === undefined || signal.aborted) return
    await this.assignNew(config)
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
}

/** Where selectors overlap, the pool with the lowest order takes the VM. */
function eligiblePool (config: FleetConfig, vm: VmDoc): PoolDoc | undefined {
  return config.pools.find(pool => matches(pool.selector, vm.labels))
}
