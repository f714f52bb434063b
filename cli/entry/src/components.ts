import { Wakeup, type Result } from '@wisteriaslip/core.result'
import { topicLogger } from '@wisteriaslip/core.logger'
import type { Member } from '@wisteriaslip/peers.membership'
import type { PeerError, PeerService } from '@wisteriaslip/peers.protocol'
import { HttpVmPlatform, type VmPlatform } from '@wisteriaslip/fleet.vm-list'
import { Gateway } from '@wisteriaslip/routing.gateway'
import { ClaimPartitions } from '@wisteriaslip/routing.idempotency'
import { ClaimRouter } from './claim-router.ts'
import { FleetLeader } from './fleet-leader.ts'
import { EntryPeerService } from './peer-service.ts'
import { PeerSync } from './peer-sync.ts'
import { Pools } from './pools.ts'
import { Registration } from './registration.ts'
import { SlotLeader } from './slot-leader.ts'
import { SlotReporter, type CallMember } from './slot-reporter.ts'
import type { EntryState } from './state.ts'

const NUDGE_TIMEOUT_MS = 500

/** Components of an entry that act on its state. */
export interface EntryComponents {
  readonly registration: Registration
  readonly pools: Pools
  /** Woken when requests start to wait or slots were given back. */
  readonly dispatchWakeup: Wakeup
  readonly reporter: SlotReporter
  readonly sync: PeerSync
  readonly leader: SlotLeader
  readonly partitions: ClaimPartitions
  readonly service: PeerService
  readonly gateway: Gateway
  readonly platform: VmPlatform | undefined
  readonly fleetLeader: FleetLeader
  readonly call: CallMember
  /**
   * @returns whether the entry serves requests: it has a holder record and a configuration, and no newer incarnation
   * has replaced it
   */
  ready (): boolean
}

/**
 * Creates the components of an entry.
 * @param state - state of the entry
 * @param signal - ends the tasks of the components and aborts their calls
 * @returns the components; none is running yet
 */
export function createComponents (state: EntryState, signal: AbortSignal): EntryComponents {
  const { settings, clock, documents, fleet, members, leadership, mirror } = state
  const registration = new Registration(state)
  const ready = (): boolean => registration.hasHolderRecord() && documents.config() !== undefined && !members.isReplaced()
  const dispatchWakeup = new Wakeup()
  const onReportNeeded = (): void => {
    dispatchWakeup.wake()
    reporter.wake()
  }
  const pools = new Pools({ settings, incarnation: members.self.incarnation, clock, documents, fleet, onReportNeeded })
  const call = createCallMember(state, signal, () => service)
  const sharedOpts = { clock, members, leadership, pools: () => pools.all(), call, signal }
  const reporter = new SlotReporter({ ...sharedOpts, config: () => documents.config() })
  const sync = new PeerSync({ ...sharedOpts, mirror })
  const nudge = (entry: string): void => {
    const member = members.find(entry)
    if (member !== undefined) call(member, 'nudge', { from: members.self.id }, NUDGE_TIMEOUT_MS).catch(() => {})
  }
  const leader = new SlotLeader({ ...state, storeAvailable: () => state.store.available(), maxEntries: settings.maxEntries, nudge })
  const partitions = createPartitions(state)
  const service: PeerService = new EntryPeerService({ state, pools, leader, reporter, partitions })
  const gateway = createGateway(state, pools, ready, new ClaimRouter({ members, leadership, call }))
  const platform = settings.vmList === undefined ? undefined : new HttpVmPlatform(settings.vmList.url)
  const fleetLeader = new FleetLeader({ state, leader, platform, signal, call })
  fleet.onChange(() => pools.dispatchAndExpire())
  return { registration, pools, dispatchWakeup, reporter, sync, leader, partitions, service, gateway, platform, fleetLeader, call, ready }
}

/** Calls to this entry itself bypass the network. */
function createCallMember (state: EntryState, signal: AbortSignal, service: () => PeerService): CallMember {
  const { members, peers } = state
  return async <M extends keyof PeerService>(member: Member, method: M, input: Parameters<PeerService[M]>[0], timeoutMs: number): Promise<Result<Awaited<ReturnType<PeerService[M]>>, PeerError>> => {
    if (member.incarnation !== members.self.incarnation) return await peers.call(member.peerAddress, method, input, { timeoutMs, signal })
    const local = service()[method] as (input: Parameters<PeerService[M]>[0]) => Promise<Awaited<ReturnType<PeerService[M]>>>
    return { ok: true, value: await local.call(service(), input) }
  }
}

function createPartitions (state: EntryState): ClaimPartitions {
  const { store, keys, clock, logger, leadership, documents } = state
  return new ClaimPartitions({
    store,
    prefix: keys.claims,
    clock,
    wallClock: Date.now,
    logger: topicLogger(logger, 'claims'),
    token: resource => leadership.token(resource),
    guard: (resource, token) => leadership.guard(resource, token),
    maxRequestMs: () => Math.max(0, ...(documents.config()?.workloads ?? []).map(workload => workload.deadlineMs))
  })
}

function createGateway (state: EntryState, pools: Pools, ready: () => boolean, claims: ClaimRouter): Gateway {
  const { members, clock, logger, metrics, documents, settings } = state
  return new Gateway({
    incarnation: members.self.incarnation,
    clock,
    logger: topicLogger(logger, 'gateway'),
    metrics,
    config: () => documents.config(),
    ready,
    pool: name => pools.pool(name),
    connections: target => pools.connectionsTo(target),
    claimOwnerFor: () => claims,
    limits: settings.limits
  })
}
