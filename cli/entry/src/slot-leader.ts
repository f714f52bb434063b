import type { Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { DecisionLog } from '@wisteriaslip/core.decisions'
import type { DocumentView, FleetView } from '@wisteriaslip/fleet.view'
import type { StoreKeys, Leadership, Members } from '@wisteriaslip/peers.membership'
import type { PoolLoad } from '@wisteriaslip/peers.protocol'
import type { Mirror } from '@wisteriaslip/store.mirror'
import { SlotAllocator, type PoolGrant, type SlotReply, type SlotReport, type TargetCapacity } from '@wisteriaslip/routing.slots'
import { poolResource } from './resources.ts'

/** Options of {@link SlotLeader}. */
export interface SlotLeaderOpts {
  readonly clock: Clock
  readonly logger: Logger
  readonly decisions: DecisionLog
  readonly documents: DocumentView
  readonly fleet: FleetView
  readonly mirror: Mirror
  readonly keys: StoreKeys
  readonly members: Members
  readonly leadership: Leadership
  readonly storeAvailable: () => boolean
  readonly maxEntries: number
  readonly nudge: (entry: string) => void
}

/** Allots the slots of the pools that this entry leads. */
export class SlotLeader {
  private readonly opts: SlotLeaderOpts
  private readonly allocators = new Map<string, SlotAllocator>()
  private readonly targetsByPool = new Map<string, TargetCapacity[]>()
  private cachedHolders: ReadonlySet<string> | undefined

  constructor (opts: SlotLeaderOpts) {
    this.opts = opts
    opts.fleet.onChange(() => this.targetsByPool.clear())
    opts.mirror.subscribe(keys => {
      if (keys.some(key => key.startsWith(opts.keys.holders))) this.cachedHolders = undefined
    })
  }

  /**
   * Applies an entry's report to the pools that this entry leads.
   * @param report - report of an entry, possibly this one
   * @returns grants for the reported pools, and the tokens of the unreported pools whose allotments are renewed or for
   * which a report is requested
   */
  report (report: SlotReport): SlotReply {
    const sender = { id: report.from, incarnation: report.incarnation, seq: report.seq, heard: report.heard }
    const reported = new Set(report.pools.map(pool => pool.pool))
    const pools: PoolGrant[] = []
    for (const each of report.pools) {
      const grant = this.activeAllocator(each.pool)?.report(sender, each)
      if (grant !== undefined) pools.push(grant)
    }
    const renewed: number[] = []
    const asked: number[] = []
    for (const [pool, allocator] of this.allocators) {
      if (reported.has(pool) || this.activeAllocator(pool) !== allocator) continue
      if (allocator.renew(report.incarnation, report.heard)) renewed.push(allocator.token)
      if (allocator.wantsReport(report.incarnation)) asked.push(allocator.token)
    }
    return { pools, renewed, asked }
  }

  /**
   * @param pool - name of a pool
   * @returns its allocator; undefined unless this entry may act as the pool's leader
   */
  activeAllocator (pool: string): SlotAllocator | undefined {
    const token = this.opts.leadership.recordedToken(poolResource(pool))
    if (token === undefined) {
      this.allocators.delete(pool)
      return undefined
    }
    const allocator = this.getOrCreateAllocator(pool, token)
    return this.hasAuthority(pool, allocator) ? allocator : undefined
  }

  /** @returns capacity and demand of each pool that this entry leads, in slots */
  loads (): PoolLoad[] {
    const out: PoolLoad[] = []
    for (const pool of this.allocators.keys()) {
      const allocator = this.activeAllocator(pool)
      if (allocator !== undefined) out.push({ pool, ...allocator.load() })
    }
    return out
  }

  /**
   * While the store is unavailable, no other leader can have been elected as long as a majority of members still
   * follows this one.
   */
  private hasAuthority (pool: string, allocator: SlotAllocator): boolean {
    if (this.opts.leadership.token(poolResource(pool)) !== undefined) return true
    if (this.opts.storeAvailable()) return false
    return allocator.followerCount() >= this.opts.members.majority()
  }

  private getOrCreateAllocator (pool: string, token: number): SlotAllocator {
    const existing = this.allocators.get(pool)
    if (existing?.token === token) return existing
    const allocator = this.createAllocator(pool, token)
    this.allocators.set(pool, allocator)
    this.opts.decisions.record('pool', pool, 'LEADERSHIP_TAKEN', { token, by: this.opts.members.self.id })
    return allocator
  }

  private createAllocator (pool: string, token: number): SlotAllocator {
    const { clock, documents, members, leadership, nudge } = this.opts
    return new SlotAllocator({
      clock,
      token,
      nudge,
      targets: () => this.targets(pool),
      classes: () => [...documents.config()?.classes.values() ?? []],
      quota: tenant => documents.config()?.quotaOf(tenant) ?? 1,
      maxRunMs: () => documents.config()?.maxRunMs(pool) ?? 0,
      possibleHolders: () => this.possibleHolders(),
      isMajority: entries => entries >= members.majority(),
      isLeaseValid: () => leadership.token(poolResource(pool)) === token,
      zoneOf: entry => members.find(entry)?.zone
    })
  }

  private possibleHolders (): ReadonlySet<string> {
    const prefix = this.opts.keys.holders
    this.cachedHolders ??= new Set(this.opts.mirror.list(prefix).map(doc => doc.key.slice(prefix.length)))
    return this.cachedHolders
  }

  private targets (pool: string): TargetCapacity[] {
    const cached = this.targetsByPool.get(pool)
    if (cached !== undefined) return cached
    const targets = this.buildTargets(pool)
    this.targetsByPool.set(pool, targets)
    return targets
  }

  private buildTargets (pool: string): TargetCapacity[] {
    const out: TargetCapacity[] = []
    for (const [name, { vm, status }] of this.opts.fleet.vmsOf(pool)) {
      if (vm.role !== 'executor') continue
      const connectionsPerEntry = Math.max(1, Math.floor(vm.connections / this.opts.maxEntries))
      out.push({ name, zone: vm.zone, slots: vm.slots, maxSlotsPerEntry: Math.min(vm.slots, connectionsPerEntry), usable: status === 'in-service' })
    }
    return out
  }
}
