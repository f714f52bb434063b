import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import type { Server } from 'node:http'
import type { AddressInfo, Server as TcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import type { EntryStatus } from '@wisteriaslip/cli.operators'
import { ExecutorStandIn, freePorts, startProcess, StoreStandIn, TcpProxy, VmPlatformStandIn, type StartedProcess } from '@wisteriaslip/testing.stand-ins'
import { createSiteDocuments } from './documents.ts'

const MAX_POLLS = 600
const MAX_DOCUMENTS_PER_APPLY = 100
const POLL_INTERVAL_MS = 100

/** Size and configuration of a site. */
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
  /** Documents to apply after those of the site itself. */
  readonly extraDocuments?: readonly unknown[]
  /** Path of a built binary to run instead of the sources. */
  readonly binary?: string
  readonly logLevel?: string
  /** Node.js flags of all entries, used for profiling. */
  readonly nodeArgs?: readonly string[]
}

/** One entry of a site. */
export interface SiteEntry {
  readonly id: string
  /** Base URL of its caller API. */
  readonly callers: string
  /** Base URL of its operator API. */
  readonly operators: string
  readonly settingsFile: string
  readonly logFile: string
  process: StartedProcess
  /** Carries its connections to the store. */
  readonly storeProxy: TcpProxy
  /** Carries the connections of its peers to it. */
  readonly peerProxy: TcpProxy
}

/** A running site: entries as processes, and stand-ins for the store, the executors and the VM platform. */
export class Site {
  readonly store: StoreStandIn
  readonly executors: ExecutorStandIn[] = []
  readonly entries: SiteEntry[] = []
  /** Largest number of VMs that were down at the same time, by pool. */
  readonly maxVmsDown = new Map<string, number>()
  platform: VmPlatformStandIn | undefined
  storeUrl = ''
  private readonly opts: SiteOpts
  private readonly servers: Array<Server | TcpServer> = []
  private readonly downVms = new Set<string>()
  private folder = ''
  private platformUrl = ''

  private constructor (opts: SiteOpts) {
    this.opts = opts
    this.store = new StoreStandIn(opts.random)
  }

  /**
   * Starts a site and waits until every entry is ready.
   * @param opts - size and configuration of the site
   * @returns the site
   * @throws when a document is invalid or the site is not ready in time; everything started so far is stopped
   */
  static async start (opts: SiteOpts): Promise<Site> {
    const site = new Site(opts)
    site.folder = await mkdtemp(join(tmpdir(), 'wisteriaslip-'))
    try {
      await site.startSite()
      return site
    } catch (error) {
      await site.stop()
      throw error
    }
  }

  private async startSite (): Promise<void> {
    this.storeUrl = await this.listen(this.store.server)
    const documents = await this.startExecutors()
    await this.startEntries()
    await this.apply(documents)
    await this.applyInBatches(this.opts.extraDocuments ?? [])
    await this.waitUntilReady()
  }

  /** Applies documents in batches that each fit into one transaction. */
  private async applyInBatches (documents: readonly unknown[]): Promise<void> {
    for (let start = 0; start < documents.length; start += MAX_DOCUMENTS_PER_APPLY) {
      await this.apply(documents.slice(start, start + MAX_DOCUMENTS_PER_APPLY))
    }
  }

  /** Kills the entries, closes the stand-ins and deletes the files of the site. */
  async stop (): Promise<void> {
    await Promise.all(this.entries.map(async entry => await entry.process.kill()))
    for (const server of this.servers) {
      if ('closeAllConnections' in server) server.closeAllConnections()
      server.close()
    }
    await rm(this.folder, { recursive: true, force: true })
  }

  /**
   * Starts an entry again with its old settings, as the platform does when it replaces a VM.
   * @param entry - entry whose process has ended
   */
  restart (entry: SiteEntry): void {
    entry.process = startProcess(['entry', '--settings', entry.settingsFile], this.processOpts(entry.logFile))
  }

  /**
   * Applies documents through the first entry; retries until the entry accepts them.
   * @param documents - documents to apply in one transaction
   * @returns the revision of the write
   * @throws when a document is invalid or the entry does not accept them in time
   */
  async apply (documents: readonly unknown[]): Promise<number> {
    for (let attempt = 0; attempt < MAX_POLLS; attempt++) {
      const response = await this.callOperatorApi(0, 'POST', '/v1/apply', { documents })
      if (response?.status === 200) return (response.body as { revision: number }).revision
      if (response?.status === 422) throw new Error(JSON.stringify(response.body))
      await sleep(POLL_INTERVAL_MS)
    }
    throw new Error('timed out waiting for the first entry to accept the documents')
  }

  /**
   * @param index - index of the entry
   * @returns its status, undefined when it does not respond
   */
  async status (index: number): Promise<EntryStatus | undefined> {
    const response = await this.callOperatorApi(index, 'GET', '/v1/status', undefined)
    return response?.status === 200 ? response.body as EntryStatus : undefined
  }

