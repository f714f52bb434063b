import { xoroshiro128plus } from 'pure-rand'

/** Pseudorandom number generator with a fixed seed. */
export class SeededRandom {
  private readonly generator: ReturnType<typeof xoroshiro128plus>

  /** @param seed - equal seeds give equal sequences */
  constructor (seed: number) {
    this.generator = xoroshiro128plus(seed)
  }

  /** @returns a number uniformly distributed in [0, 1) */
  uniform (): number {
    return (this.generator.unsafeNext() >>> 0) / 2 ** 32
  }

  /**
   * @param mean - mean of the distribution
   * @returns an exponentially distributed number
   */
  exponential (mean: number): number {
    return -mean * Math.log(1 - this.uniform())
  }

  /**
   * @param bound - exclusive upper bound
   * @returns an integer uniformly distributed in [0, bound)
   */
  integerBelow (bound: number): number {
    return Math.floor(this.uniform() * bound)
  }
}
