import type { Day, DayEvent, Who } from './day-events.ts'
import { Dice } from './dice.ts'
import { jobId, services } from './site-jobs.ts'

const FIRST_FAULT_MS = 6_000
/** After the last fault its traces vanish, and then a wait that is not allowed shows. */
const CALM_MS = 18_000
/** Entries with so little of a processor hold leases for longer. */
const FEW_CORES = 0.12
/** As long as a scenario lasts. */
const FOR_GOOD_MS = 100_000
/** Time between the ends of two leaders. */
const SHORT_TERM_MS = { least: 300, most: 4_000 }
const LONG_TERM_MS = { least: 4_000, most: 8_000 }
const [alpha, beta] = services
const alphaLeader: Who = { leaderOf: `service/${alpha}` }

/** The parts that all scenarios share: two services with room, the first of which has long-running tasks on each VM. */
interface Site {
  readonly dice: Dice
  readonly entries: number
  /** VMs of the first service. */
  readonly vms: number
}

/**
 * Draws a scenario in which workers are lost, then all entries lose power for some seconds, and a leader may end after that.
 * @param seed - the same seed draws the same scenario
 * @returns the scenario
 */
export function drawPowerLossDay (seed: number): Day {
  const site = drawSite(seed)
  const { dice } = site
  const lostAt = FIRST_FAULT_MS + dice.from(0, 1_000)
  const offAt = lostAt + dice.from(-300, 4_000)
  const forMs = dice.from(500, 9_500)
  const ends = dice.chance(0.5) ? drawEnds(site, offAt + forMs + dice.from(500, 4_000), dice.from(1, 2)) : []
  return toDay(seed, site, [...drawLoss(site, lostAt), { kind: 'power-loss', atMs: offAt, forMs }, ...ends])
}

/**
 * Draws a scenario in which two to five leaders end one after the other once a worker is lost, has restarted, or is cut off from all
 * entries while it stays registered.
 * @param seed - the same seed draws the same scenario
 * @returns the scenario
 */
export function drawHandoverDay (seed: number): Day {
  const site = drawSite(seed)
  const { dice } = site
  const lostAt = FIRST_FAULT_MS + dice.from(0, 1_000)
  const ends = drawEnds(site, lostAt + dice.from(-400, 5_000), dice.from(2, 5))
  return toDay(seed, site, [...drawLoss(site, lostAt), ...ends])
}

/**
 * Draws a scenario of the same kind in which each leader has some seconds, so that it may wait for long and not to the end.
 * @param seed - the same seed draws the same scenario
 * @returns the scenario
 */
export function drawLongTermsDay (seed: number): Day {
  const site = drawSite(seed)
  const { dice } = site
  const lostAt = FIRST_FAULT_MS + dice.from(0, 1_000)
  const ends = drawEnds(site, lostAt + dice.from(-400, 2_000), dice.from(2, 4), LONG_TERM_MS)
  return toDay(seed, site, [...drawLoss(site, lostAt), ...ends])
}

/**
 * Draws a scenario of the same kind in which workers join in each of the terms, some of which do not answer.
 * @param seed - the same seed draws the same scenario
 * @returns the scenario
 */
export function drawJoiningDay (seed: number): Day {
  const site = drawSite(seed)
  const { dice, vms } = site
  const lostAt = FIRST_FAULT_MS + dice.from(0, 1_000)
  const ends = drawEnds(site, lostAt + dice.from(-400, 3_000), dice.from(2, 4))
  const joins = ends.flatMap(({ atMs }, number) => drawJoin(site, atMs + dice.from(-500, 1_500), number))
  const more: DayEvent = { kind: 'submit', atMs: lostAt + 200, jobs: [jobId({ service: alpha, tasks: 2 * vms, cpu: dice.from(2_000, 3_000), runMs: dice.from(4_000, 8_000) }, 3)] }
  return toDay(seed, site, [...drawLoss(site, lostAt), ...ends, ...joins, more], 2)
}