  /**
   * Calls the operator API of an entry.
   * @param index - index of the entry
   * @param method - HTTP method
   * @param path - path with query string
   * @param body - value to send as JSON, undefined for none
   * @returns status and parsed body, the text for `/metrics`; undefined when the call fails or times out
   */
  async callOperatorApi (index: number, method: 'GET' | 'POST', path: string, body: unknown): Promise<{ status: number, body: unknown } | undefined> {
    try {
      const res = await request(`${this.entries[index]?.operators ?? ''}${path}`, { method, ...(body === undefined ? {} : { body: JSON.stringify(body) }), signal: AbortSignal.timeout(5_000) })
      const text = await res.body.text()
      return { status: res.statusCode, body: path === '/metrics' ? text : JSON.parse(text) }
    } catch {
      return undefined
    }
  }

  /**
   * @param index - index of the executor
   * @returns its base URL
   */
  executorUrl (index: number): string {
    const { port } = this.executors[index]?.server.address() as AddressInfo
    return `http://127.0.0.1:${port}`
  }

  /**
   * Waits until every entry is ready and holds slots of every pool.
   * @throws when this takes too long
   */
  async waitUntilReady (): Promise<void> {
    for (let attempt = 0; attempt < MAX_POLLS; attempt++) {
      const statuses = await Promise.all(this.entries.map(async (_, index) => await this.status(index)))
      const ready = statuses.every(status => status?.ready === true && status.pools.length > 0 && status.pools.every(pool => pool.slotsHeld > 0))
      if (ready) return
      await sleep(POLL_INTERVAL_MS)
    }
    throw new Error('timed out waiting for the site to become ready')
  }

  private async startExecutors (): Promise<unknown[]> {
    const siteExecutors = []
    const zones = this.opts.zones ?? 3
    const names: string[] = []
    for (const pool of this.opts.pools) {
      for (let index = 0; index < this.opts.executorsPerPool; index++) {
        const executor = new ExecutorStandIn(`${pool}-${index}`, this.opts.slots ?? 8)
        this.executors.push(executor)
        names.push(executor.name)
        const port = Number(new URL(await this.listen(executor.server)).port)
        siteExecutors.push({ name: executor.name, pool, port, zone: `zone-${index % zones}`, rack: `${pool}-rack-${index >> 2}` })
      }
    }
    this.platform = new VmPlatformStandIn(names, { rebootMs: this.opts.rebootMs ?? 500, lagMs: 200, onReboot: (vm, down) => this.onPowerChange(vm, down) })
    this.platformUrl = await this.listen(this.platform.server)
    return createSiteDocuments(this.opts.pools, siteExecutors, { slots: this.opts.slots ?? 8, deadlineMs: this.opts.deadlineMs ?? 4_000 })
  }

  private onPowerChange (vm: string, down: boolean): void {
    this.executors.find(executor => executor.name === vm)?.setDown(down)
    if (down) this.downVms.add(vm)
    else this.downVms.delete(vm)
    for (const pool of this.opts.pools) {
      const count = [...this.downVms].filter(name => name.startsWith(`${pool}-`)).length
      this.maxVmsDown.set(pool, Math.max(this.maxVmsDown.get(pool) ?? 0, count))
    }
  }

  private async startEntries (): Promise<void> {
    const ports = await freePorts(this.opts.entries * 3)
    const peers = Array.from({ length: this.opts.entries }, (_, index) => ({ host: '127.0.0.1', port: ports[index * 3 + 2] ?? 0 }))
    for (let index = 0; index < this.opts.entries; index++) {
      const [callers = 0, operators = 0] = ports.slice(index * 3, index * 3 + 2)
      const storeProxy = new TcpProxy(Number(new URL(this.storeUrl).port))
      const storeEndpoint = await this.listen(storeProxy.server)
      const peerProxy = new TcpProxy(peers[index]?.port ?? 0)
      const advertisedPort = Number(new URL(await this.listen(peerProxy.server)).port)
      const settingsFile = join(this.folder, `entry-${index}.json`)
      const logFile = join(this.folder, `entry-${index}.log`)
      await writeFile(settingsFile, JSON.stringify({
        id: `entry-${index}`,
        region: 'here',
        zone: `zone-${index % (this.opts.zones ?? 3)}`,
        callers: { host: '127.0.0.1', port: callers },
        operators: { host: '127.0.0.1', port: operators },
        peers: peers[index],
        peersAdvertised: { host: '127.0.0.1', port: advertisedPort },
        seedPeers: peers.filter((_, other) => other !== index),
        store: { endpoints: [storeEndpoint], leaseTtlMs: this.opts.leaseTtlMs ?? 3_000 },
        vmList: { url: this.platformUrl, periodMs: this.opts.vmListPeriodMs ?? 300 },
        trialWithoutKeys: true,
        logLevel: this.opts.logLevel ?? 'info'
      }))
      const process = startProcess(['entry', '--settings', settingsFile], this.processOpts(logFile))
      this.entries.push({ id: `entry-${index}`, callers: `http://127.0.0.1:${callers}`, operators: `http://127.0.0.1:${operators}`, settingsFile, logFile, process, storeProxy, peerProxy })
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
