import { mkdir } from 'node:fs/promises'
import { waitUntil } from '@wisteriaslip/testing.jobs'
import { seededRandom } from '@wisteriaslip/testing.site'
import { Addresses, ports } from './addresses.ts'
import { EntryProcess } from './entry-process.ts'
import { FaultProxy, type Replacement } from './fault-proxy.ts'
import { QUEUE_HOST, type Queue } from './callers.ts'
import { closeServer, listen } from './http.ts'
import { PlatformStore } from './platform-store.ts'
import { RunLog } from './run-log.ts'
import { StoreServer } from './store-server.ts'
import { VmPlatform } from './vm-platform.ts'
import { WorkerHost, type Pool } from './worker-host.ts'

/** How often a task is tried. */
export const ATTEMPTS = 3
const LEADER_KEY_PREFIX = 'wisteriaslip/leaders/'
const MEMBER_KEY_PREFIX = 'wisteriaslip/members/'

/** A queue beside those of the services. */
export type QueueSpec = Omit<Queue, 'path'>

/** Options of {@link SoakSite.start}. */
export interface SiteOpts {
  readonly seed: number
  readonly entries: number
  readonly pools: readonly Pool[]
  /** Queues beside the one of each service. */
  readonly queues?: readonly QueueSpec[]
  /** Longest lease of a worker, in milliseconds. */
  readonly longestLeaseMs: number
  /** Folder for settings and logs. */
  readonly folder: string
  /** Path of the built program; undefined to run the sources. */
  readonly binary: string | undefined
  /** Limits of memory and descriptors in the entries' settings; none if undefined. */
  readonly limits?: { readonly memoryMb: number, readonly maxFds: number }
}

/** Entries as processes, and stand-ins of the platform, with a proxy on the way from each entry to each server. */
export class SoakSite {
  readonly log = new RunLog()
  readonly store = new PlatformStore()
  readonly entries: EntryProcess[] = []
  readonly hosts: WorkerHost[] = []
  readonly random: () => number
  readonly storeServer: StoreServer
  readonly vmPlatform: VmPlatform
  /** One queue for each service, then those beside them. */
  readonly queues: readonly Queue[]
  private readonly addresses: Addresses
  private readonly pools: readonly Pool[]
  private readonly links = new Map<string, FaultProxy>()
  private version = 0

  private constructor ({ seed, pools, queues = [] }: SiteOpts, addresses: Addresses) {
    this.random = seededRandom(seed)
    this.addresses = addresses
    this.pools = pools
    const ofServices = pools.filter(pool => pool.standby !== true).map(({ name }) => ({ name: `q-${name}`, service: name }))
    this.queues = [...ofServices, ...queues].map(queue => ({ ...queue, path: `/${queue.name}/` }))
    this.storeServer = new StoreServer(this.store, addresses, this.random)
    this.vmPlatform = new VmPlatform(this.hosts, pools, this.store)
    this.store.subscribe(() => this.recordTerms())
  }

  /**
   * Starts a site and waits until all services and the fleet have leaders.
   * @param opts - size, seed and folder
   * @returns the site; close it with {@link SoakSite.close}
   * @throws when it does not start in time
   */
  static async start (opts: SiteOpts): Promise<SoakSite> {
    const site = new SoakSite(opts, await Addresses.take())
    try {
      await site.startAll(opts)
      return site
    } catch (error) {
      await site.close()
      throw error
    }
  }

  /** Ends all processes, servers and timers of the site. */
  async close (): Promise<void> {
    await Promise.all(this.entries.map(async entry => await entry.kill()))
    for (const host of this.hosts) host.close()
    for (const link of this.links.values()) link.close()
    for (const server of [this.storeServer.server, this.vmPlatform.server]) closeServer(server)
    this.store.close()
    this.addresses.release()
  }

  /** @returns the way from an entry to the store */
  toStore (entry: number): FaultProxy {
    return this.link(entry, this.addresses.hosts.store)
  }

  /** @returns the way from an entry to the platform's interface for VMs */
  toVmList (entry: number): FaultProxy {
    return this.link(entry, this.addresses.hosts.vmList)
  }

  /** @returns the way from an entry to a worker */
  toWorker (entry: number, worker: number): FaultProxy {
    return this.link(entry, this.addresses.hosts.worker(worker))
  }

  /** @returns the way from an entry to another one, for its calls */
  toPeer (entry: number, peer: number): FaultProxy {
    return this.link(entry, this.addresses.hosts.entry(peer))
  }

  /** @returns all ways from an entry to anything */
  allFrom (entry: number): FaultProxy[] {
    return [...this.links].filter(([name]) => name.startsWith(`${entry}-`)).map(([, link]) => link)
  }

  /** @returns what needs a leader */
  resources (): string[] {
    return ['fleet', ...this.pools.filter(pool => pool.standby !== true).map(({ name }) => `service/${name}`)]
  }

