import { readFileSync } from 'node:fs'
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { delay } from '@wisteriaslip/core.result'
import { startProcess, type StartedProcess } from '@wisteriaslip/testing.stand-ins'
import { request } from 'undici'
import { ports, type Addresses } from './addresses.ts'
import { MAINTENANCE_MS } from './vm-platform.ts'

const READY_TIMEOUT_MS = 500
const NS_PER_MS = 1e6
const EXIT_POLL_INTERVAL_MS = 50

/** For how long a job that has ended must be shown, in milliseconds. */
export const STATUS_KEPT_MS = 120_000

/** Processes of all sites; they must not outlive this one, however it ends. */
const started = new Set<StartedProcess>()
process.once('exit', () => { for (const { child } of started) child.kill('SIGKILL') })

/** Options of {@link EntryProcess.create}. */
export interface EntryOpts {
  readonly index: number
  readonly binary: string | undefined
  readonly folder: string
  readonly longestLeaseMs: number
  readonly addresses: Addresses
  /** Limits of memory and descriptors in the settings; none if undefined. */
  readonly limits?: { readonly memoryMb: number, readonly maxFds: number } | undefined
}

/** An entry as a process on addresses of its own; whatever it calls, it calls through its proxies. */
export class EntryProcess {
  readonly id: string
  readonly ip: string
  readonly logFile: string
  private readonly settingsFile: string
  private readonly binary: string | undefined
  private process: StartedProcess | undefined
  private restarting = false

  private constructor ({ index, binary, folder, addresses }: EntryOpts) {
    this.id = `entry-${index}`
    this.ip = addresses.ip(addresses.hosts.entry(index))
    this.logFile = join(folder, `${this.id}.log`)
    this.settingsFile = join(folder, `${this.id}.json`)
    this.binary = binary
  }

  /** Writes the settings of an entry. @returns the entry, not started */
  static async create (opts: EntryOpts): Promise<EntryProcess> {
    const { index, addresses } = opts
    const entry = new EntryProcess(opts)
    await writeFile(entry.settingsFile, JSON.stringify({
      nodeName: entry.id,
      zone: `zone-${index}`,
      region: 'here',
      ip: entry.ip,
      portRange: [ports.peers, ports.peers + 15],
      limits: { cpuShare: 1, cores: 1, ...opts.limits },
      listen: { front: `${entry.ip}:${ports.callers}`, ready: `${entry.ip}:${ports.ready}` },
      bounds: { graceS: 6, holdMaxMs: opts.longestLeaseMs, stopTimeoutMs: 400, status_s: STATUS_KEPT_MS / 1_000, maintenanceS: MAINTENANCE_MS / 1_000 },
      platform: { address: `${addresses.ip(addresses.hosts.store, index)}:${ports.store}`, writesPerS: 400, readsPerS: 2_000 },
      cloudApi: { address: `${addresses.ip(addresses.hosts.vmList, index)}:${ports.store}` }
    }))
    return entry
  }

  /** Starts the process; the previous one must have ended. */
  start (): void {
    this.process = startProcess(['serve', '--settings', this.settingsFile], { ...(this.binary === undefined ? {} : { binary: this.binary }), logFile: this.logFile, appendOutput: true })
    const { process } = this
    started.add(process)
    process.child.once('exit', () => started.delete(process))
  }

  /** @returns id of the process, undefined before its start */
  pid (): number | undefined {
    return this.process?.child.pid
  }

  /** @returns where it listens for callers */
  callers (): { host: string, port: number } {
    return { host: this.ip, port: ports.callers }
  }

  /** @returns whether the process runs, or is paused */
  isRunning (): boolean {
    const child = this.process?.child
    return child !== undefined && child.exitCode === null && child.signalCode === null
  }

  /** @returns for how many milliseconds the process was ready to run and waited for a processor, since its start */
  waitedForProcessorMs (): number {
    if (!this.isRunning()) return 0
    try {
      return Number(readFileSync(`/proc/${this.process?.child.pid ?? ''}/schedstat`, 'utf8').split(' ')[1]) / NS_PER_MS
    } catch {
      return 0
    }
  }

  /** @returns whether the process reports itself ready */
  async isReady (): Promise<boolean> {
    try {
      const response = await request(`http://${this.ip}:${ports.ready}/-/readiness`, { signal: AbortSignal.timeout(READY_TIMEOUT_MS) })
      await response.body.dump()
      return response.statusCode === 200
    } catch {
      return false
    }
  }

  /** @param signal - signal to send to the process */
  signal (signal: 'SIGSTOP' | 'SIGCONT' | 'SIGTERM' | 'SIGHUP'): void {
    if (this.isRunning()) this.process?.child.kill(signal)
  }

  /** Kills the process and waits until it has ended. */
  async kill (): Promise<void> {
    if (this.isRunning()) await this.process?.kill()
  }

  /**
   * Ends the process and starts it again, unless it is ending already.
   * @param graceMs - time for a graceful shutdown in milliseconds; 0 to kill it at once
   * @param pauseMs - pause before the start in milliseconds
   * @param signal - cuts both waits short
   */
  async restart (graceMs: number, pauseMs: number, signal: AbortSignal): Promise<void> {
    if (this.restarting) return
    this.restarting = true
    if (graceMs > 0) await this.stop(graceMs, signal)
    await this.kill()
    await delay(pauseMs, signal)
    this.start()
    this.restarting = false
  }

  private async stop (graceMs: number, signal: AbortSignal): Promise<void> {
    this.signal('SIGTERM')
    const until = performance.now() + graceMs
    while (this.isRunning() && performance.now() < until && !signal.aborted) await delay(EXIT_POLL_INTERVAL_MS, signal)
  }
}
