import { delay } from '@wisteriaslip/core.result'
import type { JobSpec, Traffic } from './callers.ts'
import { Dice, type Event } from './dice.ts'
import { faultKinds } from './faults.ts'
import { plannedKinds } from './planned-work.ts'
import { LASTING, type Scenario } from './scenario.ts'
import type { SoakSite } from './site.ts'
import { loseWorkersAndLeader } from './vm-faults.ts'

const WARM_UP_MS = 4_000
const CALM_MS = 12_000
const MAX_FAULT_GAP_MS = 2_500
const PLANNED_SHARE = 0.2
/** Share of the calm times that begin with lost workers, and of those that begin with planned work. */
const LAST_SHARE = 0.6
/** Includes leases that must expire, and a change of leader. */
const FINISH_MS = 25_000
const SERVICES = ['work', 'index', 'report'] as const
/** Shares of the jobs whose tasks are short, or no longer than most leases; the rest outlasts each lease. */
const SHORT_SHARE = 0.8
const NO_LONGER_SHARE = 0.95
/** Most jobs are for one service for this long, then for another, so that VMs move. */
const PEAK_MS = 7_000

/** Times of {@link randomFaults} in milliseconds. */
export interface RandomFaultsOpts {
  /** Duration of the faults, without calm times. */
  readonly forMs: number
  /** How many times it becomes calm; 2 by default, the last time at the end. */
  readonly calms?: number
  /** Duration of each calm time; long enough for a wait that is not allowed by default. */
  readonly calmMs?: number
}

/**
 * @param seed - decides about all faults; the entries' own timing is not decided by it
 * @param opts - duration
 * @returns a scenario of random faults that overlap, with planned work, and calm times between
 */
export function randomFaults (seed: number, { forMs, calms = 2, calmMs = CALM_MS }: RandomFaultsOpts): Scenario {
  const sizes = new Dice(seed)
  return {
    entries: 3,
    pools: [...SERVICES.map(name => ({ name, vms: 2 + sizes.below(3) })), { name: 'reserve', vms: 1 + sizes.below(3), standby: true }],
    longestLeaseMs: sizes.pick([6_000, 10_000]),
    traffic: mixedTasks(),
    lastingJobs: SERVICES.flatMap(service => [lastingJob(service, 3, 300), lastingJob(service, 2, 600 + sizes.below(1_200))]),
    finishMs: FINISH_MS,
    async run (site, signal) {
      const dice = new Dice(seed)
      const planned: Array<Promise<void>> = []
      await delay(WARM_UP_MS, signal)
      for (let calm = 0; calm < calms; calm++) {
        planned.push(...await playFaults(site, dice, forMs / calms, signal))
        if (dice.chance(LAST_SHARE)) await playFault(loseWorkersAndLeader, site, new Dice(dice.below(2 ** 31)), signal)
        if (dice.chance(LAST_SHARE)) planned.push(dice.pick(plannedKinds)(site, new Dice(dice.below(2 ** 31)), signal))
        await delay(calmMs, signal)
      }
      await Promise.all(planned)
    }
  }
}

/** Plays faults and waits until they have ended. @returns the planned work, which may go on */
async function playFaults (site: SoakSite, dice: Dice, forMs: number, signal: AbortSignal): Promise<Array<Promise<void>>> {
  const until = performance.now() + forMs
  const faults: Array<Promise<void>> = []
  const planned: Array<Promise<void>> = []
  while (performance.now() < until && !signal.aborted) {
    // Each event draws from a seed of its own: what one of them waits for must not shift what the others draw.
    const isPlanned = dice.chance(PLANNED_SHARE)
    const event = dice.pick(isPlanned ? plannedKinds : faultKinds)
    const drawn = new Dice(dice.below(2 ** 31))
    if (isPlanned) planned.push(event(site, drawn, signal))
    else faults.push(playFault(event, site, drawn, signal))
    await delay(dice.below(MAX_FAULT_GAP_MS), signal)
  }
  await Promise.all(faults)
  return planned
}

async function playFault (event: Event, site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  const end = site.log.faults.begin(event.name)
  await event(site, dice, signal)
  end()
}

function lastingJob (service: string, tasks: number, cpu: number): JobSpec {
  return { service, tasks, mayMiss: 1, plan: { ...LASTING, cpu } }
}

function mixedTasks (): Traffic {
  const startedAt = performance.now()
  return {
    everyMs: 300,
    next: random => {
      const peak = SERVICES[Math.floor((performance.now() - startedAt) / PEAK_MS) % SERVICES.length]
      return {
        ...peak !== undefined && random() < 0.7 ? { service: peak } : {},
        plan: { cpu: random() < 0.8 ? 400 : 1_200, memMb: 100, runMs: drawRunMs(random), failShare: 0.02 },
        tasks: 1 + Math.floor(random() * 3)
      }
    }
  }
}

function drawRunMs (random: () => number): number {
  const kind = random()
  if (kind < SHORT_SHARE) return 300 + Math.floor(random() * 2_700)
  return kind < NO_LONGER_SHARE ? 8_000 : 14_000
}
