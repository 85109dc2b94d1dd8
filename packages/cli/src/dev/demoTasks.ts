/** Run times of the demonstration's tasks, and the response time that no dispatcher can beat. */
import * as prand from 'pure-rand'

const SEED = 20
const SHORTEST_MS = 50
const LONGEST_MS = 1_000

/** Creates the tasks' run times, the same at every run. */
export function createTaskRunTimes (count: number): number[] {
  const generator = prand.xoroshiro128plus(SEED)
  return Array.from({ length: count }, () => prand.unsafeUniformIntDistribution(SHORTEST_MS, LONGEST_MS, generator))
}

/** Computes when the last task ends if each starts on the slot that is free first, in the order given. */
export function computeIdealMs (runTimesMs: readonly number[], slotCount: number): number {
  const freeAtMs = new Array<number>(slotCount).fill(0)
  for (const runMs of runTimesMs) {
    const earliest = freeAtMs.indexOf(Math.min(...freeAtMs))
    freeAtMs[earliest]! += runMs
  }
  return Math.max(...freeAtMs)
}
