import { setMaxListeners } from 'node:events'
import type { Server } from 'node:http'
import { ClientLimits, guardServer } from '@wisteriaslip/core.http-limits'
import { delay, runEvery, type Wakeup } from '@wisteriaslip/core.result'
import { topicLogger, type Logger } from '@wisteriaslip/core.logger'
import type { Address, Settings } from '@wisteriaslip/config.settings'
import { createOperatorServer } from '@wisteriaslip/cli.operators'
import { createPeerServer, createPeerRouter, toRelayReply, type PeerService, type RelayRequest, type RelayReply } from '@wisteriaslip/peers.protocol'
import { followStore } from '@wisteriaslip/store.mirror'
import { bootstrapFromPeers } from './bootstrap.ts'
import { createComponents, type EntryComponents } from './components.ts'
import { createOperatorHandlers } from './operator-handlers.ts'
import type { Pools } from './pools.ts'
import { allResources } from './resources.ts'
import { createCallerServer, listen, stopListening } from './servers.ts'
import { createState, type EntryState } from './state.ts'

const DISPATCH_INTERVAL_MS = 25
const IDLE_DISPATCH_INTERVAL_MS = 1_000
/** Interval between election steps, and between checks for a newer incarnation. */
const ELECTION_INTERVAL_MS = 500
const FLEET_STEP_INTERVAL_MS = 1_000
/** After a shutdown is requested, requests are still accepted for this long so that the load balancer can notice it. */
const BALANCER_NOTICE_MS = 1_000
const MAX_OPERATOR_CONNECTIONS = 64
const IN_FLIGHT_POLL_INTERVAL_MS = 20
const NEVER_ABORTED = new AbortController().signal

/** Options of {@link Entry}. */
export interface EntryOpts {
  readonly settings: Settings
  readonly keys: { readonly operators: string, readonly peers: string } | undefined
  readonly logger: Logger
  /** Limits on clients; with the limits of the settings by default. */
  readonly limits?: ClientLimits
}

/** Addresses on which an entry listens. */
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

/** An entry: serves callers, operators and peers, and is a candidate for leadership. */
export class Entry {
  private readonly opts: EntryOpts
  private readonly stopping = new AbortController()
  private readonly tasks: Array<Promise<void>> = []

  constructor (opts: EntryOpts) {
    this.opts = opts
  }

  /**
   * Runs the entry until the signal aborts or a newer incarnation with the same id has registered, then shuts it down
   * gracefully.
   * @param signal - requests the shutdown
   * @param onListening - called with the addresses once all servers are listening
   * @throws when a server cannot listen on its address
   */
  async run (signal: AbortSignal, onListening: (addresses: EntryAddresses) => void = () => {}): Promise<void> {
    const { settings, keys, logger } = this.opts
    const limits = this.opts.limits ?? new ClientLimits({ ...settings.processLimits, logger: topicLogger(logger, 'clients') })
    setMaxListeners(0, this.stopping.signal)
    const assembled: { state?: EntryState, components?: EntryComponents } = {}
    const onBytes = (received: number, sent: number): void => assembled.state?.metrics.count('peer_server_bytes_total', {}, received + sent)
    const peerServer = createPeerServer(createPeerRouter(createLateBoundService(() => assembled.components?.service)), { key: keys?.peers, onBytes })
    const peers = await listen(peerServer, settings.peers)
    const state = createState({
      settings,
      peerKey: keys?.peers,
      logger,
      peerAddress: settings.peersAdvertised ?? peers,
      signal: this.stopping.signal,
      relay: async (call, callSignal) => await relay(state, assembled.components, call, callSignal)
    })
    const components = createComponents(state, this.stopping.signal)
    assembled.state = state
    assembled.components = components
    const servers: Servers = {
      peers: peerServer,
      callers: createCallerServer(components.gateway, limits),
      operators: createOperatorServer({ key: keys?.operators, ...createOperatorHandlers({ state, ...components }) })
    }
    limits.report(state.metrics)
    guardServer(servers.operators, limits, limits.group(MAX_OPERATOR_CONNECTIONS))
    const callers = await listen(servers.callers, settings.callers)
    const operators = await listen(servers.operators, settings.operators)
    onListening({ callers, operators, peers })
    this.start(state, components)
    await waitUntilStopped(state, signal)
    await this.stop(state, components, servers)
  }

