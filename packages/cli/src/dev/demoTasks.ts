/** Run times of the demonstration tasks and the ideal response time of the job. */
import * as prand from 'pure-rand'

const SEED = 20
const SHORTEST_MS = 50
const LONGEST_MS = 1_000

/** Creates run times in milliseconds, uniformly distributed from a fixed seed. */
export function createTaskRunTimes (count: number): number[] {
  const generator = prand.xoroshiro128plus(SEED)
  return Array.from({ length: count }, () => prand.unsafeUniformIntDistribution(SHORTEST_MS, LONGEST_MS, generator))
}

/** Computes the response time in milliseconds without dispatch overhead: tasks start in the given order, each on the slot that is free first. */
export function computeIdealMs (runTimesMs: readonly number[], slotCount: number): number {
  const freeAtMs = new Array<number>(slotCount).fill(0)
  for (const runMs of runTimesMs) {
    const earliest = freeAtMs.indexOf(Math.min(...freeAtMs))
    freeAtMs[earliest]! += runMs
  }
  return Math.max(...freeAtMs)
}
