import { delay } from '@wisteriaslip/core.result'
import type { JobSpec, Traffic } from './callers.ts'
import type { LinkFault } from './fault-proxy.ts'
import type { QueueSpec, SoakSite } from './site.ts'
import type { Pool } from './worker-host.ts'
import type { TaskPlan } from './worker.ts'

/** A course of faults, with the site and the jobs that it is meant for. */
export interface Scenario {
  readonly entries: number
  readonly pools: readonly Pool[]
  /** Queues beside the one of each service. */
  readonly queues?: readonly QueueSpec[]
  /** Longest lease of a worker in milliseconds; 6 s by default. */
  readonly longestLeaseMs?: number
  readonly traffic: Traffic
  /** Long-running jobs, submitted at the start. */
  readonly lastingJobs: readonly JobSpec[]
  /** Jobs must be completed within this time after the last fault, in milliseconds; undefined if that is not checked. */
  readonly finishMs: number | undefined
  /**
   * Carries out the faults. All have ended when it returns, or when the signal has aborted.
   * @param site - the site
   * @param signal - ends the wait for the next fault
   */
  run (site: SoakSite, signal: AbortSignal): Promise<void>
}

/** Holds all bytes in both directions. */
export const HOLD: LinkFault = { holdRequests: true, holdReplies: true }

/** Lasts until it is stopped. */
export const LASTING: TaskPlan = { cpu: 300, memMb: 100, runMs: 0, failShare: 0 }

/**
 * VMs with tasks that last are removed for good, and the leader of their service is killed, and so is its successor before it
 * knows what runs; then it is calm.
 * @returns the scenario
 */
export function goneWithLeaders (): Scenario {
  return {
    entries: 3,
    pools: [{ name: 'work', vms: 7 }, { name: 'index', vms: 2 }, { name: 'report', vms: 2 }],
    longestLeaseMs: 10_000,
    traffic: longTasks,
    lastingJobs: [{ service: 'work', plan: LASTING, tasks: 8, mayMiss: 1 }],
    finishMs: 20_000,
    async run (site, signal) {
      await delay(5_000, signal)
      for (const host of site.hosts.slice(0, 2)) host.remove()
      await killLeader(site, signal)
      await killLeader(site, signal)
      await delay(20_000, signal)
    }
  }
}

/** Longest time for which another leader is awaited: the entry that was killed may be back in time to lead again itself. */
const MAX_SUCCESSION_MS = 8_000

/** Kills the leader, and waits until it has had a successor for some seconds. */
async function killLeader (site: SoakSite, signal: AbortSignal): Promise<void> {
  const leader = site.leader()
  const recover = site.log.faults.begin('killEntry')
  await site.entries[leader ?? 0]?.restart(0, 100, signal)
  recover()
  const until = performance.now() + MAX_SUCCESSION_MS
  while ((site.leader() ?? leader) === leader && performance.now() < until && !signal.aborted) await delay(100, signal)
  await delay(4_000, signal)
}

/** Outlasts the lease of an entry. */
const LAPSE_MS = 4_000

/** Jobs of one task that takes 7 to 10 s. */
export const longTasks: Traffic = {
  everyMs: 700,
  next: random => ({ plan: { cpu: 500, memMb: 100, runMs: 7_000 + Math.floor(random() * 3_000), failShare: 0 }, tasks: 1 })
}

/** Times of {@link replacedUnnoticed} in milliseconds, and whether jobs must be completed afterwards. */
export interface ReplacedOpts {
  readonly calmMs: number
  readonly cutMs: number
  readonly finishMs?: number
  /** How many of its peers are cut off together with the leader, which it still reaches; none by default. */
  readonly companions?: number
  /** The others lose the store before, for so long that their leases run out, and reach it again when the leader is cut off. */
  readonly othersLapsed?: boolean
}

/**
 * A leader is cut off from the store, its other peers and one worker. Its successor reaches this worker, but not the other one,
 * which the old leader still reaches.
 * @param opts - how long it is calm before, how long the cut lasts
 * @returns the scenario
 */
export function replacedUnnoticed ({ calmMs, cutMs, finishMs, companions = 0, othersLapsed = false }: ReplacedOpts): Scenario {
  return {
    entries: 3,
    pools: [{ name: 'work', vms: 2 }],
    traffic: longTasks,
    lastingJobs: [{ plan: LASTING, tasks: 2 }],
    finishMs,
    async run (site, signal) {
      await delay(calmMs, signal)
      const leader = site.leader() ?? 0
      const recover = site.log.faults.begin('leader replaced')
      const peers = [...site.entries.keys()].filter(entry => entry !== leader)
      const cutOff = [leader, ...peers.slice(0, companions)]
      const others = peers.slice(companions)
      const lapses = othersLapsed ? others.flatMap(entry => [site.toStore(entry), ...cutOff.map(other => site.toPeer(entry, other))]).map(link => link.begin(HOLD)) : []
      if (othersLapsed) await delay(LAPSE_MS, signal)
      const ends = [
        ...cutOff.flatMap(entry => [site.toStore(entry), site.toVmList(entry), ...others.flatMap(other => [site.toPeer(entry, other), site.toPeer(other, entry)])]),
        site.toWorker(leader, 0)
      ].map(link => link.begin(HOLD))
      for (const other of others) ends.push(site.toWorker(other, 1).begin({ resetNew: true }))
      for (const other of others) site.toWorker(other, 1).reset()
      for (const end of lapses) end()
      await delay(cutMs, signal)
      for (const end of ends) end()
      recover()
      await delay(1_000, signal)
    }
  }
}
