import type { Driver } from '@wisteriaslip/store.client'
import type { ClaimReply, ClaimRequest, ClaimSettlement, PeerService, RelayRequest, RelayReply, SyncReply, SyncRequest } from '@wisteriaslip/peers.protocol'
import { ClaimTable, type ClaimPartitions } from '@wisteriaslip/routing.idempotency'
import type { Loan, SlotReply, SlotReport } from '@wisteriaslip/routing.slots'
import type { Decision, SubjectKind } from '@wisteriaslip/core.decisions'
import type { Pools } from './pools.ts'
import type { SlotLeader } from './slot-leader.ts'
import type { SlotReporter } from './slot-reporter.ts'
import type { EntryState } from './state.ts'

const RELAY_TIMEOUT_MS = 700

/** Options of {@link EntryPeerService}. */
export interface EntryPeerServiceOpts {
  readonly state: EntryState
  readonly pools: Pools
  readonly leader: SlotLeader
  readonly reporter: SlotReporter
  readonly partitions: ClaimPartitions
}

/** Implements the service for peers. The entry also calls it for itself where it is the leader or owner. */
export class EntryPeerService implements PeerService {
  private readonly opts: EntryPeerServiceOpts
  private readonly issuedClaims: ClaimTable

  constructor (opts: EntryPeerServiceOpts) {
    this.opts = opts
    this.issuedClaims = new ClaimTable(opts.state.clock)
  }

  async sync (req: SyncRequest): Promise<SyncReply> {
    const { members, mirror, hasStoreAccess } = this.opts.state
    return {
      incarnation: members.self.incarnation,
      revision: mirror.revision(),
      storeAvailable: hasStoreAccess(),
      hearing: this.opts.reporter.hearing(),
      delta: mirror.since(req.revision)
    }
  }

  async report (req: SlotReport): Promise<SlotReply> {
    return this.opts.leader.report(req)
  }

  async nudge (req: { from: string }): Promise<void> {
    this.opts.reporter.nudge(req.from)
  }

  /** Lends slots only while no request of this entry waits for them. */
  async borrow (req: { pool: string, to: string, slots: number }): Promise<Loan[]> {
    const pool = this.opts.pools.pool(req.pool)
    if (pool.queue.waiting() > 0) return []
    return pool.slots.lend(req.to, req.slots)
  }

  async claim (req: ClaimRequest): Promise<ClaimReply> {
    if (req.issuedBy === undefined) return await this.opts.partitions.claim(req)
    if (req.issuedBy !== this.opts.state.members.self.incarnation) return { state: 'lost' }
    const existing = this.issuedClaims.lookUp(req)
    if (existing !== undefined) return existing
    if (!this.issuedClaims.hasCapacity()) return { state: 'unavailable' }
    this.issuedClaims.addClaim(req)
    return { state: 'run' }
  }

  async settle (req: ClaimSettlement): Promise<void> {
    if (req.issuedBy === undefined) this.opts.partitions.settle(req)
    else this.issuedClaims.settle(req)
  }

  /** Runs a relayed call directly against the store; relaying it again could send it around in circles. */
  async relay (req: RelayRequest): Promise<RelayReply> {
    const { driver } = this.opts.state
    this.opts.state.metrics.count('store_calls_total', { kind: 'relayed' })
    return await runStoreCall(driver, req, AbortSignal.timeout(RELAY_TIMEOUT_MS))
  }

  async loads () {
    return this.opts.leader.loads()
  }

  async explain (req: { kind: SubjectKind, name: string }): Promise<readonly Decision[]> {
    return this.opts.state.decisions.decisionsFor(req.kind, req.name)
  }
}

async function runStoreCall (driver: Driver, call: RelayRequest, signal: AbortSignal): Promise<RelayReply> {
  switch (call.op) {
    case 'range': return await driver.range(call.key, { prefix: call.prefix, ...(call.minModRevision === undefined ? {} : { minModRevision: call.minModRevision }), signal })
    case 'txn': return await driver.txn(call.txn, signal)
    case 'grant': return await driver.grantLease(call.ttlMs, signal)
    case 'keepAlive': return toRelayReply(await driver.keepAlive(call.leaseId, signal))
    case 'revoke': return toRelayReply(await driver.revokeLease(call.leaseId, signal))
  }
}

function toRelayReply (result: Awaited<ReturnType<Driver['keepAlive']>>): RelayReply {
  return result.ok ? { ok: true, value: null } : result
}
