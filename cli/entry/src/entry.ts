import { setMaxListeners } from 'node:events'
import type { Server } from 'node:http'
import { delay, runEvery, type Wakeup } from '@wisteriaslip/core.result'
import { topicLogger, type Logger } from '@wisteriaslip/core.logger'
import type { Address, Settings } from '@wisteriaslip/config.settings'
import { createOperatorServer } from '@wisteriaslip/cli.operators'
import { createPeerServer, createPeerRouter, type PeerService, type RelayRequest, type RelayReply } from '@wisteriaslip/peers.protocol'
import { followStore } from '@wisteriaslip/store.mirror'
import { bootstrapFromPeers } from './bootstrap.ts'
import { operatorInterface } from './operator-interface.ts'
import { assembleParts, type EntryParts } from './parts.ts'
import type { Pools } from './pools.ts'
import { allResources } from './resources.ts'
import { createCallerServer, listen, stopListening } from './servers.ts'
import { createState, type EntryState } from './state.ts'

const SWEEP_MS = 25
const IDLE_SWEEP_MS = 1_000
const ELECTION_MS = 500
const FLEET_STEP_MS = 1_000
/** After a stop is asked for, requests are still taken for this long while the balancer learns of it. */
const LAME_DUCK_MS = 1_000
const STOP_POLL_MS = 20
const NEVER = new AbortController().signal

/** What an entry is started with. */
export interface EntryDeps {
  readonly settings: Settings
  readonly keys: { readonly operators: string, readonly peers: string } | undefined
  readonly logger: Logger
}

/** Where an entry listens. */
export interface EntryAddresses {
  readonly callers: Address
  readonly operators: Address
  readonly peers: Address
}

interface Servers {
  readonly callers: Server
  readonly operators: Server
  readonly peers: Server
}

/** One entry: gateway for callers, interface for operators, peer, and candidate for leadership. */
export class Entry {
  private readonly deps: EntryDeps
  private readonly stopping = new AbortController()
  private readonly tasks: Array<Promise<void>> = []

  constructor (deps: EntryDeps) {
    this.deps = deps
  }

  /**
   * Listens and takes part until the signal aborts; then lets requests under way end.
   * @param signal - asks for a planned stop
   * @param onListening - told the addresses
   */
  async run (signal: AbortSignal, onListening: (addresses: EntryAddresses) => void = () => {}): Promise<void> {
    const { settings, keys, logger } = this.deps
    setMaxListeners(0, this.stopping.signal)
    const late: { state?: EntryState, parts?: EntryParts } = {}
    const onBytes = (received: number, sent: number): void => late.state?.metrics.count('peer_server_bytes_total', {}, received + sent)
    const peerServer = createPeerServer(createPeerRouter(lateBound(() => late.parts?.service)), { key: keys?.peers, onBytes })
    const peers = await listen(peerServer, settings.peers)
    const state = createState({
      settings,
      peerKey: keys?.peers,
      logger,
      peerAddress: settings.peersAdvertised ?? peers,
      signal: this.stopping.signal,
      relay: async (call, inner) => await relay(state, late.parts, call, inner)
    })
    const parts = assembleParts(state, this.stopping.signal)
    late.state = state
    late.parts = parts
    const servers: Servers = {
      peers: peerServer,
      callers: createCallerServer(parts.gateway),
      operators: createOperatorServer({ key: keys?.operators, ...operatorInterface({ state, ...parts }) })
    }
    const callers = await listen(servers.callers, settings.callers)
    const operators = await listen(servers.operators, settings.operators)
    onListening({ callers, operators, peers })
    this.start(state, parts)
    await untilStopped(state, signal)
    await this.stop(state, parts, servers)
  }

  private start (state: EntryState, parts: EntryParts): void {
    const { signal } = this.stopping
    const { mirror, store, keys, clock, logger } = state
    const every = async (periodMs: number, step: () => Promise<void> | void): Promise<void> => {
      await runEvery(step, { periodMs, signal, onError: error => logger.error({ err: error }, 'step failed') })
    }
    this.tasks.push(
      followStore(store, mirror, { prefix: keys.watched, signal, clock, logger: topicLogger(logger, 'mirror') }),
      bootstrapFromPeers(state, signal),
      state.lease.run(async () => await parts.registration.ensure()),
      every(ELECTION_MS, async () => await elect(state, parts)),
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
      if (sightings.ok) state.fleet.setListedVms(sightings.value)
    }))
  }

  private async stop (state: EntryState, parts: EntryParts, servers: Servers): Promise<void> {
    state.logger.info('stopping')
    parts.gateway.startDraining()
    await delay(LAME_DUCK_MS, NEVER)
    parts.gateway.rejectNewRequests()
    stopListening(servers.callers)
    const inFlight = await this.untilIdle(state, parts)
    this.stopping.abort()
    await Promise.allSettled(this.tasks)
    parts.pools.close()
    if (inFlight === 0) await parts.registration.unmark()
    await state.lease.revoke()
    await state.peers.close()
    for (const server of Object.values(servers) as Server[]) {
      server.close()
      server.closeAllConnections()
    }
    state.logger.info({ inFlight }, 'stopped')
  }

  /** @returns requests still under way when the longest wait is over */
  private async untilIdle (state: EntryState, parts: EntryParts): Promise<number> {
    const deadline = state.clock.now() + this.deps.settings.shutdownMs
    while (parts.gateway.requestsInFlight() > 0 && state.clock.now() < deadline) await delay(STOP_POLL_MS, NEVER)
    return parts.gateway.requestsInFlight()
  }
}

async function elect (state: EntryState, parts: EntryParts): Promise<void> {
  await parts.registration.ensure()
  const pools = state.documents.config()?.pools ?? []
  if (parts.registration.isMember()) await state.leadership.step(allResources(pools.map(pool => pool.name)))
}

async function relay (state: EntryState, parts: EntryParts | undefined, call: RelayRequest, signal: AbortSignal | undefined): Promise<RelayReply | undefined> {
  const peer = parts?.sync.peersWithStore()[0]
  if (peer === undefined) return undefined
  const reply = await state.peers.call(peer.peerAddress, 'relay', call, signal === undefined ? {} : { signal })
  return reply.ok ? reply.value : undefined
}

async function untilStopped (state: EntryState, signal: AbortSignal): Promise<void> {
  while (await delay(ELECTION_MS, signal)) {
    if (!state.members.isReplaced()) continue
    state.logger.error('another run has taken over this id; stopping')
    return
  }
}

/** Queues are looked at often while requests wait, seldom otherwise. */
async function sweepPools (pools: Pools, wakeup: Wakeup, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    pools.sweep()
    if (pools.anyWaiting()) await delay(SWEEP_MS, signal)
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
