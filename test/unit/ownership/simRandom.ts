/** Seeded random choices of a simulation. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import type { RandomGenerator } from 'pure-rand'

const CHANCE_STEPS = 1_000_000

/** A seeded source of choices. */
export class Random {
  private readonly generator: RandomGenerator

  constructor (seed: number) {
    this.generator = xoroshiro128plus(seed)
  }

  /** A whole number from 0 to below the limit. */
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
