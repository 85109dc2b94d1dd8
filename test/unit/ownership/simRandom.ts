/** Seeded random numbers for simulations. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import type { RandomGenerator } from 'pure-rand'

const CHANCE_STEPS = 1_000_000

export class Random {
  private readonly generator: RandomGenerator

  constructor (seed: number) {
    this.generator = xoroshiro128plus(seed)
  }

  /** Returns an integer from 0 to `limit - 1`. */
  below (limit: number): number {
    return unsafeUniformIntDistribution(0, Math.max(0, limit - 1), this.generator)
  }

  chance (share: number): boolean {
    return this.below(CHANCE_STEPS) < share * CHANCE_STEPS
  }

  pick<T> (choices: readonly T[]): T {
    return choices[this.below(choices.length)] as T
  }
}
