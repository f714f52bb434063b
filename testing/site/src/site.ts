import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import type { Server } from 'node:http'
import type { AddressInfo, Server as TcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import type { EntryStatus } from '@wisteriaslip/cli.operators'
import { ExecutorStandIn, Forwarder, freePorts, startProcess, StoreStandIn, VmPlatformStandIn, type StartedProcess } from '@wisteriaslip/testing.stand-ins'
import { siteDocuments } from './documents.ts'

const READY_TRIES = 600
const DOCUMENTS_AT_ONCE = 100
const READY_POLL_MS = 100

/** Size and shape of a site. */
export interface SiteOpts {
  readonly entries: number
  readonly pools: readonly string[]
  readonly executorsPerPool: number
  readonly slots?: number
  readonly zones?: number
  readonly deadlineMs?: number
  readonly leaseTtlMs?: number
  readonly rebootMs?: number
  readonly vmListPeriodMs?: number
  readonly random?: () => number
  /** More documents, to be applied after the site's own. */
  readonly moreDocuments?: readonly unknown[]
  /** The built binary, to run instead of the sources. */
  readonly binary?: string
  readonly logLevel?: string
  /** Flags of the runtime for all entries, for profiles. */
  readonly nodeArgs?: readonly string[]
}

/** One entry of a site. */
export interface SiteEntry {
  readonly id: string
  readonly callers: string
  readonly operators: string
  readonly settingsFile: string
  readonly logFile: string
  process: StartedProcess
  /** Its way to the store. */
  readonly storeWay: Forwarder
  /** The way of its peers to it. */
  readonly peerWay: Forwarder
}

/** A running site. */
export class Site {
  readonly store: StoreStandIn
  readonly executors: ExecutorStandIn[] = []
  readonly entries: SiteEntry[] = []
  /** Most VMs of each pool that were ever down at once. */
  readonly mostDown = new Map<string, number>()
  platform: VmPlatformStandIn | undefined
  storeUrl = ''
  private readonly opts: SiteOpts
  private readonly servers: Array<Server | TcpServer> = []
  private readonly downNow = new Set<string>()
  private folder = ''
  private platformUrl = ''

  private constructor (opts: SiteOpts) {
    this.opts = opts
    this.store = new StoreStandIn(opts.random)
  }

  /**
   * Starts a site and waits until every entry serves.
   * @param opts - its size and shape
   */
  static async start (opts: SiteOpts): Promise<Site> {
    const site = new Site(opts)
    site.folder = await mkdtemp(join(tmpdir(), 'wisteriaslip-'))
    try {
      await site.bringUp()
      return site
    } catch (error) {
      await site.stop()
      throw error
    }
  }

  private async bringUp (): Promise<void> {
    this.storeUrl = await this.listen(this.store.server)
    const documents = await this.startExecutors()
    await this.startEntries()
    await this.apply(documents)
    await this.applyMany(this.opts.moreDocuments ?? [])
    await this.untilReady()
  }

  /** Applies documents in parts that one transaction takes. */
  private async applyMany (documents: readonly unknown[]): Promise<void> {
    for (let start = 0; start < documents.length; start += DOCUMENTS_AT_ONCE) {
      await this.apply(documents.slice(start, start + DOCUMENTS_AT_ONCE))
    }
  }

  /** Stops everything that was started. */
  async stop (): Promise<void> {
    await Promise.all(this.entries.map(async entry => await entry.process.kill()))
    for (const server of this.servers) {
      if ('closeAllConnections' in server) server.closeAllConnections()
      server.close()
    }
    await rm(this.folder, { recursive: true, force: true })
  }

  /** Starts an entry anew, as the platform does with a VM that it replaces. */
  restart (entry: SiteEntry): void {
    entry.process = startProcess(['entry', '--settings', entry.settingsFile], this.processOpts(entry.logFile))
  }

  /**
   * @param documents - to write, through the first entry that answers
   * @returns the revision
   */
  async apply (documents: readonly unknown[]): Promise<number> {
    for (let attempt = 0; attempt < READY_TRIES; attempt++) {
      const answer = await this.operator(0, 'POST', '/v1/apply', { documents })
      if (answer?.status === 200) return (answer.body as { revision: number }).revision
      if (answer?.status === 422) throw new Error(JSON.stringify(answer.body))
      await sleep(READY_POLL_MS)
    }
    throw new Error('the documents were not accepted')
  }

  /**
   * @param index - of an entry
   * @returns its status, undefined when it does not answer
   */
  async status (index: number): Promise<EntryStatus | undefined> {
    const answer = await this.operator(index, 'GET', '/v1/status', undefined)
    return answer?.status === 200 ? answer.body as EntryStatus : undefined
  }

  /** Calls the operators' interface of an entry. */
  async operator (index: number, method: 'GET' | 'POST', path: string, body: unknown): Promise<{ status: number, body: unknown } | undefined> {
    try {
      const res = await request(`${this.entries[index]?.operators ?? ''}${path}`, { method, ...(body === undefined ? {} : { body: JSON.stringify(body) }), signal: AbortSignal.timeout(5_000) })
      const text = await res.body.text()
      return { status: res.statusCode, body: path === '/metrics' ? text : JSON.parse(text) }
    } catch {
      return undefined
    }
  }

  /**
   * @param index - of an executor
   * @returns where it listens
   */
  executorUrl (index: number): string {
    const { port } = this.executors[index]?.server.address() as AddressInfo
    return `http://127.0.0.1:${port}`
  }

  /** Waits until every entry holds slots of every pool. */
  async untilReady (): Promise<void> {
    for (let attempt = 0; attempt < READY_TRIES; attempt++) {
      const statuses = await Promise.all(this.entries.map(async (_, index) => await this.status(index)))
      const ready = statuses.every(status => status?.ready === true && status.pools.length > 0 && status.pools.every(pool => pool.slotsHeld > 0))
      if (ready) return
      await sleep(READY_POLL_MS)
    }
    throw new Error('the site did not become ready')
  }

  private async startExecutors (): Promise<unknown[]> {
    const placed = []
    const zones = this.opts.zones ?? 3
    const names: string[] = []
    for (const pool of this.opts.pools) {
      for (let index = 0; index < this.opts.executorsPerPool; index++) {
        const executor = new ExecutorStandIn(`${pool}-${index}`, this.opts.slots ?? 8)
        this.executors.push(executor)
        names.push(executor.name)
        const port = Number(new URL(await this.listen(executor.server)).port)
        placed.push({ name: executor.name, pool, port, zone: `zone-${index % zones}`, rack: `${pool}-rack-${index >> 2}` })
      }
    }
    this.platform = new VmPlatformStandIn(names, { rebootMs: this.opts.rebootMs ?? 500, lagMs: 200, onReboot: (vm, down) => this.onReboot(vm, down) })
    this.platformUrl = await this.listen(this.platform.server)
    return siteDocuments(this.opts.pools, placed, { slots: this.opts.slots ?? 8, deadlineMs: this.opts.deadlineMs ?? 4_000 })
  }

  private onReboot (vm: string, down: boolean): void {
    this.executors.find(executor => executor.name === vm)?.setDown(down)
    if (down) this.downNow.add(vm)
    else this.downNow.delete(vm)
    for (const pool of this.opts.pools) {
      const count = [...this.downNow].filter(name => name.startsWith(`${pool}-`)).length
      this.mostDown.set(pool, Math.max(this.mostDown.get(pool) ?? 0, count))
    }
  }

  private async startEntries (): Promise<void> {
    const ports = await freePorts(this.opts.entries * 3)
    const peers = Array.from({ length: this.opts.entries }, (_, index) => ({ host: '127.0.0.1', port: ports[index * 3 + 2] ?? 0 }))
    for (let index = 0; index < this.opts.entries; index++) {
      const [callers = 0, operators = 0] = ports.slice(index * 3, index * 3 + 2)
      const storeWay = new Forwarder(Number(new URL(this.storeUrl).port))
      const storeEndpoint = await this.listen(storeWay.server)
      const peerWay = new Forwarder(peers[index]?.port ?? 0)
      const advertised = Number(new URL(await this.listen(peerWay.server)).port)
      const settingsFile = join(this.folder, `entry-${index}.json`)
      const logFile = join(this.folder, `entry-${index}.log`)
      await writeFile(settingsFile, JSON.stringify({
        id: `entry-${index}`,
        region: 'here',
        zone: `zone-${index % (this.opts.zones ?? 3)}`,
        callers: { host: '127.0.0.1', port: callers },
        operators: { host: '127.0.0.1', port: operators },
        peers: peers[index],
        peersAdvertised: { host: '127.0.0.1', port: advertised },
        seedPeers: peers.filter((_, other) => other !== index),
        store: { endpoints: [storeEndpoint], leaseTtlMs: this.opts.leaseTtlMs ?? 3_000 },
        vmList: { url: this.platformUrl, periodMs: this.opts.vmListPeriodMs ?? 300 },
        trialWithoutKeys: true,
        logLevel: this.opts.logLevel ?? 'info'
      }))
      const process = startProcess(['entry', '--settings', settingsFile], this.processOpts(logFile))
      this.entries.push({ id: `entry-${index}`, callers: `http://127.0.0.1:${callers}`, operators: `http://127.0.0.1:${operators}`, settingsFile, logFile, process, storeWay, peerWay })
    }
  }

  private processOpts (logFile: string): { logFile: string, binary?: string, nodeArgs?: readonly string[] } {
    return { logFile, nodeArgs: this.opts.nodeArgs ?? [], ...(this.opts.binary === undefined ? {} : { binary: this.opts.binary }) }
  }

  private async listen (server: Server | TcpServer): Promise<string> {
    return await new Promise(resolve => {
      server.listen(0, '127.0.0.1', () => {
        this.servers.push(server)
        resolve(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
      })
    })
  }
}
