import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { freePorts, startProcess, StoreStandIn, type StartedProcess } from '@wisteriaslip/testing.stand-ins'
import { request } from 'undici'
import { waitUntil } from './wait-until.ts'
import type { RunPlan } from './memory-workers.ts'
import { HttpWorkerHosts } from './worker-hosts.ts'

const PORTS_PER_ENTRY = 5
const KEY_PREFIX = 'wisteriaslip'
const CALL_TIMEOUT_MS = 5_000

/** An entry that runs as a process. */
export interface JobProcess {
  readonly id: string
  /** Base URL of its job interface. */
  readonly jobs: string
  readonly settingsFile: string
  readonly logFile: string
  readonly process: StartedProcess
}

/** Options of {@link JobProcesses.start}. */
export interface JobProcessesOpts {
  readonly entries: number
  /** Planned outcomes of runs. */
  readonly plan: (task: string, attempt: number) => RunPlan
  /** Log level of the entries, `info` by default. */
  readonly logLevel?: string
  /** Grace period of the entries' shutdown in milliseconds; their default if undefined. */
  readonly shutdownMs?: number
}

/** Entries as processes, on a stand-in for the store and with workers on loopback. */
export class JobProcesses {
  readonly entries: JobProcess[] = []
  readonly hosts: HttpWorkerHosts
  readonly store = new StoreStandIn()
  private folder = ''

  private constructor (plan: (task: string, attempt: number) => RunPlan) {
    this.hosts = new HttpWorkerHosts(plan)
  }

  /**
   * Starts a site with two services and waits until each has a leader that replies.
   * @param opts - entries and workers
   * @returns the site
   * @throws when the site does not start in time; everything started so far is stopped
   */
  static async start (opts: JobProcessesOpts): Promise<JobProcesses> {
    const site = new JobProcesses(opts.plan)
    site.folder = await mkdtemp(join(tmpdir(), 'wisteriaslip-jobs-'))
    try {
      await site.startSite(opts)
      return site
    } catch (error) {
      await site.stop()
      throw error
    }
  }

  /** Kills the entries, stops workers and store, and deletes the files of the site. */
  async stop (): Promise<void> {
    await Promise.all(this.entries.map(async entry => await entry.process.kill()))
    this.hosts.stop()
    this.store.server.close()
    this.store.server.closeAllConnections()
    await rm(this.folder, { recursive: true, force: true })
  }

  /**
   * Calls the job interface of an entry.
   * @param entry - index of the entry
   * @param method - HTTP method
   * @param path - path with query string
   * @param body - value to send as JSON
   * @returns status and parsed body, undefined when the call fails or times out
   */
  async call (entry: number, method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown): Promise<{ status: number, body: Record<string, unknown> } | undefined> {
    try {
      const res = await request(`${this.entries[entry]?.jobs ?? ''}${path}`, { method, ...(body === undefined ? {} : { body: JSON.stringify(body) }), signal: AbortSignal.timeout(CALL_TIMEOUT_MS) })
      return { status: res.statusCode, body: await res.body.json() as Record<string, unknown> }
    } catch {
      return undefined
    }
  }

  /**
   * @param service - name of a service
   * @returns index of the entry that leads it, -1 when no leader replies
   */
  async findLeader (service: string): Promise<number> {
    for (const index of this.entries.keys()) {
      const status = await this.call(index, 'GET', '/v1/job-status')
      const services = status?.body.services as Array<{ name: string, leader?: string, load?: unknown }> | undefined
      const found = services?.find(each => each.name === service && each.load !== undefined)
      if (found !== undefined) return this.entries.findIndex(({ id }) => id === found.leader)
    }
    return -1
  }

  /**
   * Starts an entry again with its settings; its previous process must have exited.
   * @param index - index of the entry
   */
  restart (index: number): void {
    const entry = this.entries[index]
    if (entry === undefined) throw new Error(`there is no entry ${index}`)
    this.entries[index] = { ...entry, process: startEntry(entry.settingsFile, entry.logFile) }
  }

  private async startSite ({ entries: count, logLevel = 'info', shutdownMs }: JobProcessesOpts): Promise<void> {
    await new Promise<void>(resolve => this.store.server.listen(0, '127.0.0.1', resolve))
    const storeUrl = `http://127.0.0.1:${(this.store.server.address() as AddressInfo).port}`
    const ports = await freePorts(count * PORTS_PER_ENTRY)
    const at = (index: number, which: number) => ({ host: '127.0.0.1', port: ports[index * PORTS_PER_ENTRY + which] ?? 0 })
    for (let index = 0; index < count; index++) {
      const id = `entry-${index}`
      const settingsFile = join(this.folder, `${id}.json`)
      const logFile = join(this.folder, `${id}.log`)
      await writeFile(settingsFile, JSON.stringify({
        id,
        region: 'here',
        zone: `zone-${index}`,
        callers: at(index, 0),
        operators: at(index, 1),
        peers: at(index, 2),
        store: { endpoints: [storeUrl], prefix: KEY_PREFIX },
        jobs: { listen: at(index, 3), peers: at(index, 4) },
        trialWithoutKeys: true,
        logLevel,
        shutdownMs
      }))
      this.entries.push({ id, jobs: `http://127.0.0.1:${at(index, 3).port}`, settingsFile, logFile, process: startEntry(settingsFile, logFile) })
    }
    const config = { version: 1, services: [{ name: 'quoting' }, { name: 'surveys' }], queues: [{ name: 'quotes', service: 'quoting' }, { name: 'photos', service: 'surveys' }] }
    await waitUntil('the configuration is stored', async () => [200, 409].includes((await this.call(0, 'POST', '/v1/job-config', config))?.status ?? 0))
    await this.hosts.start(storeUrl, { service: 'quoting', count: 4, prefix: `${KEY_PREFIX}-jobs` })
    await this.hosts.start(storeUrl, { service: 'surveys', count: 4, prefix: `${KEY_PREFIX}-jobs` })
    await waitUntil('both services have leaders', async () => await this.findLeader('quoting') >= 0 && await this.findLeader('surveys') >= 0)
    for (const [index, { id }] of this.entries.entries()) {
      await waitUntil(`${id} responds`, async () => (await this.call(index, 'GET', '/v1/job-status'))?.status === 200)
    }
  }
}

function startEntry (settingsFile: string, logFile: string): StartedProcess {
  return startProcess(['entry', '--settings', settingsFile], { logFile })
}
