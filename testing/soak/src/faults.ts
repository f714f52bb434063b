import { delay } from '@wisteriaslip/core.result'
import { drawCut, drawEntry, hold, indices, type Dice, type Event } from './dice.ts'
import { killEntry, pauseEntry, stopEntry } from './entry-faults.ts'
import type { FaultProxy } from './fault-proxy.ts'
import { returnAndCutOff } from './recut.ts'
import { HOLD } from './scenario.ts'
import type { SoakSite } from './site.ts'
import { loseWorkers, loseWorkersAndLeader, removeVm, silenceVmPlatform } from './vm-faults.ts'

const MAX_CUT_MS = 12_000

/** All kinds of faults; those that are listed twice are drawn as often. */
export const faultKinds: readonly Event[] = [cutFromStore, isolateLeader, isolateLeader, cutFromWorkers, cutFromWorkers, resetConnections, silenceConnections, cutOneWay, pauseEntry, pauseEntry, killEntry, stopEntry, storeDown, refuseAtStore, loseReplies, revokeLease, restartWorker, restartWorker, disconnectWorker, delayLinks, removeVm, loseWorkers, loseWorkersAndLeader, returnAndCutOff, returnAndCutOff, silenceVmPlatform, silenceVmPlatform]

function linksBetween (site: SoakSite, entry: number, peers: readonly number[]): FaultProxy[] {
  return peers.flatMap(peer => [site.toPeer(entry, peer), site.toPeer(peer, entry)])
}

async function cutFromStore (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  const entry = drawEntry(site, dice)
  await hold([site.toStore(entry), ...dice.chance(0.5) ? [site.toVmList(entry)] : []], drawCut(dice), dice.ms(MAX_CUT_MS), signal)
}

/** The leader loses the store, its peers but at times one, and some workers; others do not reach the rest of the workers. */
async function isolateLeader (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  const entry = site.leader(dice.pick(site.resources())) ?? 0
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
