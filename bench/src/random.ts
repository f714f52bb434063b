import { xoroshiro128plus } from 'pure-rand'

/** Random draws from a fixed seed. */
export class Random {
  private readonly generator: ReturnType<typeof xoroshiro128plus>

  /** @param seed - the same seed gives the same draws */
  constructor (seed: number) {
    this.generator = xoroshiro128plus(seed)
  }

  /** @returns uniform in [0, 1) */
  uniform (): number {
    return (this.generator.unsafeNext() >>> 0) / 2 ** 32
  }

  /** @returns exponential with this mean */
  exponential (mean: number): number {
    return -mean * Math.log(1 - this.uniform())
  }

  /** @returns a whole number below the bound */
  below (bound: number): number {
    return Math.floor(this.uniform() * bound)
  }
}
