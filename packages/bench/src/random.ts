/** Seeded random numbers for traces and baselines. */
import * as prand from 'pure-rand'

const UINT32_RANGE = 2 ** 32
/** Outputs dropped first, because small seeds give small first outputs. */
const WARM_UP_COUNT = 64

/** A seeded source of random numbers. */
export class Random {
  private readonly generator: prand.RandomGenerator

  constructor (seed: number) {
    this.generator = prand.xoroshiro128plus(seed)
    prand.unsafeSkipN(this.generator, WARM_UP_COUNT)
  }

  /** Returns a number from 0 up to, but not including, 1. */
  unit (): number {
    return (this.generator.unsafeNext() >>> 0) / UINT32_RANGE
  }

  /** Returns a number between two bounds. */
  between (lowest: number, highest: number): number {
    return lowest + this.unit() * (highest - lowest)
  }

  /** Returns a whole number between two bounds, both included. */
  whole (lowest: number, highest: number): number {
    return lowest + Math.floor(this.unit() * (highest - lowest + 1))
  }

  /** Returns true with the given probability. */
  chance (probability: number): boolean {
    return this.unit() < probability
  }

  /** Returns an exponentially distributed number. */
  exponential (mean: number): number {
    return -mean * Math.log(1 - this.unit())
  }

  /** Returns a log-normally distributed number by its median and the deviation of its logarithm. */
  logNormal (median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.unit()))
    return median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * this.unit()))
  }
}
