import { delay } from '@wisteriaslip/core.result'
import { Dice, hold, indices } from './dice.ts'
import { restartEntry } from './entry-faults.ts'
import { HOLD, LASTING, type Scenario } from './scenario.ts'
import type { SoakSite } from './site.ts'

const VMS = 8
const WARM_UP_MS = 6_000
/** The workers are reached again for this long before the next round. */
const REST_MS = 4_000
/** Tasks that began at the end of the faults need up to 20 s, and wait for leases before. */
const FINISH_MS = 40_000
/** Share of a service's workers that are lost: the others have room for what must run again. */
const LOST_SHARE = 0.5
/** Share of the rounds in which connections of the former incarnation become silent, as those of a VM that lost power. */
const SILENT_SHARE = 0.75
const MIN_DARK_MS = 100
const MAX_DARK_MS = 600
/** The workers are cut off within this time of their return. */
const MIN_LAG_MS = 300
const MAX_LAG_MS = 2_000
/** The leader is killed after their return, and before they are cut off. */
const MIN_KILL_LAG_MS = 100
/** About the longest lease of a worker. */
const MIN_CUT_MS = 9_000
const MAX_CUT_MS = 10_000
const MIN_DOWN_MS = 3_000
const MAX_DOWN_MS = 5_000

/** Options of {@link recut}. */
export interface RecutOpts {
  readonly rounds?: number
  /** Time after the last round in which jobs must be completed; not checked if undefined. */
  readonly finishMs?: number | undefined
}

/**
 * Workers return under their ids before anybody knows and are cut off, and their leader is killed, again and again, under tasks
 * that run for longer than the longest lease.
 * @param seed - decides about workers and times
 * @param opts - number of rounds, and whether jobs must be completed
 * @returns the scenario
 */
export function recut (seed: number, { rounds = 3, finishMs = FINISH_MS }: RecutOpts = {}): Scenario {
  return {
    entries: 3,
    pools: [{ name: 'work', vms: VMS }],
    longestLeaseMs: 10_000,
    traffic: {
      // Several starts at once need new connections beside those of the former incarnation.
      everyMs: 400,
      next: random => ({ plan: { cpu: 50, memMb: 25, runMs: 12_000 + Math.floor(random() * 8_000), failShare: 0 }, tasks: 4 + Math.floor(random() * 8) })
    },
    lastingJobs: [{ plan: LASTING, tasks: VMS, mayMiss: 1 }],
    finishMs,
    async run (site, signal) {
      const dice = new Dice(seed)
      await delay(WARM_UP_MS, signal)
      for (let round = 0; round < rounds; round++) {
        const end = site.log.faults.begin(returnAndCutOff.name)
        await returnAndCutOff(site, new Dice(dice.below(2 ** 31)), signal)
        end()
        await delay(REST_MS, signal)
      }
    }
  }
}

/**
 * Several workers of one service crash and are back on their ports under their ids; the store learns of it with their next
 * heartbeats. Soon afterwards no entry reaches them for about as long as the longest lease of a worker, and the leader of the
 * service is killed in between.
 * @param site - the site
 * @param dice - decides about service, workers and times
 * @param signal - cuts all waits short
 */
export async function returnAndCutOff (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  const { service } = dice.pick(site.queues)
  const ofService = indices(site.hosts).filter(index => site.hosts[index]?.serves(service) === true)
  const lost = dice.some(ofService, LOST_SHARE)
  const links = lost.flatMap(worker => indices(site.entries).map(entry => site.toWorker(entry, worker)))
  const [isSilent, pauseMs] = [dice.chance(SILENT_SHARE), between(dice, MIN_DARK_MS, MAX_DARK_MS)]
  const [lagMs, cutMs, downMs] = [between(dice, MIN_LAG_MS, MAX_LAG_MS), between(dice, MIN_CUT_MS, MAX_CUT_MS), between(dice, MIN_DOWN_MS, MAX_DOWN_MS)]
  const killLagMs = between(dice, MIN_KILL_LAG_MS, lagMs)
  if (isSilent) for (const link of links) link.silencePresent()
  await Promise.all(lost.map(async worker => { await site.hosts[worker]?.restart({ pauseMs, sameId: true, registersLate: true }, signal) }))
  await Promise.all([
    delay(lagMs, signal).then(async () => { await hold(links, HOLD, cutMs, signal) }),
    delay(killLagMs, signal).then(async () => { await restartEntry(site, site.leader(`service/${service}`) ?? 0, { graceMs: 0, pauseMs: downMs }, signal) })
  ])
}

function between (dice: Dice, min: number, max: number): number {
  return min + dice.below(max - min)
}
