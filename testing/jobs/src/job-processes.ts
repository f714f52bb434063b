import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { freePorts, startProcess, StoreStandIn, type StartedProcess } from '@wisteriaslip/testing.stand-ins'
import { request } from 'undici'
import { waitUntil } from './wait-until.ts'
import type { TaskPlan } from './memory-workers.ts'
import { HttpWorkerHosts } from './worker-hosts.ts'

const PORTS_PER_ENTRY = 5
const PREFIX = 'wisteriaslip'
const CALL_TIMEOUT_MS = 5_000

/** An entry as a process. */
export interface JobProcess {
  readonly id: string
  /** URL of its interface for jobs. */
  readonly jobs: string
  readonly logFile: string
  readonly process: StartedProcess
}

/** Entries as processes that serve jobs, on a stand-in of the store and workers on loopback. */
export class JobProcesses {
  readonly entries: JobProcess[] = []
  readonly hosts: HttpWorkerHosts
  private readonly store = new StoreStandIn()
  private folder = ''

  private constructor (plan: (task: string, attempt: number) => TaskPlan) {
    this.hosts = new HttpWorkerHosts(plan)
  }

  /**
   * Starts a site with two services, and waits until each has a leader that can be asked.
   * @param opts - how many entries, what becomes of runs, level of the entries' logs
   */
  static async start (opts: { entries: number, plan: (task: string, attempt: number) => TaskPlan, logLevel?: string }): Promise<JobProcesses> {
    const site = new JobProcesses(opts.plan)
    site.folder = await mkdtemp(join(tmpdir(), 'wisteriaslip-jobs-'))
    try {
      await site.bringUp(opts.entries, opts.logLevel ?? 'info')
      return site
    } catch (error) {
      await site.stop()
      throw error
    }
  }

  /** Stops everything that was started. */
  async stop (): Promise<void> {
    await Promise.all(this.entries.map(async entry => await entry.process.kill()))
    this.hosts.stop()
    this.store.server.close()
    this.store.server.closeAllConnections()
    await rm(this.folder, { recursive: true, force: true })
  }

  /**
   * Calls an entry's interface for jobs.
   * @param entry - number of the entry
   * @param method - of HTTP
   * @param path - with its query
   * @param body - to send as JSON
   * @returns status and body, undefined when it does not answer
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
   * @param service - a service
   * @returns number of the entry that leads it, -1 for none
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

  private async bringUp (count: number, logLevel: string): Promise<void> {
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
        store: { endpoints: [storeUrl], prefix: PREFIX },
        jobs: { listen: at(index, 3), peers: at(index, 4) },
        trialWithoutKeys: true,
        logLevel
      }))
      this.entries.push({ id, jobs: `http://127.0.0.1:${at(index, 3).port}`, logFile, process: startProcess(['entry', '--settings', settingsFile], { logFile }) })
    }
    const config = { version: 1, services: [{ name: 'quoting' }, { name: 'surveys' }], queues: [{ name: 'quotes', service: 'quoting' }, { name: 'photos', service: 'surveys' }] }
    await waitUntil('the configuration is stored', async () => [200, 409].includes((await this.call(0, 'POST', '/v1/job-config', config))?.status ?? 0))
    await this.hosts.start(storeUrl, { service: 'quoting', count: 4, prefix: `${PREFIX}-jobs` })
    await this.hosts.start(storeUrl, { service: 'surveys', count: 4, prefix: `${PREFIX}-jobs` })
    await waitUntil('both services are led', async () => await this.findLeader('quoting') >= 0 && await this.findLeader('surveys') >= 0)
  }
}
