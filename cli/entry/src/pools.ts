import type { Clock } from '@wisteriaslip/core.result'
import type { Settings } from '@wisteriaslip/config.settings'
import { FleetConfig } from '@wisteriaslip/config.documents'
import type { DocumentView, FleetView } from '@wisteriaslip/fleet.view'
import { PoolRuntime, TargetConnections } from '@wisteriaslip/routing.gateway'
import type { TargetView } from '@wisteriaslip/routing.slots'

const EMPTY_CONFIG = new FleetConfig([])

/** What the pools need of the entry. */
export interface PoolsOpts {
  readonly settings: Settings
  readonly incarnation: string
  readonly clock: Clock
  readonly documents: DocumentView
  readonly fleet: FleetView
  /** Told when a pool lacks slots or gave some back. */
  readonly onReportNeeded: () => void
}

/** All pools at this entry, and its connections to their targets. */
export class Pools {
  private readonly opts: PoolsOpts
  private readonly runtimes = new Map<string, PoolRuntime>()
  private readonly connections = new Map<string, { address: string, connections: TargetConnections }>()

  constructor (opts: PoolsOpts) {
    this.opts = opts
  }

  /** @returns the pools of the configuration in force, and others that still have requests */
  all (): Iterable<PoolRuntime> {
    for (const pool of this.opts.documents.config()?.pools ?? []) this.pool(pool.name)
    return this.runtimes.values()
  }

  /**
   * @param name - name of a pool
   * @returns the pool at this entry
   */
  pool (name: string): PoolRuntime {
    const known = this.runtimes.get(name)
    if (known !== undefined) return known
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
   * @returns this entry's connections to it, undefined when it is not configured
   */
  connectionsTo (target: string): TargetConnections | undefined {
    const vm = this.opts.documents.config()?.vms.get(target)
    if (vm === undefined) return undefined
    const address = `${vm.address.host}:${vm.address.port}`
    const known = this.connections.get(target)
    if (known?.address === address) return known.connections
    known?.connections.close()
    const limit = Math.max(1, Math.floor(vm.connections / this.opts.settings.maxEntries))
    const connections = new TargetConnections({ address: vm.address, limit, clock: this.opts.clock })
    this.connections.set(target, { address, connections })
    return connections
  }

  /** @returns whether any request waits for a slot */
  anyWaiting (): boolean {
    for (const runtime of this.runtimes.values()) {
      if (runtime.queue.waiting() > 0) return true
    }
    return false
  }

  /** Refuses what is late, hands out slots, and closes connections that were idle for long. */
  sweep (): void {
    for (const runtime of this.runtimes.values()) runtime.queue.dispatch()
    for (const { connections } of this.connections.values()) connections.closeExpired()
  }

  /** Closes all idle connections. */
  close (): void {
    for (const { connections } of this.connections.values()) connections.close()
  }

  private targetView (pool: string, target: string): TargetView | undefined {
    const pooled = this.opts.fleet.vmsOf(pool).get(target)
    if (pooled === undefined) return undefined
    const healthy = this.connections.get(target)?.connections.healthy() ?? true
    return { zone: pooled.vm.zone, usable: pooled.status === 'in-service' && healthy }
  }
}
