import { xoroshiro128plus } from 'pure-rand'

/**
 * Creates a reproducible random number generator.
 * @param seed - the same seed gives the same numbers
 * @returns a function that returns numbers in [0, 1)
 */
export function seededRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => (generator.unsafeNext() >>> 0) / 2 ** 32
}
