import { delay } from '@wisteriaslip/core.result'
import { seededRandom } from '@wisteriaslip/testing.site'
import type { FaultProxy, LinkFault } from './fault-proxy.ts'
import { HOLD } from './scenario.ts'
import type { SoakSite } from './site.ts'

/** The first numbers of seeds that are close to each other are nearly the same. */
const SKIPPED_NUMBERS = 20

/** Draws from one seed. */
export class Dice {
  readonly random: () => number
  constructor (seed: number) {
    this.random = seededRandom(seed)
    for (let number = 0; number < SKIPPED_NUMBERS; number++) this.random()
  }

  below (limit: number): number { return Math.floor(this.random() * limit) }
  ms (limit: number): number { return 200 + this.below(limit - 200) }
  chance (share: number): boolean { return this.random() < share }
  pick<T> (items: readonly T[]): T { return items[this.below(items.length)] as T }
  some<T> (items: readonly T[], share: number): T[] { return items.filter(() => this.chance(share)) }
}

/** What happens to a site: draws it, carries it out, and resolves when it has ended. */
export type Event = (site: SoakSite, dice: Dice, signal: AbortSignal) => Promise<void>

/** Disturbs links for some milliseconds. */
export async function hold (links: readonly FaultProxy[], fault: LinkFault, ms: number, signal: AbortSignal): Promise<void> {
  const ends = links.map(link => link.begin(fault))
  if (fault.resetNew === true) for (const link of links) link.reset()
  await delay(ms, signal)
  for (const end of ends) end()
}

/** A cut that holds bytes in both directions or in one of them, or resets all connections. */
export function drawCut (dice: Dice): LinkFault {
  return dice.pick([HOLD, HOLD, { holdRequests: true }, { holdReplies: true }, { resetNew: true }])
}

/** @returns index of an entry, preferably of one that leads something */
export function drawEntry (site: SoakSite, dice: Dice): number {
  const leader = site.leader(dice.pick(site.resources()))
  return leader !== undefined && dice.chance(0.6) ? leader : dice.below(site.entries.length)
}

/** @returns all indices */
export function indices (items: { length: number }): number[] {
  return Array.from({ length: items.length }, (_, index) => index)
}
