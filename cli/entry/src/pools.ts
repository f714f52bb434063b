import type { Clock } from '@wisteriaslip/core.result'
import type { Settings } from '@wisteriaslip/config.settings'
import { FleetConfig } from '@wisteriaslip/config.documents'
import type { DocumentView, FleetView } from '@wisteriaslip/fleet.view'
import { PoolRuntime, TargetConnections } from '@wisteriaslip/routing.gateway'
import type { TargetView } from '@wisteriaslip/routing.slots'

const EMPTY_CONFIG = new FleetConfig([])

/** Options of {@link Pools}. */
export interface PoolsOpts {
  readonly settings: Settings
  readonly incarnation: string
  readonly clock: Clock
  readonly documents: DocumentView
  readonly fleet: FleetView
  /** Called when a pool is short of slots or has given some back. */
  readonly onReportNeeded: () => void
}

/** The pools as served by this entry, and its connections to their targets. */
export class Pools {
  private readonly opts: PoolsOpts
  private readonly runtimes = new Map<string, PoolRuntime>()
  private readonly connections = new Map<string, { address: string, connections: TargetConnections }>()

  constructor (opts: PoolsOpts) {
    this.opts = opts
  }

  /** @returns the pools of the current configuration, and those of earlier ones, which may still have requests */
  all (): Iterable<PoolRuntime> {
    for (const pool of this.opts.documents.config()?.pools ?? []) this.pool(pool.name)
    return this.runtimes.values()
  }

  /**
   * @param name - name of a pool
   * @returns the pool's runtime at this entry, created on first use
   */
  pool (name: string): PoolRuntime {
    const existing = this.runtimes.get(name)
    if (existing !== undefined) return existing
    const runtime = new PoolRuntime({
      pool: name,
      incarnation: this.opts.incarnation,
      zone: this.opts.settings.zone,
      clock: this.opts.clock,
      config: () => this.opts.documents.config() ?? EMPTY_CONFIG,
      target: target => this.targetView(name, target),
      queueBytes: this.opts.settings.limits.queueBytes,
      onReportNeeded: this.opts.onReportNeeded
    })
    this.runtimes.set(name, runtime)
    return runtime
  }

  /**
   * @param target - name of a target
   * @returns this entry's connections to the target, undefined if the target is not configured
   */
  connectionsTo (target: string): TargetConnections | undefined {
    const vm = this.opts.documents.config()?.vms.get(target)
    if (vm === undefined) return undefined
    const address = `${vm.address.host}:${vm.address.port}`
    const existing = this.connections.get(target)
    if (existing?.address === address) return existing.connections
    existing?.connections.close()
    const limit = Math.max(1, Math.floor(vm.connections / this.opts.settings.maxEntries))
    const connections = new TargetConnections({ address: vm.address, limit, clock: this.opts.clock })
    this.connections.set(target, { address, connections })
    return connections
  }

  /** @returns whether any request waits for a slot */
  hasWaiting (): boolean {
    for (const runtime of this.runtimes.values()) {
      if (runtime.queue.waiting() > 0) return true
    }
    return false
  }

  /**
   * Rejects requests past their deadline, assigns slots to waiting requests, and closes connections that were idle for
   * too long.
   */
  dispatchAndExpire (): void {
    for (const runtime of this.runtimes.values()) runtime.queue.dispatch()
    for (const { connections } of this.connections.values()) connections.closeExpired()
  }

  /** Closes all idle connections. */
  close (): void {
    for (const { connections } of this.connections.values()) connections.close()
  }

  private targetView (pool: string, target: string): TargetView | undefined {
    const poolVm = this.opts.fleet.vmsOf(pool).get(target)
    if (poolVm === undefined) return undefined
    const healthy = this.connections.get(target)?.connections.isHealthy() ?? true
    return { zone: poolVm.vm.zone, usable: poolVm.status === 'in-service' && healthy }
  }
}
