import type { Server } from 'node:http'
import type { Violation } from './check.ts'
import { createJsonServer, type JsonCall, type JsonReply } from './http.ts'
import type { PlatformStore } from './platform-store.ts'
import type { Pool, WorkerHost } from './worker-host.ts'

const MIGRATION_MS = 1_500
/** Duration of one VM's maintenance; entries know it from their settings. */
export const MAINTENANCE_MS = 2_000

interface WaveDocument { readonly wave: number, readonly machines: readonly string[], readonly cap: number }

/** Stand-in of the platform's interface for VMs: lists them, moves them between pools, maintains them for waves. */
export class VmPlatform {
  readonly server: Server
  /** Orders that took down more VMs of a wave than it allows. */
  readonly violations: Violation[] = []
  private readonly hosts: readonly WorkerHost[]
  private readonly pools: readonly Pool[]
  private readonly store: PlatformStore
  /** Numbers of the waves for which each VM has begun its maintenance. */
  private readonly begun = new Map<string, Set<number>>()
  /** Wave for which a VM was last taken down, and when it is back. */
  private readonly down = new Map<string, { readonly wave: number, readonly until: number }>()
  private waves = 0

  /**
   * @param hosts - all VMs
   * @param pools - all pools
   * @param store - store with the documents of waves
   */
  constructor (hosts: readonly WorkerHost[], pools: readonly Pool[], store: PlatformStore) {
    this.hosts = hosts
    this.pools = pools
    this.store = store
    this.server = createJsonServer(call => this.handle(call))
  }

  /** Requests that these VMs are maintained. */
  declareWave (wave: { readonly machines: readonly string[], readonly durationS: number, readonly cap: number }): void {
    this.waves += 1
    this.store.commit({ expected: [], puts: [{ key: `op/wave/${this.waves}`, value: JSON.stringify({ wave: this.waves, ...wave }), lease: 0 }], removes: [] })
  }

  /** @returns violations of what waves ask for, by the orders until now and the states that are reported */
  check (): Violation[] {
    const early = this.store.list('status/wave/').filter(({ value }) => value.includes('"completed"')).flatMap(({ key }) => {
      const wave = this.wave(Number(key.slice(key.lastIndexOf('/') + 1)))
      const missing = this.hosts.filter(host => host.exists() && wave?.machines.includes(host.vm) === true && !this.hasBegun(host.vm, wave.wave))
      return missing.map(({ vm }): Violation => ({ rule: 'wave completed early', task: vm, runs: [], details: `wave ${wave?.wave ?? ''}` }))
    })
    return [...this.violations, ...early]
  }

  private handle ({ method, path, body }: JsonCall): JsonReply {
    if (method === 'GET') return { status: 200, body: { machines: this.hosts.filter(host => host.exists()).map(host => host.listed()) } }
    const host = this.hosts.find(each => each.exists() && each.vm === body.machine)
    if (host === undefined) return { status: 400 }
    return path === '/-/machine-move' ? this.move(host, String(body.pool)) : path === '/-/machine-upkeep' ? this.maintain(host, Number(body.wave)) : { status: 404 }
  }

  private move (host: WorkerHost, name: string): JsonReply {
    const pool = this.pools.find(each => each.name === name)
    if (pool === undefined) return { status: 400 }
    if (host.isIn(pool)) return { status: 200 }
    if (!host.isAvailable()) return refuse('busy')
    host.replace({ state: 'moving', forMs: MIGRATION_MS }, pool)
    return { status: 200 }
  }

  private maintain (host: WorkerHost, number: number): JsonReply {
    const wave = this.wave(number)
    if (wave?.machines.includes(host.vm) !== true) return refuse('wave')
    if (this.hasBegun(host.vm, number)) return { status: 200 }
    if (!host.isAvailable()) return refuse('busy')
    const now = performance.now()
    const others = [...this.down].filter(([vm, each]) => each.wave === number && each.until > now && this.exists(vm))
    if (others.length >= wave.cap) this.violations.push({ rule: 'too many in maintenance', task: host.vm, runs: [], details: `wave ${number} has taken down ${others.map(([vm]) => vm).join(', ')}` })
    this.begun.set(host.vm, (this.begun.get(host.vm) ?? new Set()).add(number))
    this.down.set(host.vm, { wave: number, until: now + MAINTENANCE_MS })
    host.replace({ state: 'upkeep', forMs: MAINTENANCE_MS })
    return { status: 200 }
  }

  private exists (vm: string): boolean {
    return this.hosts.some(host => host.vm === vm && host.exists())
  }

  private hasBegun (vm: string, wave: number): boolean {
    return this.begun.get(vm)?.has(wave) === true
  }

  private wave (number: number): WaveDocument | undefined {
    const item = this.store.get(`op/wave/${number}`)
    return item === undefined ? undefined : JSON.parse(item.value) as WaveDocument
  }
}

function refuse (reason: 'busy' | 'wave'): JsonReply {
  return { status: 409, body: { reason } }
}
