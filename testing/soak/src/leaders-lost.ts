import { delay } from '@wisteriaslip/core.result'
import type { Traffic } from './callers.ts'
import { Dice, hold, indices } from './dice.ts'
import { HOLD, LASTING, longTasks, type Scenario } from './scenario.ts'
import type { SoakSite } from './site.ts'
import type { TaskPlan } from './worker.ts'
import type { WorkerHost } from './worker-host.ts'

const SERVICE = 'work'
const RESOURCE = `service/${SERVICE}`
const POOLS = [{ name: SERVICE, vms: 8 }, { name: 'index', vms: 2 }]
const LONGEST_LEASE_MS = 10_000
const LASTING_JOBS = [{ service: SERVICE, plan: LASTING, tasks: 8, mayMiss: 1 }, { service: SERVICE, plan: LASTING, tasks: 3 }]
/** A queue of a client account whose jobs ask for more than its quota, and one that goes to another service and back. */
const ACCOUNT = { name: 'press', key: 'key-of-press', quota: { cpu: 2_000, memMb: 4_000 } }
const QUEUES = [{ name: 'press', service: SERVICE, account: ACCOUNT }, { name: 'moving', service: SERVICE }]
const JOBS_OF_QUEUES = QUEUES.map(({ name }) => ({ queue: name, plan: LASTING, tasks: 2, mayMiss: 1 }))
const ACCOUNT_SHARE = 0.5
const FINISH_MS = 25_000
const ROUNDS = 2
const WARM_UP_MS = 6_000
/** Longer than a wait that is not allowed, with the time before it that has to be calm. */
const CALM_MS = 16_000
const LOST_PER_ROUND = 2
/** The entries are killed within this time of the workers. */
const MAX_KILL_LAG_MS = 4_000
const ENTRIES_DOWN_MS = 9_500
const LEADERS_KILLED = 3
const MAX_TERM_MS = 600
/** Longest time for which a successor is awaited, so that all leaders fall within some seconds. */
const MAX_SUCCESSION_MS = 3_000
const LEADER_POLL_INTERVAL_MS = 20
const MIN_LEADER_DOWN_MS = 1_500
const CUT_SHARE = 0.5

/**
 * Workers go for good, then all entries are killed at once and start again 9.5 s later. They count as disturbed until they are
 * started, not until they are ready.
 * @param seed - decides about workers and times
 * @returns the scenario
 */
export function allEntriesDown (seed: number): Scenario {
  return rounds(seed, { entries: 3 }, async (site, dice, signal) => {
    loseForGood(byLastingRuns(site).slice(0, LOST_PER_ROUND), dice)
    await delay(dice.below(MAX_KILL_LAG_MS), signal)
    await Promise.all(site.entries.map(async entry => { await entry.restart(0, ENTRIES_DOWN_MS, signal) }))
  })
}

/**
 * Half of a service's workers, those with tasks that last, are cut off from all entries, one of them goes for good, and three leaders of
 * the service are killed one after the other meanwhile, each soon after its term has begun. Between two of them a queue with tasks
 * that last goes to another service; an account with more work than its quota has some in the first one.
 * @param seed - decides about workers and times
 * @returns the scenario
 */
export function leadersInTurn (seed: number): Scenario {
  return rounds(seed, { entries: 4, queues: QUEUES, lastingJobs: [...LASTING_JOBS, ...JOBS_OF_QUEUES], traffic: withAccount }, async (site, dice, signal) => {
    const hosts = byLastingRuns(site)
    const cut = hosts.slice(0, Math.ceil(hosts.length * CUT_SHARE))
    const links = cut.flatMap(host => indices(site.entries).map(entry => site.toWorker(entry, site.hosts.indexOf(host))))
    const killed = new AbortController()
    const held = hold(links, HOLD, LEADERS_KILLED * (MAX_SUCCESSION_MS + MAX_TERM_MS), AbortSignal.any([signal, killed.signal]))
    const restarts: Array<Promise<void>> = []
    let token = -1
    for (let count = 0; count < LEADERS_KILLED; count++) {
      if (count === 1) {
        loseForGood(cut.slice(0, 1), dice)
        site.moveQueue('moving', site.queues.some(({ name, service }) => name === 'moving' && service === SERVICE) ? 'index' : SERVICE)
      }
      token = await awaitTerm(site, token, signal)
      await delay(dice.below(MAX_TERM_MS), signal)
      restarts.push(site.entries[site.leader(RESOURCE) ?? -1]?.restart(0, MIN_LEADER_DOWN_MS + dice.below(MAX_SUCCESSION_MS), signal) ?? Promise.resolve())
    }
    killed.abort()
    await Promise.all([held, ...restarts])
  })
}

/** Jobs of one task each, half of them of the account. */
const withAccount: Traffic = {
  everyMs: 500,
  next: random => ({ ...longTasks.next(random), ...(random() < ACCOUNT_SHARE ? { queue: ACCOUNT.name } : {}) })
}

function rounds (seed: number, opts: Pick<Scenario, 'entries'> & Partial<Scenario>, play: (site: SoakSite, dice: Dice, signal: AbortSignal) => Promise<void>): Scenario {
  return {
    pools: POOLS,
    longestLeaseMs: LONGEST_LEASE_MS,
    traffic: longTasks,
    lastingJobs: LASTING_JOBS,
    finishMs: FINISH_MS,
    ...opts,
    async run (site, signal) {
      const dice = new Dice(seed)
      await delay(WARM_UP_MS, signal)
      for (let round = 0; round < ROUNDS; round++) {
        const end = site.log.faults.begin(`round ${round + 1}`)
        await play(site, new Dice(dice.below(2 ** 31)), signal)
        end()
        await delay(CALM_MS, signal)
      }
    }
  }
}

/** @returns the VMs of the service, those that run the most tasks that last first */
function byLastingRuns (site: SoakSite): WorkerHost[] {
  const count = (host: WorkerHost): number => site.log.runs.filter(({ worker, endedAt, spec }) => worker === host.current()?.id && endedAt === undefined && (JSON.parse(spec) as TaskPlan).runMs === 0).length
  return site.hosts.filter(host => host.serves(SERVICE)).map(host => ({ host, runs: count(host) })).sort((a, b) => b.runs - a.runs).map(({ host }) => host)
}

/** Ends workers for good; their VMs are listed no longer, or as down. */
function loseForGood (hosts: readonly WorkerHost[], dice: Dice): void {
  for (const host of hosts) {
    if (dice.chance(0.5)) host.remove()
    else host.lose()
  }
}

/** Waits for a term of the service that is newer than one. @returns its token, or the older one if there is none in time */
async function awaitTerm (site: SoakSite, after: number, signal: AbortSignal): Promise<number> {
  const newest = (): number => site.log.terms.filter(({ resource }) => resource === RESOURCE).at(-1)?.token ?? after
  const until = performance.now() + MAX_SUCCESSION_MS
  while (newest() === after && performance.now() < until && !signal.aborted) await delay(LEADER_POLL_INTERVAL_MS, signal)
  return newest()
}