/**
 * Draws a scenario of the same kind in which workers that have just joined are lost for good; nothing is cut off or silent for good.
 * @param seed - the same seed draws the same scenario
 * @returns the scenario
 */
export function drawLostJoinersDay (seed: number): Day {
  const dice = new Dice(seed)
  const site: Site = { dice, entries: dice.from(3, 6), vms: dice.from(5, 7) }
  const lostAt = FIRST_FAULT_MS + dice.from(0, 1_000)
  const lost: DayEvent = { kind: 'lose', atMs: lostAt, vms: [0] }
  const ends = drawEnds(site, lostAt + dice.from(-400, 3_000), dice.from(1, 3))
  const joins = ends.slice(0, 2).flatMap(({ atMs }, number) => drawLostJoin(site, atMs + dice.from(-500, 4_000), 1 + number))
  return toDay(seed, site, [lost, ...ends, ...joins], 2)
}

/**
 * Draws a scenario of the same kind in which the store is away between the terms.
 * @param seed - the same seed draws the same scenario
 * @returns the scenario
 */
export function drawOutageDay (seed: number): Day {
  const site = drawSite(seed)
  const { dice } = site
  const lostAt = FIRST_FAULT_MS + dice.from(0, 1_000)
  const ends = drawEnds(site, lostAt + dice.from(-400, 3_000), dice.from(1, 3))
  const outages = ends.map(({ atMs }): DayEvent => ({ kind: 'store-down', atMs: atMs + dice.from(200, 3_000), forMs: dice.from(300, 3_000), how: dice.pick(['silent', 'busy', 'reset']), leasesExpire: dice.chance(0.5) }))
  return toDay(seed, site, [...drawLoss(site, lostAt), ...ends, ...withoutOverlap(outages)])
}

/**
 * Draws a scenario of the kind of {@link drawHandoverDay} at a site that may have a client account with a quota, permits for starts, and a
 * queue that moves to another service. The quota leaves room for all tasks twice over.
 * @param seed - the same seed draws the same scenario
 * @returns the scenario
 */
export function drawAccountDay (seed: number): Day {
  const day = drawHandoverDay(seed)
  const dice = new Dice(seed + 1)
  const cores = day.pools.reduce((sum, { vms }) => sum + vms, 0)
  const isOf = (share: number): boolean => dice.chance(share)
  const features = { extraQueues: true, ...isOf(0.7) ? { quotaCpu: dice.from(6_000, 9_000) * cores } : {}, ...isOf(0.5) ? { needsPermit: true } : {} }
  const move: DayEvent = { kind: 'move-queue', atMs: FIRST_FAULT_MS + dice.from(-1_000, 6_000), queue: alpha, service: beta }
  const events = isOf(0.5) ? [...day.events, move].sort((a, b) => a.atMs - b.atMs) : day.events
  return { ...day, features, events }
}

function drawSite (seed: number): Site {
  const dice = new Dice(seed)
  return { dice, entries: dice.from(3, 6), vms: dice.from(4, 6) }
}

function toDay (seed: number, { dice, entries, vms }: Site, faults: readonly DayEvent[], spare = 1): Day {
  const jobs = [
    jobId({ service: alpha, tasks: 2 * vms, cpu: dice.from(1_000, 2_000), runMs: Infinity }, 1),
    jobId({ service: beta, tasks: 3, cpu: dice.from(1_000, 3_000), runMs: Infinity }, 2)
  ]
  const events: DayEvent[] = [{ kind: 'submit', atMs: 1_500, jobs }, ...faults]
  const lastAt = Math.max(...faults.map(event => event.atMs + ('forMs' in event && event.forMs < FOR_GOOD_MS ? event.forMs : 0)))
  return {
    seed,
    entries,
    ...dice.chance(0.5) ? { cores: FEW_CORES } : {},
    pools: [{ name: alpha, vms }, { name: beta, vms: 2 }, { name: 'spare', vms: spare, standby: true }],
    events: events.sort((a, b) => a.atMs - b.atMs),
    endMs: lastAt + CALM_MS
  }
}

