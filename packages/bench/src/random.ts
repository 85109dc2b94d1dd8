/** Seeded random numbers for traces and baselines. */
import * as prand from 'pure-rand'

const UINT32_RANGE = 2 ** 32
/** Number of initial outputs to skip: small seeds yield small first outputs. */
const WARM_UP_COUNT = 64

/** Seeded pseudo-random number generator. */
export class Random {
  private readonly generator: prand.RandomGenerator

  constructor (seed: number) {
    this.generator = prand.xoroshiro128plus(seed)
    prand.unsafeSkipN(this.generator, WARM_UP_COUNT)
  }

  /** Returns a number in [0, 1). */
  unit (): number {
    return (this.generator.unsafeNext() >>> 0) / UINT32_RANGE
  }

  /** Returns a number in [lowest, highest). */
  between (lowest: number, highest: number): number {
    return lowest + this.unit() * (highest - lowest)
  }

  /** Returns an integer between two bounds, both inclusive. */
  whole (lowest: number, highest: number): number {
    return lowest + Math.floor(this.unit() * (highest - lowest + 1))
  }

  /** Returns true with the given probability. */
  chance (probability: number): boolean {
    return this.unit() < probability
  }

  /** Returns an exponentially distributed number with the given mean. */
  exponential (mean: number): number {
    return -mean * Math.log(1 - this.unit())
  }

  /** Returns a log-normally distributed number with the given median and standard deviation of its logarithm. */
  logNormal (median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.unit()))
    return median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * this.unit()))
  }
}
