import { setMaxListeners } from 'node:events'
import type { Server } from 'node:http'
import { pause, runEvery, Wakeup, type Result } from '@wisteriaslip/core.result'
import { topicLogger, type Logger } from '@wisteriaslip/core.logger'
import type { Address, Settings } from '@wisteriaslip/config.settings'
import { createOperatorServer } from '@wisteriaslip/cli.operators'
import type { Member } from '@wisteriaslip/peers.membership'
import { createPeerServer, type PeerError, type PeerService, type RelayCall, type RelayReply } from '@wisteriaslip/peers.protocol'
import { followStore } from '@wisteriaslip/platform.mirror'
import { HttpVmPlatform } from '@wisteriaslip/platform.vm-list'
import { Gateway } from '@wisteriaslip/routing.gateway'
import { ClaimPartitions } from '@wisteriaslip/routing.idempotency'
import { ClaimRouting } from './claim-routing.ts'
import { FleetLeader } from './fleet-leader.ts'
import { operatorInterface } from './operator-interface.ts'
import { EntryPeerService } from './peer-service.ts'
import { PeerSync } from './peer-sync.ts'
import { Pools } from './pools.ts'
import { Registration } from './registration.ts'
import { allResources } from './resources.ts'
import { bootstrapFromPeers } from './bootstrap.ts'
import { createCallerServer, listen, stopListening } from './servers.ts'
import { SlotLeader } from './slot-leader.ts'
import { SlotReporter } from './slot-reporter.ts'
import { createState, type EntryState } from './state.ts'

const SWEEP_MS = 25
const IDLE_SWEEP_MS = 1_000
const ELECTION_MS = 500
const FLEET_STEP_MS = 500
/** After a stop is asked for, requests are still taken for this long while the balancer learns of it. */
const LAME_DUCK_MS = 1_000
const STOP_POLL_MS = 20

/** What an entry is started with. */
export interface EntryDeps {
  readonly settings: Settings
  readonly keys: { readonly operators: string, readonly peers: string } | undefined
  readonly logger: Logger
}

/** One entry: gateway for callers, interface for operators, peer, and candidate for leadership. */
export class Entry {
  private readonly deps: EntryDeps
  private readonly stopping = new AbortController()
  private readonly tasks: Array<Promise<void>> = []
  private readonly servers: Server[] = []

  constructor (deps: EntryDeps) {
    this.deps = deps
  }

  /**
   * Listens and takes part until the signal aborts; then lets requests under way end.
   * @param signal - asks for a planned stop
   * @param onListening - told the addresses
   */
  async run (signal: AbortSignal, onListening: (addresses: { callers: Address, operators: Address, peers: Address }) => void = () => {}): Promise<void> {
    const { settings, keys, logger } = this.deps
    setMaxListeners(0, this.stopping.signal)
    const late: { state?: EntryState, service?: PeerService, sync?: PeerSync } = {}
    const peerServer = createPeerServer(lateBound(() => late.service), { key: keys?.peers, onBytes: (received, sent) => late.state?.metrics.count('peer_server_bytes_total', {}, received + sent) })
    const peers = await listen(peerServer, settings.peers)
    const state = createState({
      settings,
      peerKey: keys?.peers,
      logger,
      peerAddress: settings.peersAdvertised ?? peers,
      signal: this.stopping.signal,
      relay: async (call, inner) => await this.relay(state, late.sync, call, inner)
    })
    const parts = this.assemble(state)
    late.state = state
    late.service = parts.service
    late.sync = parts.sync
    const callerServer = createCallerServer(parts.gateway)
    const operatorServer = createOperatorServer({ key: keys?.operators, ...operatorInterface({ state, ...parts, ready: () => this.ready(state, parts.registration) }) })
    const callers = await listen(callerServer, settings.callers)
    const operators = await listen(operatorServer, settings.operators)
    this.servers.push(peerServer, callerServer, operatorServer)
    onListening({ callers, operators, peers })
    this.start(state, parts)
    await this.untilStopped(state, signal)
    await this.stop(state, parts, callerServer)
  }

  private assemble (state: EntryState) {
    const { settings, clock, documents, fleet, members, leadership } = state
    const registration = new Registration(state)
    const sweeper = new Wakeup()
    const onNews = (): void => {
      sweeper.wake()
      reporter.wake()
    }
    const pools = new Pools({ settings, incarnation: members.self.incarnation, clock, documents, fleet, onNews })
    const call = async <M extends keyof PeerService>(member: Member, method: M, input: Parameters<PeerService[M]>[0], timeoutMs: number): Promise<Result<Awaited<ReturnType<PeerService[M]>>, PeerError>> => {
      if (member.incarnation !== members.self.incarnation) return await state.peers.call(member.peerAddress, method, input, { timeoutMs, signal: this.stopping.signal })
      const local = service[method] as (input: Parameters<PeerService[M]>[0]) => Promise<Awaited<ReturnType<PeerService[M]>>>
      return { ok: true, value: await local.call(service, input) }
    }
    const config = () => documents.config()
    const allPools = () => pools.all()
    const signal = this.stopping.signal
    const reporter = new SlotReporter({ clock, members, leadership, pools: allPools, config, call, signal })
    const sync = new PeerSync({ clock, mirror: state.mirror, members, leadership, pools: allPools, call, signal })
    const nudge = (entry: string): void => {
      const member = members.find(entry)
      if (member !== undefined) call(member, 'nudge', { from: members.self.id }, 500).catch(() => {})
    }
    const leader = new SlotLeader({ ...state, storeAvailable: () => state.store.available(), maxEntries: settings.maxEntries, nudge })
    const partitions = this.createPartitions(state)
    const service = new EntryPeerService({ state, pools, leader, reporter, partitions })
    const claims = new ClaimRouting({ members, leadership, call })
    const gateway = new Gateway({
      incarnation: members.self.incarnation,
      clock,
      logger: topicLogger(state.logger, 'gateway'),
      metrics: state.metrics,
      config,
      ready: () => this.ready(state, registration),
      pool: name => pools.pool(name),
      connections: target => pools.connectionsTo(target),
      owner: () => claims,
      limits: settings.limits
    })
    const platform = settings.vmList === undefined ? undefined : new HttpVmPlatform(settings.vmList.url)
    const fleetLeader = new FleetLeader({ state, leader, platform, signal, call })
    fleet.onChange(() => pools.sweep())
    return { registration, pools, sweeper, reporter, sync, leader, partitions, service, gateway, platform, fleetLeader, call }
  }

