import { xoroshiro128plus } from 'pure-rand'

/**
 * @param seed - the same seed gives the same numbers
 * @returns a source of numbers in [0, 1)
 */
export function randomFrom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => (generator.unsafeNext() >>> 0) / 2 ** 32
}
