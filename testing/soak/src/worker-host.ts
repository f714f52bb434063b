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
/** A worker that has announced that it will leave stays for at least this long. */
const MIN_DRAIN_MS = 2_000
const POLL_INTERVAL_MS = 50
const CAPACITY = { cpu: 4_000, memMb: 4_000 }

/** A group of VMs whose workers serve one queue, or that are powered off. */
export interface Pool {
  readonly name: string
  readonly vms: number
  readonly standby?: boolean
}

/** Options of {@link WorkerHost}. */
export interface WorkerHostOpts {
  readonly index: number
  readonly pool: Pool
  readonly zone: string
  readonly longestLeaseMs: number
  readonly addresses: Addresses
  readonly store: PlatformStore
  readonly log: RunLog
  readonly random: () => number
}

/** A VM with one worker after another. The worker registers itself, and renews its registration. */
export class WorkerHost {
  readonly vm: string
  private readonly opts: WorkerHostOpts
  private state: 'up' | 'moving' | 'upkeep' | 'down' = 'up'
  private pool: Pool
  private gone = false
  private worker: Worker | undefined
  private incarnations = 0
  private lease: number | undefined
  private sequence = 0
  /** Ids of workers that have ended and may still be registered. */
  private readonly former = new Set<string>()
  /** The worker does not reach the store. */
  private disconnected = false
  private readonly heartbeat = setInterval(() => this.renew(), HEARTBEAT_MS)

  /** @param opts - number of the VM, its first pool, and what its worker talks to */
  constructor (opts: WorkerHostOpts) {
    this.opts = opts
    this.pool = opts.pool
    this.vm = `m-${opts.index}`
  }

  /** @returns the worker, undefined while there is none */
  current (): Worker | undefined {
    return this.worker
  }

  /** @returns whether the VM still exists */
  exists (): boolean {
    return !this.gone
  }

  /** @returns whether the VM may be moved or maintained now */
  isAvailable (): boolean {
    return !this.gone && this.state === 'up' && this.worker?.isDraining() !== true
  }

  /** @returns whether a worker of the service runs on the VM */
  serves (service: string): boolean {
    return this.worker !== undefined && this.pool.name === service
  }

  /** @returns whether the VM is in the pool, or is being moved to it */
  isIn (pool: Pool): boolean {
    return this.pool === pool
  }

  /** @returns whether the registrations tell which worker is up, but for one that is disconnected on purpose */
  isSettled (): boolean {
    const { store } = this.opts
    for (const id of this.former) if (id === this.worker?.id || store.get(`servers/${id}`) === undefined) this.former.delete(id)
    return this.former.size === 0 && (this.worker === undefined || this.disconnected || store.get(`servers/${this.worker.id}`) !== undefined)
  }

  /**
   * Powers the VM on; unless its pool is on standby, a worker starts.
   * @param opts - whether it has the id of the one before; whether it registers with the next heartbeat instead of at once
   */
  async start (opts: { sameId: boolean, registersLate?: boolean }): Promise<void> {
    const { index, longestLeaseMs, addresses, log, random } = this.opts
    if (this.gone) return
    if (this.pool.standby !== true) {
      if (!opts.sameId || this.incarnations === 0) this.incarnations += 1
      const worker = new Worker({ id: `w-${index}-${this.incarnations}`, service: this.pool.name, capacity: CAPACITY, longestLeaseMs, addresses, log, random })
      await listen(worker.server, ports.worker, addresses.ip(addresses.hosts.worker(index)))
      this.worker = worker
    }
    this.state = 'up'
    this.lease = undefined
    if (opts.registersLate !== true) this.renew()
  }

  /**
   * Crashes the worker and starts another one, unless there is none.
   * @param opts - pause before the start in milliseconds, whether the next worker has the same id, whether it registers with the next heartbeat
   * @param signal - cuts the pause short
   */
  async restart ({ pauseMs, ...opts }: { pauseMs: number, sameId: boolean, registersLate?: boolean }, signal: AbortSignal): Promise<void> {
    if (this.worker === undefined) return
    this.state = 'down'
    this.end('crashed')
    await delay(pauseMs, signal)
    await this.start(opts)
  }