  private createPartitions (state: EntryState): ClaimPartitions {
    return new ClaimPartitions({
      store: state.store,
      prefix: state.keys.claims,
      clock: state.clock,
      wallClock: Date.now,
      logger: topicLogger(state.logger, 'claims'),
      token: resource => state.leadership.token(resource),
      guard: (resource, token) => state.leadership.guard(resource, token),
      longestRequestMs: () => Math.max(0, ...(state.documents.config()?.workloads ?? []).map(workload => workload.deadlineMs))
    })
  }

  private start (state: EntryState, parts: ReturnType<Entry['assemble']>): void {
    const { signal } = this.stopping
    const { mirror, store, keys, clock, logger } = state
    const every = async (periodMs: number, step: () => Promise<void> | void): Promise<void> => {
      await runEvery(step, { periodMs, signal, onError: error => logger.error({ err: error }, 'step failed') })
    }
    this.tasks.push(
      followStore(store, mirror, { prefix: keys.watched, signal, clock, logger: topicLogger(logger, 'mirror') }),
      bootstrapFromPeers(state, signal),
      state.lease.run(async () => await parts.registration.ensure()),
      every(ELECTION_MS, async () => await this.elect(state, parts.registration)),
      parts.sync.run(),
      parts.reporter.run(),
      parts.partitions.run(signal),
      sweepPools(parts.pools, parts.sweeper, signal),
      every(FLEET_STEP_MS, async () => await parts.fleetLeader.step())
    )
    const { platform } = parts
    if (platform === undefined) return
    this.tasks.push(every(this.deps.settings.vmList?.periodMs ?? 1_000, async () => {
      const sightings = await platform.list(signal)
      if (sightings.ok) state.fleet.setSightings(sightings.value)
    }))
  }

  private async elect (state: EntryState, registration: Registration): Promise<void> {
    await registration.ensure()
    const pools = state.documents.config()?.pools ?? []
    if (registration.isMember()) await state.leadership.step(allResources(pools.map(pool => pool.name)))
  }

  private ready (state: EntryState, registration: Registration): boolean {
    return registration.isMarked() && state.documents.config() !== undefined && !state.members.replaced()
  }

  private async relay (state: EntryState, sync: PeerSync | undefined, call: RelayCall, signal: AbortSignal | undefined): Promise<RelayReply | undefined> {
    const peer = sync?.peersWithStore()[0]
    if (peer === undefined) return undefined
    const reply = await state.peers.call(peer.peerAddress, 'relay', call, signal === undefined ? {} : { signal })
    return reply.ok ? reply.value : undefined
  }

  private async untilStopped (state: EntryState, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(ELECTION_MS, signal)
      if (!state.members.replaced()) continue
      state.logger.error('another run has taken over this id; stopping')
      return
    }
  }

  private async stop (state: EntryState, parts: ReturnType<Entry['assemble']>, callerServer: Server): Promise<void> {
    state.logger.info('stopping')
    parts.gateway.startDraining()
    await pause(LAME_DUCK_MS, new AbortController().signal)
    parts.gateway.refuseNew()
    stopListening(callerServer)
    const deadline = state.clock.now() + this.deps.settings.shutdownMs
    while (parts.gateway.requestsInFlight() > 0 && state.clock.now() < deadline) await pause(STOP_POLL_MS, new AbortController().signal)
    const inFlight = parts.gateway.requestsInFlight()
    this.stopping.abort()
    await Promise.allSettled(this.tasks)
    parts.pools.close()
    if (inFlight === 0) await parts.registration.unmark()
    await state.lease.revoke()
    await state.peers.close()
    for (const server of this.servers) {
      server.close()
      server.closeAllConnections()
    }
    state.logger.info({ inFlight }, 'stopped')
  }
}

/** Queues are looked at often while requests wait, seldom otherwise. */
async function sweepPools (pools: Pools, wakeup: Wakeup, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    pools.sweep()
    if (pools.anyWaiting()) await pause(SWEEP_MS, signal)
    else await wakeup.sleep(IDLE_SWEEP_MS, signal)
  }
}

/** A service that answers only once the entry is put together. */
function lateBound (service: () => PeerService | undefined): PeerService {
  return new Proxy({} as PeerService, {
    get: (_target, method: keyof PeerService) => async (input: never) => {
      const bound = service()
      if (bound === undefined) throw new Error('not ready')
      return await (bound[method] as (input: never) => Promise<unknown>).call(bound, input)
    }
  })
}
