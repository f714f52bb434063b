import { delay } from '@wisteriaslip/core.result'
import type { SoakSite } from './site.ts'
import type { Traffic } from './callers.ts'

/** A course of faults, with the site and the jobs that it is meant for. */
export interface Scenario {
  readonly entries: number
  readonly workers: number
  readonly traffic: Traffic
  /** Long-running jobs, submitted at the start. */
  readonly lastingJobs: number
  /**
   * Carries out the faults. All have ended when it returns, or when the signal has aborted.
   * @param site - the site
   * @param signal - ends the wait for the next fault
   */
  run (site: SoakSite, signal: AbortSignal): Promise<void>
}

const HOLD = { holdRequests: true, holdReplies: true } as const

const longTasks: Traffic = {
  everyMs: 700,
  next: random => ({ plan: { cpu: 500, memMb: 100, runMs: 7_000 + Math.floor(random() * 3_000), failShare: 0 }, tasks: 1 })
}

/**
 * A leader is cut off from the store, its peers and one worker. Its successor reaches this worker, but not the other one,
 * which the old leader still reaches.
 */
export const replacedUnnoticed: Scenario = {
  entries: 3,
  workers: 2,
  traffic: longTasks,
  lastingJobs: 1,
  async run (site, signal) {
    await delay(8_000, signal)
    const leader = site.leader() ?? 0
    const others = [...site.entries.keys()].filter(entry => entry !== leader)
    const ends = [
      site.toStore(leader).begin(HOLD),
      site.toVmList(leader).begin(HOLD),
      site.toWorker(leader, 0).begin(HOLD),
      ...others.flatMap(other => [site.toPeer(leader, other).begin(HOLD), site.toPeer(other, leader).begin(HOLD), site.toWorker(other, 1).begin({ resetNew: true })])
    ]
    for (const other of others) site.toWorker(other, 1).reset()
    await delay(12_000, signal)
    for (const end of ends) end()
    await delay(4_000, signal)
  }
}
