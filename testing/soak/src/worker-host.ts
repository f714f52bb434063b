import { delay } from '@wisteriaslip/core.result'
import { ports, type Addresses } from './addresses.ts'
import { closeServer, listen } from './http.ts'
import type { PlatformStore } from './platform-store.ts'
import type { RunLog } from './run-log.ts'
import { Worker } from './worker.ts'

/** Period of the registrations' renewal. */
export const HEARTBEAT_MS = 1_500
/** A registration is removed after this many periods of silence. */
const SILENT_HEARTBEATS = 3
const CAPACITY = { cpu: 4_000, memMb: 4_000 }

/** Options of {@link WorkerHost}. */
export interface WorkerHostOpts {
  readonly index: number
  readonly service: string
  readonly zone: string
  readonly addresses: Addresses
  readonly store: PlatformStore
  readonly log: RunLog
  readonly random: () => number
}

/** A VM with one worker after another. The worker registers itself, and renews its registration. */
export class WorkerHost {
  readonly vm: string
  private readonly opts: WorkerHostOpts
  private worker: Worker | undefined
  private incarnations = 0
  private lease: number | undefined
  private sequence = 0
  private restarting = false
  /** The worker does not reach the store. */
  private disconnected = false
  private readonly heartbeat = setInterval(() => this.renew(), HEARTBEAT_MS)

  /** @param opts - number of the VM, service, and what its worker talks to */
  constructor (opts: WorkerHostOpts) {
    this.opts = opts
    this.vm = `m-${opts.index}`
  }

  /** @returns the worker, undefined while the VM is down */
  current (): Worker | undefined {
    return this.worker
  }

  /**
   * Starts a worker.
   * @param opts - whether it has the id of the one before
   */
  async start (opts: { sameId: boolean }): Promise<void> {
    const { index, addresses, log, random } = this.opts
    if (!opts.sameId || this.incarnations === 0) this.incarnations += 1
    const worker = new Worker({ id: `w-${index}-${this.incarnations}`, capacity: CAPACITY, addresses, log, random })
    await listen(worker.server, ports.worker, addresses.ip(addresses.hosts.worker(index)))
    this.worker = worker
    this.lease = undefined
    this.renew()
  }

  /** Ends the worker without a word; its registration lapses later. */
  crash (): void {
    this.worker?.crash()
    if (this.worker !== undefined) closeServer(this.worker.server)
    this.worker = undefined
  }

  /**
   * Crashes the worker and starts another one, unless that is under way.
   * @param opts - pause before the start in milliseconds, whether the next worker has the same id
   * @param signal - cuts the pause short
   */
  async restart ({ pauseMs, sameId }: { pauseMs: number, sameId: boolean }, signal: AbortSignal): Promise<void> {
    if (this.restarting) return
    this.restarting = true
    this.crash()
    await delay(pauseMs, signal)
    await this.start({ sameId })
    this.restarting = false
  }

  /** @param disconnected - whether the worker reaches the store */
  setDisconnected (disconnected: boolean): void {
    this.disconnected = disconnected
  }

  /** Ends the worker and all timers. */
  close (): void {
    clearInterval(this.heartbeat)
    this.crash()
  }

  /** @returns the VM as the platform lists it */
  listed (): object {
    const { service, zone } = this.opts
    return { machine: this.vm, pool: service, state: this.worker === undefined ? 'down' : 'up', zone, labels: this.labels(), capacity: { ...CAPACITY, gpu: 0 }, ...(this.worker === undefined ? {} : { id: this.worker.id }) }
  }

  private labels (): string[] {
    return ['plain', `r-${this.opts.index % 2}`]
  }

  private renew (): void {
    const { store, addresses, index, service, zone } = this.opts
    if (this.worker === undefined || this.disconnected || store.isDown()) return
    if (this.lease === undefined || !store.keep(this.lease)) this.lease = store.grant(HEARTBEAT_MS * SILENT_HEARTBEATS).lease
    this.sequence += 1
    const value = JSON.stringify({
      service,
      address: `${addresses.ip(addresses.hosts.worker(index))}:${ports.worker}`,
      zone,
      version: '1',
      slots: 1,
      state: 'ready',
      coldLeftMs: 0,
      sequence: this.sequence,
      capacity: { ...CAPACITY, gpu: 0 },
      labels: this.labels(),
      machine: this.vm,
      born: this.worker.born
    })
    store.commit({ expected: [], puts: [{ key: `servers/${this.worker.id}`, value, lease: this.lease }], removes: [] })
  }
}