  private start (state: EntryState, components: EntryComponents): void {
    const { signal } = this.stopping
    const { mirror, store, keys, clock, logger } = state
    const runPeriodically = async (periodMs: number, step: () => Promise<void> | void): Promise<void> => {
      await runEvery(step, { periodMs, signal, onError: error => logger.error({ err: error }, 'periodic task failed') })
    }
    this.tasks.push(
      followStore(store, mirror, { prefix: keys.watched, signal, clock, logger: topicLogger(logger, 'mirror') }),
      bootstrapFromPeers(state, signal),
      state.lease.run(async () => await components.registration.ensureRegistered()),
      runPeriodically(ELECTION_INTERVAL_MS, async () => await runElectionStep(state, components)),
      components.sync.run(),
      components.reporter.run(),
      components.partitions.run(signal),
      runDispatchLoop(components.pools, components.dispatchWakeup, signal),
      runPeriodically(FLEET_STEP_INTERVAL_MS, async () => await components.fleetLeader.step())
    )
    const { platform } = components
    if (platform === undefined) return
    this.tasks.push(runPeriodically(this.opts.settings.vmList?.periodMs ?? 1_000, async () => {
      const listedVms = await platform.list(signal)
      if (listedVms.ok) state.fleet.setListedVms(listedVms.value)
    }))
  }

  private async stop (state: EntryState, components: EntryComponents, servers: Servers): Promise<void> {
    state.logger.info('stopping')
    components.gateway.startDraining()
    await delay(BALANCER_NOTICE_MS, NEVER_ABORTED)
    components.gateway.rejectNewRequests()
    stopListening(servers.callers)
    const inFlight = await this.waitUntilIdle(state, components)
    this.stopping.abort()
    await Promise.allSettled(this.tasks)
    components.pools.close()
    if (inFlight === 0) await components.registration.removeHolderRecord()
    await state.lease.revoke()
    await state.peers.close()
    for (const server of Object.values(servers) as Server[]) {
      server.close()
      server.closeAllConnections()
    }
    state.logger.info({ inFlight }, 'stopped')
  }

  /** Returns the number of requests that are still in progress after the maximum wait. */
  private async waitUntilIdle (state: EntryState, components: EntryComponents): Promise<number> {
    const deadline = state.clock.now() + this.opts.settings.shutdownMs
    while (components.gateway.requestsInFlight() > 0 && state.clock.now() < deadline) await delay(IN_FLIGHT_POLL_INTERVAL_MS, NEVER_ABORTED)
    return components.gateway.requestsInFlight()
  }
}

async function runElectionStep (state: EntryState, components: EntryComponents): Promise<void> {
  await components.registration.ensureRegistered()
  const pools = state.documents.config()?.pools ?? []
  if (components.registration.isMember()) await state.leadership.step(allResources(pools.map(pool => pool.name)))
}

async function relay (state: EntryState, components: EntryComponents | undefined, call: RelayRequest, signal: AbortSignal | undefined): Promise<RelayReply | undefined> {
  const peer = components?.sync.peersWithStore()[0]
  if (peer === undefined) return undefined
  return toRelayReply(await state.peers.call(peer.peerAddress, 'relay', call, signal === undefined ? {} : { signal }))
}

async function waitUntilStopped (state: EntryState, signal: AbortSignal): Promise<void> {
  while (await delay(ELECTION_INTERVAL_MS, signal)) {
    if (!state.members.isReplaced()) continue
    state.logger.error('a newer incarnation has registered under this id; stopping')
    return
  }
}

/** Dispatches queues at a short interval while requests wait, and at a long one otherwise. */
async function runDispatchLoop (pools: Pools, wakeup: Wakeup, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    pools.dispatchAndExpire()
    if (pools.hasWaiting()) await delay(DISPATCH_INTERVAL_MS, signal)
    else await wakeup.sleep(IDLE_DISPATCH_INTERVAL_MS, signal)
  }
}

/** Creates a service that forwards to another one; calls fail until that one exists. */
function createLateBoundService (service: () => PeerService | undefined): PeerService {
  return new Proxy({} as PeerService, {
    get: (_target, method: keyof PeerService) => async (input: never) => {
      const bound = service()
      if (bound === undefined) throw new Error('not ready')
      return await (bound[method] as (input: never) => Promise<unknown>).call(bound, input)
    }
  })
}
