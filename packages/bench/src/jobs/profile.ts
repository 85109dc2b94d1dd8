/** Load and fleet for simulated load peaks: three job kinds that account for about the same share of the credit. */
import type { JobKind } from './workload.ts'

const DEADLINE_MS = 1_650

function createTerms (queue: string, priority: number): JobKind['terms'] {
  return { queue, service: 'spares', priority, maxAttempts: 2, targetLatencyMs: 60, slackFactor: 1.6 }
}

/** Urgent short jobs with many tasks, long jobs, and frequent jobs with few tasks. */
export const PEAK_JOB_KINDS: readonly JobKind[] = [
  { name: 'check', terms: createTerms('check', 0), ratePerS: 20, meanCount: 8, maxCount: 32, meanWorkMs: 73, deadlineMs: DEADLINE_MS, creditPerJob: 0.0291 },
  { name: 'issue', terms: createTerms('issue', 2), ratePerS: 3.65, meanCount: 4, maxCount: 16, meanWorkMs: 1_086, deadlineMs: DEADLINE_MS, creditPerJob: 0.16 },
  { name: 'renew', terms: createTerms('renew', 1), ratePerS: 58, meanCount: 2, maxCount: 8, meanWorkMs: 243, deadlineMs: DEADLINE_MS, creditPerJob: 0.01 }
]

/** Cores of each worker of a small fleet. */
export const PEAK_WORKER_CORES: readonly number[] = [32, 32, 32, 48, 32, 32, 32, 48, 48, 32, 32]

/** Factor on the run time of tasks on each of these workers. */
export const PEAK_WORKER_SLOWNESS: readonly number[] = [1, 1.25, 0.8, 1, 1.25, 0.8, 1, 1.25, 0.8, 1, 1]

/** Scales a list with one value per worker to a fleet that is larger by the factor, by repeating the list. */
export function repeatToScale (factor: number, values: readonly number[]): number[] {
  return Array.from({ length: Math.round(factor * values.length) }, (_, index) => values[index % values.length]!)
}
