import type { Logger } from '@wisteriaslip/core.logger'
import type { Day } from './day-events.ts'
import { DayPlayer } from './day-player.ts'
import type { LostTask } from './lost-watch.ts'
import type { RunGap } from './run-gaps.ts'
import { Simulation } from './simulation.ts'

/** What a scenario has shown. */
export interface DayResult {
  readonly lost: readonly LostTask[]
  /** Tasks that ran twice, and orders that the platform must not get. */
  readonly violations: readonly string[]
  /** The longest wait of a long-running task that nothing excuses, and how long waits counted, in milliseconds. */
  readonly longestWaitMs: number
  /** The longest time that was calm from its beginning after which a task had no run although there was room. */
  readonly slowestRecoveryMs: number
  readonly calmMs: number
  /** Times in which long-running tasks had no run. */
  readonly gaps: readonly RunGap[]
  /** The longest time that a task which ends by itself waited for its first run, or waits still, in milliseconds. */
  readonly longestStartMs: number
  /** Number of VMs whose maintenance has begun, by wave. */
  readonly maintained: ReadonlyMap<number, number>
}

/**
 * Plays a scenario.
 * @param day - the scenario
 * @param opts - logs what the entries log; nothing by default
 * @returns what it has shown
 */
export async function playDay (day: Day, opts: { logger?: (now: () => number) => Logger } = {}): Promise<DayResult> {
  const site = new Simulation({ ...day, ...opts })
  try {
    new DayPlayer(site).schedule(day)
    await site.process.run(day.endMs)
    const { lost, longestWaitMs, slowestRecoveryMs, calmMs } = site.watch
    return { lost, violations: site.violations(), longestWaitMs, slowestRecoveryMs, calmMs, gaps: site.gaps.all(), longestStartMs: site.longestStartMs(), maintained: site.fleet.maintained() }
  } finally {
    site.close()
  }
}