/** A worker of the first service, or two, that no entry reaches any more. */
function drawLoss ({ dice, entries, vms }: Site, atMs: number): DayEvent[] {
  const lost = dice.chance(0.3) ? [0, 1] : [dice.below(vms)]
  const kind = dice.below(6)
  if (kind === 0) return [{ kind: 'lose', atMs, vms: lost, listedAs: 'absent' }]
  if (kind === 1) return [{ kind: 'lose', atMs, vms: lost, listedAs: 'up' }]
  if (kind === 2) return [{ kind: 'crash', atMs, vms: lost, forMs: dice.from(20, 3_000), sameId: dice.chance(0.7) }]
  if (kind === 3) return [{ kind: 'crash', atMs, vms: lost, forMs: dice.from(9_000, 15_000), sameId: false }]
  if (kind === 4) return [{ kind: 'mute', atMs, vms: lost, forMs: FOR_GOOD_MS }]
  return Array.from({ length: entries }, (_, entry): DayEvent => ({ kind: 'cut', atMs, forMs: FOR_GOOD_MS, who: { entry }, from: ['workers'], how: 'silent', peers: [], vms: lost }))
}

/** Leaders that end one after the other, most of them of the first service. */
function drawEnds (site: Site, firstAt: number, count: number, { least, most } = SHORT_TERM_MS): DayEvent[] {
  const ends: DayEvent[] = []
  for (let atMs = firstAt; ends.length < count; atMs += site.dice.from(least, most)) ends.push(drawEnd(site, atMs))
  return ends
}

function drawEnd ({ dice, entries }: Site, atMs: number): DayEvent {
  const who = dice.chance(0.2) ? { leaderOf: 'fleet' } : alphaLeader
  const kind = dice.below(6)
  if (kind === 0) return { kind: 'stop', atMs, forMs: dice.from(100, 1_000), who }
  if (kind === 1) return { kind: 'freeze', atMs, forMs: dice.from(1_500, 6_000), who }
  if (kind === 2) return { kind: 'cut', atMs, forMs: dice.from(2_000, 6_000), who, from: ['store', 'peers'], how: dice.pick(['silent', 'reset']), peers: Array.from({ length: entries }, (_, number) => number), vms: [] }
  return { kind: 'kill', atMs, forMs: dice.from(100, 3_000), who }
}

/** A worker of the first service is replaced by another one, which may not answer. */
function drawJoin ({ dice, vms }: Site, atMs: number, number: number): DayEvent[] {
  const joining = [(2 + number) % vms]
  const forMs = dice.from(200, 1_500)
  const crash: DayEvent = { kind: 'crash', atMs, vms: joining, forMs, sameId: false }
  return dice.chance(0.5) ? [crash] : [crash, { kind: 'mute', atMs: atMs + forMs, forMs: dice.from(2_000, 9_000), vms: joining }]
}

/** A worker of the first service is replaced by another one, which is lost as soon as it has joined, or a little later. */
function drawLostJoin ({ dice }: Site, atMs: number, vm: number): DayEvent[] {
  const forMs = dice.from(200, 1_500)
  return [{ kind: 'crash', atMs, vms: [vm], forMs, sameId: false }, { kind: 'lose', atMs: atMs + forMs + dice.from(20, 1_500), vms: [vm] }]
}

/** Leaves out outages that begin before the one before has ended. */
function withoutOverlap (outages: readonly DayEvent[]): DayEvent[] {
  const kept: DayEvent[] = []
  let until = 0
  for (const event of outages.toSorted((a, b) => a.atMs - b.atMs)) {
    if (event.atMs < until) continue
    kept.push(event)
    until = event.atMs + ('forMs' in event ? event.forMs : 0) + 500
  }
  return kept
}
