import type { LinkCut } from './entry-link.ts'
import type { SiteFeatures } from './site-jobs.ts'
import type { VirtualPool } from './virtual-vm.ts'
import type { StoreOutage } from './virtual-store.ts'
import type { WorkerMachine } from './worker-machine.ts'

/** An entry by its number, or the one that leads a resource when the event begins. */
export type Who = { readonly entry: number } | { readonly leaderOf: string }

/** What an entry can be cut from. */
export type CutPlace = 'store' | 'peers' | 'vms' | 'workers'

interface Timed {
  /** Virtual time of its begin in milliseconds. */
  readonly atMs: number
}

interface Lasting extends Timed {
  readonly forMs: number
}

/** What happens to entries. Those that end are started again after `forMs`. */
export type EntryEvent =
  | Lasting & { readonly kind: 'kill', readonly who: Who }
  | Lasting & { readonly kind: 'stop', readonly who: Who }
  | Lasting & { readonly kind: 'freeze', readonly who: Who }
  | Lasting & { readonly kind: 'power-loss' }
  | Lasting & { readonly kind: 'cut', readonly who: Who, readonly from: readonly CutPlace[], readonly how: LinkCut, readonly peers: readonly number[], readonly vms: readonly number[] }
  | Lasting & { readonly kind: 'late-messages', readonly who: Who, readonly byMs: number }

/** What happens to the store. */
export type StoreEvent =
  | Lasting & { readonly kind: 'store-down', readonly how: StoreOutage, readonly leasesExpire: boolean }
  | Lasting & { readonly kind: 'store-refuses', readonly who: Who }
  | Lasting & { readonly kind: 'store-slow', readonly byMs: number }
  | Lasting & { readonly kind: 'store-unanswered', readonly percent: number }
  | Lasting & { readonly kind: 'store-late', readonly percent: number }
  | Lasting & { readonly kind: 'watches-lag', readonly byMs: number }
  | Timed & { readonly kind: 'leases-revoked', readonly who?: Who }
  | Timed & { readonly kind: 'compaction' }

/** What happens to workers and their VMs, which are named by their numbers. */
export type WorkerEvent =
  | Lasting & { readonly kind: 'crash', readonly vms: readonly number[], readonly sameId: boolean }
  | Timed & { readonly kind: 'lose', readonly vms: readonly number[], readonly listedAs?: WorkerMachine['listedAs'] }
  | Lasting & { readonly kind: 'dark', readonly vms: readonly number[] }
  | Lasting & { readonly kind: 'worker-store-cut', readonly vms: readonly number[] }
  | Lasting & { readonly kind: 'hang', readonly vms: readonly number[] }
  | Lasting & { readonly kind: 'mute', readonly vms: readonly number[] }
  | Lasting & { readonly kind: 'flap', readonly vms: readonly number[], readonly periodMs: number }
  | Lasting & { readonly kind: 'reborn-behind-cut', readonly vms: readonly number[], readonly who: Who, readonly sameId: boolean, readonly how: LinkCut }
  | Timed & { readonly kind: 'failed-runs', readonly vms: readonly number[] }
  | Lasting & { readonly kind: 'faulty-orders', readonly percent: number }

/** What happens to the platform's calls for VMs. */
export type VmCallEvent =
  | Lasting & { readonly kind: 'vm-calls', readonly outage: 'silent' | 'busy' }
  | Lasting & { readonly kind: 'vm-calls-slow', readonly byMs: number }
  | Lasting & { readonly kind: 'vm-orders', readonly unansweredPercent: number, readonly latePercent: number }
  | Lasting & { readonly kind: 'vm-list-lags', readonly byMs: number }

/** Work that is planned, or that callers ask for: no disturbance. Jobs are named by their ids, which say what they need. */
export type PlannedEvent =
  | Lasting & { readonly kind: 'reclaim', readonly vms: readonly number[], readonly noticeMs: number, readonly returns: boolean }
  | Timed & { readonly kind: 'wave', readonly vms: readonly number[], readonly durationMs: number, readonly cap: number }
  | Timed & { readonly kind: 'submit', readonly jobs: readonly string[] }
  | Timed & { readonly kind: 'cancel', readonly job: string }
  | Timed & { readonly kind: 'move-queue', readonly queue: string, readonly service: string }

/** Something that happens in a scenario. */
export type DayEvent = EntryEvent | StoreEvent | WorkerEvent | VmCallEvent | PlannedEvent

/** A scenario as data: it can be shortened by leaving out events. */
export interface Day {
  readonly seed: number
  readonly entries: number
  /** Processor capacity of each entry, one core by default. */
  readonly cores?: number
  readonly pools: readonly VirtualPool[]
  /** What the site has beyond services and queues; nothing by default. */
  readonly features?: SiteFeatures
  readonly events: readonly DayEvent[]
  readonly endMs: number
}

/**
 * @param event - an event
 * @returns virtual time in milliseconds at which it has ended, but for what it leaves behind
 */
export function endOf (event: DayEvent): number {
  return event.atMs + ('forMs' in event ? event.forMs : 0) + ('noticeMs' in event ? event.noticeMs : 0)
}
