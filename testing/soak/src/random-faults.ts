import { delay } from '@wisteriaslip/core.result'
import { seededRandom } from '@wisteriaslip/testing.site'
import type { LinkFault, FaultProxy } from './fault-proxy.ts'
import { HOLD, type Scenario } from './scenario.ts'
import type { SoakSite } from './site.ts'
import type { Traffic } from './callers.ts'

const WARM_UP_MS = 4_000
const CALM_END_MS = 8_000
const MAX_FAULT_GAP_MS = 2_500
const MAX_CUT_MS = 12_000
const MAX_PAUSE_MS = 8_000
/** Includes leases that must expire, and a change of leader. */
const FINISH_MS = 25_000
const SHUTDOWN_MS = 7_000

const mixedTasks: Traffic = {
  everyMs: 250,
  next: random => ({ plan: { cpu: 400, memMb: 100, runMs: random() < 0.8 ? 300 + Math.floor(random() * 2_700) : 8_000, failShare: 0.02 }, tasks: 1 + Math.floor(random() * 3) })
}

/** Draws from one seed. */
class Dice {
  readonly random: () => number
  constructor (seed: number) { this.random = seededRandom(seed) }
  below (limit: number): number { return Math.floor(this.random() * limit) }
  ms (limit: number): number { return 200 + this.below(limit - 200) }
  chance (share: number): boolean { return this.random() < share }
  pick<T> (items: readonly T[]): T { return items[this.below(items.length)] as T }
  some<T> (items: readonly T[], share: number): T[] { return items.filter(() => this.chance(share)) }
}

/** A kind of fault: draws one, carries it out, and resolves when it has ended. */
type FaultKind = (site: SoakSite, dice: Dice, signal: AbortSignal) => Promise<void>

const faultKinds: readonly FaultKind[] = [cutFromStore, isolateLeader, isolateLeader, cutFromWorkers, cutFromWorkers, resetConnections, silenceConnections, cutOneWay, pauseEntry, pauseEntry, killEntry, stopEntry, storeDown, refuseAtStore, loseReplies, revokeLease, restartWorker, restartWorker, disconnectWorker, delayLinks]

/**
 * @param seed - decides about all faults; the entries' own timing is not decided by it
 * @param forMs - duration of the faults in milliseconds
 * @returns a scenario of random faults that overlap
 */
export function randomFaults (seed: number, forMs: number): Scenario {
  return {
    entries: 3,
    workers: 2 + seed % 5,
    traffic: mixedTasks,
    lastingJobs: 2,
    finishMs: FINISH_MS,
    async run (site, signal) {
      const dice = new Dice(seed)
      const until = performance.now() + WARM_UP_MS + forMs
      await delay(WARM_UP_MS, signal)
      const faults: Array<Promise<void>> = []
      while (performance.now() < until && !signal.aborted) {
        // Each fault draws from a seed of its own: what one of them waits for must not shift what the others draw.
        faults.push(dice.pick(faultKinds)(site, new Dice(dice.below(2 ** 31)), signal))
        await delay(dice.below(MAX_FAULT_GAP_MS), signal)
      }
      await Promise.all(faults)
      await delay(CALM_END_MS, signal)
    }
  }
}

async function hold (links: readonly FaultProxy[], fault: LinkFault, ms: number, signal: AbortSignal): Promise<void> {
  const ends = links.map(link => link.begin(fault))
  if (fault.resetNew === true) for (const link of links) link.reset()
  await delay(ms, signal)
  for (const end of ends) end()
}

/** A cut that holds bytes in both directions or in one of them, or resets all connections. */
function drawCut (dice: Dice): LinkFault {
  return dice.pick([HOLD, HOLD, { holdRequests: true }, { holdReplies: true }, { resetNew: true }])
}

function drawEntry (site: SoakSite, dice: Dice): number {
  const leader = site.leader()
  return leader !== undefined && dice.chance(0.6) ? leader : dice.below(site.entries.length)
}

function indices (items: { length: number }): number[] {
  return Array.from({ length: items.length }, (_, index) => index)
}

function linksBetween (site: SoakSite, entry: number, peers: readonly number[]): FaultProxy[] {
  return peers.flatMap(peer => [site.toPeer(entry, peer), site.toPeer(peer, entry)])
}

async function cutFromStore (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  const entry = drawEntry(site, dice)
  await hold([site.toStore(entry), ...dice.chance(0.5) ? [site.toVmList(entry)] : []], drawCut(dice), dice.ms(MAX_CUT_MS), signal)
}