  /** Moves a queue to another service by a change of the configuration. */
  moveQueue (name: string, service: string): void {
    for (const queue of this.queues) if (queue.name === name) queue.service = service
    this.configure()
  }

  /** Writes the next version of the configuration. */
  private configure (): void {
    this.version += 1
    const accounts = this.queues.flatMap(({ account }) => account ?? [])
    const routes = this.queues.map(({ name, service, path, account }) => ({ name, host: QUEUE_HOST, prefix: path, service, timeoutMs: 5_000, sloMs: 2_000, priority: 0, attempts: ATTEMPTS, stretch: 2, ...(accounts.length > 0 && account === undefined ? { public: true } : {}) }))
    const services = this.pools.map(({ name, standby = false }) => ({ name, enforcesCapacity: true, standby }))
    const tenants = accounts.map(({ name, key, quota }) => ({ name, apiKeys: [key], weight: 1, cap: { ...quota, gpu: 0 } }))
    const config = { version: this.version, routes, services, limits: {}, ...(tenants.length > 0 ? { tenants } : {}) }
    this.store.commit({ expected: [], puts: [{ key: 'op/config', value: JSON.stringify(config), lease: 0 }], removes: [] })
  }

  /**
   * @param resource - a service or the fleet
   * @returns index of the entry that leads it by the store's records, undefined if there is none
   */
  leader (resource = this.resources()[1]): number | undefined {
    const item = this.store.get(LEADER_KEY_PREFIX + (resource ?? ''))
    if (item === undefined) return undefined
    const { value } = JSON.parse(item.value) as { value: { id: string } }
    const index = this.entries.findIndex(({ id }) => id === value.id)
    return index < 0 ? undefined : index
  }

  /** Ends the lease of an entry in the store, without a word to it. */
  revokeLease (entry: number): void {
    const lease = this.store.get(MEMBER_KEY_PREFIX + (this.entries[entry]?.id ?? ''))?.lease ?? 0
    if (lease !== 0) this.store.end(lease)
  }

  /** Records each term with its first change of the store: its token is the revision in which the leader's key was created. */
  private recordTerms (): void {
    const { terms } = this.log
    for (const resource of this.resources()) {
      const token = this.store.get(LEADER_KEY_PREFIX + resource)?.created
      if (token !== undefined && !terms.some(term => term.resource === resource && term.token === token)) terms.push({ resource, token, startedAt: this.log.now() })
    }
  }

  private link (entry: number, host: number): FaultProxy {
    const link = this.links.get(`${entry}-${host}`)
    if (link === undefined) throw new Error(`no link from entry ${entry} to host ${host}`)
    return link
  }

  private async startAll ({ entries, pools, longestLeaseMs, folder, binary, limits }: SiteOpts): Promise<void> {
    const { addresses, store, log, random } = this
    const { hosts } = addresses
    await mkdir(folder, { recursive: true })
    this.configure()
    await listen(this.storeServer.server, ports.store, addresses.ip(hosts.store))
    await listen(this.vmPlatform.server, ports.store, addresses.ip(hosts.vmList))
    for (const [index, pool] of pools.flatMap(pool => Array.from({ length: pool.vms }, () => pool)).entries()) {
      const host = new WorkerHost({ index, pool, zone: `zone-${index % entries}`, longestLeaseMs, addresses, store, log, random })
      this.hosts.push(host)
      await host.start({ sameId: true })
    }
    for (let index = 0; index < entries; index++) this.entries.push(await EntryProcess.create({ index, binary, folder, longestLeaseMs, addresses, limits }))
    for (let index = 0; index < entries; index++) await this.openLinks(index)
    for (const entry of this.entries) entry.start()
    for (const resource of this.resources()) await waitUntil(`${resource} has a leader`, () => this.leader(resource) !== undefined)
    for (const entry of this.entries) await waitUntil(`${entry.id} is ready`, async () => await entry.isReady())
  }

  private async openLinks (entry: number): Promise<void> {
    const { hosts } = this.addresses
    await this.openLink(entry, hosts.store, ports.store)
    await this.openLink(entry, hosts.vmList, ports.store)
    for (const index of this.hosts.keys()) await this.openLink(entry, hosts.worker(index), ports.worker)
    for (const peer of this.entries.keys()) if (peer !== entry) await this.openLink(entry, hosts.entry(peer), ports.peers, peer)
  }

  /** Peers exchange what they read from the store, so that addresses of one's view become those of the other's. */
  private async openLink (entry: number, host: number, port: number, peer?: number): Promise<void> {
    const { addresses } = this
    const [own, other] = [addresses.viewPrefix(entry), addresses.viewPrefix(peer)]
    const requests: Replacement = { from: own, to: other }
    const replies: Replacement = { from: other, to: own }
    const link = new FaultProxy({ host: addresses.ip(host, entry), port, target: { host: addresses.ip(host), port }, sourceIp: addresses.sourceIp(entry), ...(peer === undefined ? {} : { requests, replies }) })
    await link.listen()
    this.links.set(`${entry}-${host}`, link)
  }
}