  /** Removes the VM for good, without a word. */
  remove (): void {
    this.gone = true
    this.end('crashed')
  }

  /** Crashes the worker, which does not come back; the VM stays listed. */
  lose (): void {
    this.state = 'down'
    this.end('crashed')
  }

  /**
   * Terminates what runs, and powers the VM on again later.
   * @param change - what the platform does with the VM, and for how long in milliseconds
   * @param pool - its pool from now on
   */
  replace (change: { state: 'moving' | 'upkeep', forMs: number }, pool = this.pool): void {
    this.state = change.state
    this.pool = pool
    this.leave()
    setTimeout(() => {
      this.start({ sameId: false }).catch(error => process.emitWarning(`${this.vm} does not start: ${String(error)}`))
    }, change.forMs)
  }

  /**
   * The worker announces that it will leave, and leaves; the VM is removed, or starts another one.
   * @param opts - how much longer than it must the worker stays, and the pause before the next start, in milliseconds; whether the VM is removed
   * @param signal - cuts all waits short
   */
  async drain ({ extraMs, pauseMs, remove }: { extraMs: number, pauseMs: number, remove: boolean }, signal: AbortSignal): Promise<void> {
    const { worker } = this
    if (worker === undefined || !this.isAvailable()) return
    worker.noteDraining()
    while (!this.renew() && !signal.aborted && this.worker === worker) await delay(POLL_INTERVAL_MS, signal)
    await delay(MIN_DRAIN_MS + extraMs, signal)
    if (this.worker !== worker) return
    this.state = 'down'
    this.gone = remove
    this.leave()
    await delay(pauseMs, signal)
    await this.start({ sameId: false })
  }

  /** @param disconnected - whether the worker reaches the store */
  setDisconnected (disconnected: boolean): void {
    this.disconnected = disconnected
  }

  /** Ends the worker and all timers. */
  close (): void {
    clearInterval(this.heartbeat)
    this.remove()
  }

  /** @returns the VM as the platform lists it */
  listed (): object {
    return { machine: this.vm, pool: this.pool.name, state: this.state, zone: this.opts.zone, labels: this.labels(), capacity: { ...CAPACITY, gpu: 0 }, ...(this.worker === undefined ? {} : { id: this.worker.id }) }
  }

  private end (how: 'crashed' | 'left'): void {
    if (this.worker === undefined) return
    this.worker.terminate(how)
    closeServer(this.worker.server)
    this.former.add(this.worker.id)
    this.worker = undefined
  }

  /** Ends the worker, which removes its registration if it reaches the store. */
  private leave (): void {
    this.end('left')
    if (this.lease !== undefined && !this.disconnected && !this.opts.store.isDown()) this.opts.store.end(this.lease)
  }

  private labels (): string[] {
    return ['plain', `r-${this.opts.index % 2}`]
  }

  /** @returns whether the store has accepted what the worker says of itself */
  private renew (): boolean {
    const { store, addresses, index, zone } = this.opts
    if (this.worker === undefined || this.disconnected || store.isDown()) return false
    if (this.lease === undefined || !store.keep(this.lease)) this.lease = store.grant(HEARTBEAT_MS * SILENT_HEARTBEATS).lease
    this.sequence += 1
    const value = JSON.stringify({
      service: this.pool.name,
      address: `${addresses.ip(addresses.hosts.worker(index))}:${ports.worker}`,
      zone,
      version: '1',
      slots: 1,
      ...this.worker.isDraining() ? { state: 'draining', remainingMs: MIN_DRAIN_MS } : { state: 'ready' },
      coldLeftMs: 0,
      sequence: this.sequence,
      capacity: { ...CAPACITY, gpu: 0 },
      labels: this.labels(),
      machine: this.vm,
      born: this.worker.born
    })
    store.commit({ expected: [], puts: [{ key: `servers/${this.worker.id}`, value, lease: this.lease }], removes: [] })
    return true
  }
}