/** The leader loses the store, its peers but at times one, and some workers; others do not reach the rest of the workers. */
async function isolateLeader (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  const entry = site.leader() ?? 0
  const lost = dice.some(indices(site.hosts), 0.5)
  const kept = indices(site.hosts).filter(worker => !lost.includes(worker))
  const others = indices(site.entries).filter(other => other !== entry)
  const hidden = dice.some(kept, 0.7).flatMap(worker => others.map(other => site.toWorker(other, worker)))
  const ms = 3_000 + dice.ms(MAX_CUT_MS)
  const workerCuts = [
    hold(lost.map(worker => site.toWorker(entry, worker)), drawCut(dice), ms, signal),
    hold(hidden, drawCut(dice), ms * dice.random(), signal)
  ]
  const cutOff = [entry, ...others.slice(0, dice.chance(0.25) ? 1 : 0)]
  const links = cutOff.flatMap(each => [site.toStore(each), ...linksBetween(site, each, others.filter(other => !cutOff.includes(other)))])
  await Promise.all([hold(links, HOLD, ms, signal), ...workerCuts])
}

async function cutFromWorkers (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  const entry = drawEntry(site, dice)
  await hold(dice.some(indices(site.hosts), 0.6).map(worker => site.toWorker(entry, worker)), drawCut(dice), dice.ms(MAX_CUT_MS), signal)
}

async function resetConnections (site: SoakSite, dice: Dice): Promise<void> {
  for (const link of dice.some(site.allFrom(drawEntry(site, dice)), 0.7)) link.reset()
}

async function silenceConnections (site: SoakSite, dice: Dice): Promise<void> {
  for (const link of dice.some(site.allFrom(drawEntry(site, dice)), 0.5)) link.silencePresent()
}

async function cutOneWay (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  const links = dice.some(site.allFrom(drawEntry(site, dice)), 0.7)
  await hold(links, dice.chance(0.5) ? { holdRequests: true } : { holdReplies: true }, dice.ms(MAX_CUT_MS), signal)
}

async function delayLinks (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  await hold(dice.some(site.allFrom(drawEntry(site, dice)), 0.7), { delayMs: dice.ms(900) }, dice.ms(MAX_CUT_MS), signal)
}

async function pauseEntry (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  const entry = site.entries[drawEntry(site, dice)]
  entry?.signal('SIGSTOP')
  await delay(dice.ms(MAX_PAUSE_MS), signal)
  entry?.signal('SIGCONT')
}

async function killEntry (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  await site.entries[drawEntry(site, dice)]?.restart(0, dice.ms(2_000), signal)
}

async function stopEntry (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  await site.entries[drawEntry(site, dice)]?.restart(SHUTDOWN_MS, dice.ms(1_000), signal)
}

async function storeDown (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  if (site.store.isDown()) return
  site.store.leasesExpireWhileDown = dice.chance(0.5)
  site.store.setDown(true)
  if (dice.chance(0.5)) for (const entry of indices(site.entries)) site.toStore(entry).reset()
  await delay(dice.ms(5_000), signal)
  site.store.setDown(false)
}

async function refuseAtStore (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  const end = site.storeServer.begin(drawEntry(site, dice), { refuses: true })
  await delay(dice.ms(6_000), signal)
  end()
}

async function loseReplies (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  const entries = dice.chance(0.5) ? indices(site.entries) : [drawEntry(site, dice)]
  const ends = entries.map(entry => site.storeServer.begin(entry, { lostReplyShare: 0.1 + dice.random() / 2 }))
  await delay(dice.ms(5_000), signal)
  for (const end of ends) end()
}

async function revokeLease (site: SoakSite, dice: Dice): Promise<void> {
  site.revokeLease(drawEntry(site, dice))
}

/** A worker crashes and starts again, at times while entries do not reach it. */
async function restartWorker (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  const worker = dice.below(site.hosts.length)
  const host = site.hosts[worker]
  if (host?.current() === undefined) return
  const hidden = dice.some(indices(site.entries), 0.4).map(entry => site.toWorker(entry, worker))
  const cut = hold(hidden, drawCut(dice), dice.ms(5_000), signal)
  await delay(dice.below(500), signal)
  await host.restart({ pauseMs: dice.below(3_000), sameId: dice.chance(0.6) }, signal)
  await cut
}

async function disconnectWorker (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  const host = dice.pick(site.hosts)
  host.setDisconnected(true)
  await delay(dice.ms(9_000), signal)
  host.setDisconnected(false)
}
