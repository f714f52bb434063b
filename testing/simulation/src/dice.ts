import { seededRandom } from '@wisteriaslip/testing.site'
import type { Draw } from './draw.ts'

/** Numbers of a generator that are left out, as the first ones of seeds that differ in few bits are alike. */
const LEFT_OUT = 20

/**
 * @param seed - the same seed gives the same numbers, one that is next to it others
 * @returns a function that returns numbers in [0, 1)
 */
export function scatteredRandom (seed: number): () => number {
  const random = seededRandom(Math.imul(seed ^ (seed >>> 16), 0x45d9f3b))
  for (let number = 0; number < LEFT_OUT; number++) random()
  return random
}

/** Draws from one seed. */
export class Dice {
  /** Draws a whole number below a limit. */
  readonly below: Draw
  private readonly random: () => number

  /** @param seed - the same seed draws the same */
  constructor (seed: number) {
    this.random = scatteredRandom(seed)
    this.below = limit => Math.floor(this.random() * limit)
  }

  /** @returns a whole number from `least` to `most` */
  from (least: number, most: number): number {
    return least + this.below(most - least + 1)
  }

  /** @returns true in this share of all cases */
  chance (share: number): boolean {
    return this.random() < share
  }

  /** @returns one of the items */
  pick<T> (items: readonly T[]): T {
    return items[this.below(items.length)] as T
  }

  /** @returns each item with the same chance */
  some<T> (items: readonly T[], share: number): T[] {
    return items.filter(() => this.chance(share))
  }

  /** @returns at least one item, each with the same chance */
  someOrOne<T> (items: readonly T[], share: number): T[] {
    const chosen = this.some(items, share)
    return chosen.length > 0 ? chosen : [this.pick(items)]
  }
}
