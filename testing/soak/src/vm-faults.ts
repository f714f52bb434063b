import { delay } from '@wisteriaslip/core.result'
import { drawEntry, hold, indices, type Dice } from './dice.ts'
import { HOLD } from './scenario.ts'
import type { SoakSite } from './site.ts'

const MAX_SILENT_MS = 8_000
const MAX_DOWN_MS = 8_000
/** A leader fails within this time of its workers. */
const MAX_LEADER_LAG_MS = 2_000
/** At least this share of the VMs stays, so that there is room for all jobs. */
const MIN_KEPT_SHARE = 0.75

/** Removes a VM for good, unless too few would remain. */
export async function removeVm (site: SoakSite, dice: Dice): Promise<void> {
  if (mayRemove(site)) dice.pick(site.hosts).remove()
}

/** @returns whether enough VMs remain without one more */
export function mayRemove (site: SoakSite): boolean {
  return site.hosts.filter(host => host.exists()).length > site.hosts.length * MIN_KEPT_SHARE
}

/** Several workers of one service crash; some VMs never return. */
export async function loseWorkers (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  const service = dice.pick(site.queues).service
  const lost = dice.some(site.hosts.filter(host => host.serves(service)), 0.6)
  await Promise.all(lost.map(async host => {
    const [isForGood, restart] = [dice.chance(0.3), { pauseMs: dice.ms(MAX_DOWN_MS), sameId: dice.chance(0.5) }]
    if (isForGood && mayRemove(site)) host.remove()
    else await host.restart(restart, signal)
  }))
}

/** Several workers of one service crash, and an entry that leads something is killed or paused. */
export async function loseWorkersAndLeader (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  const lost = loseWorkers(site, dice, signal)
  await delay(dice.below(MAX_LEADER_LAG_MS), signal)
  const entry = site.entries[drawEntry(site, dice)]
  if (dice.chance(0.5)) await entry?.restart(0, dice.ms(3_000), signal)
  else {
    entry?.signal('SIGSTOP')
    await delay(dice.ms(MAX_DOWN_MS), signal)
    entry?.signal('SIGCONT')
  }
  await lost
}

/** The platform's interface for VMs is silent or slow for everybody. Orders that were sent arrive when that ends. */
export async function silenceVmPlatform (site: SoakSite, dice: Dice, signal: AbortSignal): Promise<void> {
  const links = indices(site.entries).map(entry => site.toVmList(entry))
  await hold(links, dice.chance(0.6) ? HOLD : { delayMs: dice.ms(1_500) }, dice.ms(MAX_SILENT_MS), signal)
}
