import { delay } from '@wisteriaslip/core.result'
import { Dice, hold, indices } from './dice.ts'
import { restartEntry } from './entry-faults.ts'
import { HOLD, LASTING, type Scenario } from './scenario.ts'
import type { SoakSite } from './site.ts'
import type { Worker } from './worker.ts'

const VMS = 10
const WARM_UP_MS = 6_000
/** The workers are reached again for this long before the next round. */
const REST_MS = 4_000
/** Tasks that began at the end of the faults need up to 20 s, and wait for leases before. */
const FINISH_MS = 40_000
/** Share of a service's workers that are lost: the others have room for what must run again, and starts go to few workers at a time. */
const LOST_SHARE = 0.7
/** Share of the rounds in which connections of the former incarnation become silent, as those of a VM that lost power. */
const SILENT_SHARE = 0.75
const MIN_DARK_MS = 100
const MAX_DARK_MS = 400
/** The leader is killed within this time of their return; polls of silent workers fail after 0.7 to 1.2 s. */
const MIN_KILL_LAG_MS = 500
const MAX_KILL_LAG_MS = 1_500
/** A leader that has had an answer records soon what it shows. */
const MAX_START_LAG_MS = 60
const START_POLL_INTERVAL_MS = 5
/** The workers are cut off within this time of the kill: a successor is there after 1.2 s at the earliest, and must not reach them. */
const MIN_CUT_LAG_MS = 50
const MAX_CUT_LAG_MS = 800
/** About the longest lease of a worker. */
const MIN_CUT_MS = 9_000
const MAX_CUT_MS = 10_000
const MIN_DOWN_MS = 3_000
const MAX_DOWN_MS = 5_000

/** Times of one round in milliseconds. */
export interface RecutTimes {
  /** Connections of the former incarnation become silent instead of being closed. */
  readonly isSilent: boolean
  readonly pauseMs: number
  /** From the workers' return until the leader is killed, at the latest. */
  readonly killLagMs: number
  /** The leader is killed this long after the first start on a worker that has returned, if that is sooner. */
  readonly startLagMs: number
  /** From the kill until the workers are cut off. */
  readonly cutLagMs: number
  readonly cutMs: number
  readonly downMs: number
}

/** Options of {@link recut}. */
export interface RecutOpts {
  readonly rounds?: number
  /** Times that are not drawn. */
  readonly times?: Partial<RecutTimes>
  /** Jobs must be completed after the last round; true by default. */
  readonly mustFinish?: boolean
}

/**
 * Workers return under their ids before anybody knows and are cut off, and their leader is killed, again and again, under tasks
 * that run for longer than the longest lease.
 * @param seed - decides about workers and times
 * @param opts - number of rounds, and whether jobs must be completed
 * @returns the scenario
 */
export function recut (seed: number, { rounds = 3, times = {}, mustFinish = true }: RecutOpts = {}): Scenario {
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
    finishMs: mustFinish ? FINISH_MS : undefined,
    async run (site, signal) {
      const dice = new Dice(seed)
      await delay(WARM_UP_MS, signal)
      for (let round = 0; round < rounds; round++) {
        if (round > 0) await delay(REST_MS, signal)
        const end = site.log.faults.begin(returnAndCutOff.name)
        await returnAndCutOff(site, new Dice(dice.below(2 ** 31)), signal, times)
        end()
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
 * @param fixed - times that are not drawn
 */
export async function returnAndCutOff (site: SoakSite, dice: Dice, signal: AbortSignal, fixed: Partial<RecutTimes> = {}): Promise<void> {
  const { service } = dice.pick(site.queues)
  const ofService = indices(site.hosts).filter(index => site.hosts[index]?.serves(service) === true)
  const lost = dice.some(ofService, LOST_SHARE)
  const links = lost.flatMap(worker => indices(site.entries).map(entry => site.toWorker(entry, worker)))
  const times = { ...drawTimes(dice), ...fixed }
  if (times.isSilent) for (const link of links) link.silencePresent()
  await Promise.all(lost.map(async worker => { await site.hosts[worker]?.restart({ pauseMs: times.pauseMs, sameId: true, registersLate: true }, signal) }))
  await awaitStart(site, lost.flatMap(worker => site.hosts[worker]?.current() ?? []), times, signal)
  await Promise.all([
    restartEntry(site, site.leader(`service/${service}`) ?? 0, { graceMs: 0, pauseMs: times.downMs }, signal),
    delay(times.cutLagMs, signal).then(async () => { await hold(links, HOLD, times.cutMs, signal) })
  ])
}

/** Waits until something has been started on one of the workers, and a little longer, or until the leader's time has come. */
async function awaitStart (site: SoakSite, workers: readonly Worker[], { killLagMs, startLagMs }: RecutTimes, signal: AbortSignal): Promise<void> {
  const until = performance.now() + killLagMs
  const { runs } = site.log
  const hasStarted = (): boolean => runs.some(run => workers.some(({ id, born }) => run.worker === id && run.born === born))
  while (!hasStarted() && performance.now() < until && !signal.aborted) await delay(START_POLL_INTERVAL_MS, signal)
  await delay(Math.min(startLagMs, Math.max(0, until - performance.now())), signal)
}

function drawTimes (dice: Dice): RecutTimes {
  const isSilent = dice.chance(SILENT_SHARE)
  const pauseMs = between(dice, MIN_DARK_MS, MAX_DARK_MS)
  const cutLagMs = between(dice, MIN_CUT_LAG_MS, MAX_CUT_LAG_MS)
  const cutMs = between(dice, MIN_CUT_MS, MAX_CUT_MS)
  const downMs = between(dice, MIN_DOWN_MS, MAX_DOWN_MS)
  return { isSilent, pauseMs, cutLagMs, cutMs, downMs, killLagMs: between(dice, MIN_KILL_LAG_MS, MAX_KILL_LAG_MS), startLagMs: dice.below(MAX_START_LAG_MS) }
}

function between (dice: Dice, min: number, max: number): number {
  return min + dice.below(max - min)
}
